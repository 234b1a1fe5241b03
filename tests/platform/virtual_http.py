"""The store's stand-in on virtual time, below the real client of the store."""

import io
from urllib import parse

from twisted.internet import defer

from cicadafront import errors
from cicadafront.platform import era, http, store

# Time of a call or an answer on its way.
LATENCY_SECONDS = 0.002


class Request:
    """The part of a Twisted request that the stand-in uses."""

    def __init__(self, method, target, body):
        path, _, query = target.partition("?")
        self.method = method.encode()
        self.path = path.encode()
        self.args = parse.parse_qs(query.encode())
        self.content = io.BytesIO(body)
        self.status = 200
        self.headers = {}

    def setResponseCode(self, status):  # noqa: N802
        self.status = status

    def setHeader(self, name, value):  # noqa: N802
        self.headers[name.lower()] = value

    def notifyFinish(self):  # noqa: N802
        return defer.Deferred()


def respond(standin, request):
    """Returns a Deferred with the body of the stand-in's response."""
    return defer.maybeDeferred(standin.call, request)


class VirtualHttp:
    """Replaces `http.Client` of one instance.

    Attributes:
        silent: Whether calls get no answer and have no effect.
        unavailable: Whether calls get status 503.
        calls: Method, path and time of each call.
    """

    def __init__(self, clock, standin):
        self.silent = False
        self.unavailable = False
        self.calls = []
        self._clock = clock
        self._standin = standin

    def client(self):
        """Returns a client of the store for a new process."""
        made = store.Store(self._clock, ("127.0.0.1", 1))
        made._http = self
        return made

    def call(self, method, path, body, seconds):
        """Implements `http.Client.call`."""
        self.calls.append((method, path, self._clock.seconds()))
        done = defer.Deferred()
        done.addTimeout(seconds, self._clock, _timed_out)
        request = Request(method, path, body)
        self._clock.callLater(LATENCY_SECONDS, self._arrive, request, done)
        return done

    def close(self):
        """Implements `http.Client.close`."""

    def _arrive(self, request, done):
        if self.silent:
            return
        if self.unavailable:
            request.status = 503
            answer = defer.succeed(b"")
        else:
            answer = respond(self._standin, request)
        answer.addCallback(
            lambda body: self._clock.callLater(
                LATENCY_SECONDS, self._answer, request, body, done
            )
        )

    def _answer(self, request, body, done):
        if self.silent or done.called:
            return
        found = era.parse(request.headers.get("store-era", "").encode())
        done.callback(http.Reply(request.status, body, found))


def _timed_out(_result, seconds):
    raise errors.StoreUnavailableError(f"no answer within {seconds} s")
