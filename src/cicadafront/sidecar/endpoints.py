"""Small HTTP endpoints, served by the HTTP server of the edge.

The endpoints for the health check, heartbeats and metrics use no web framework,
since importing one takes longer than the rest of the start.
"""

import http
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import model
from cicadafront.edge import caller
from cicadafront.peer import exchange
from cicadafront.telemetry import logs

# Limit of request bodies. Heartbeats are smaller than 1 KB.
MAX_BODY_BYTES = 64 * 1024

_log = logs.Log("sidecar")


@attrs.frozen
class Response:
    """Response of an endpoint."""

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"


Responder = Callable[
    [model.RequestHead, bytes], Response | defer.Deferred[Response]
]


@attrs.frozen
class EndpointHandler:
    """A `caller.Handler` that passes complete requests to a function."""

    respond: Responder

    def begin(
        self, head: model.RequestHead, token: str, caller: caller.Caller
    ) -> exchange.RequestSink:
        """Starts to receive a request."""
        caller.send_continue()
        return _Collector(self.respond, head, caller)


class _Collector:
    """Collects the body of a request, then responds to it."""

    def __init__(
        self,
        respond: Responder,
        head: model.RequestHead,
        caller: caller.Caller,
    ):
        self._respond = respond
        self._head = head
        self._caller = caller
        self._body = b""
        self._done = False

    def body(self, data: bytes) -> None:
        if self._done:
            return
        self._body += data
        self._caller.consumed(len(data))
        if len(self._body) > MAX_BODY_BYTES:
            self._send(Response(413))

    def end(self) -> None:
        if not self._done:
            respond: Callable[..., Any] = self._respond
            responded = defer.maybeDeferred(respond, self._head, self._body)
            responded.addErrback(_failed)
            responded.addCallback(self._send)

    def cancel(self) -> None:
        self._done = True

    def consumed(self, count: int) -> None:
        pass

    def go(self) -> None:
        pass

    def _send(self, response: Response) -> None:
        if self._done:
            return
        self._done = True
        fields = (
            (b"Content-Type", response.content_type),
            (b"Content-Length", b"%d" % len(response.body)),
        )
        head = model.ResponseHead(response.status, fields)
        self._caller.head(head, exchange.Load())
        if response.body:
            self._caller.body(response.body)
        self._caller.end()


def _failed(reason: failure.Failure) -> Response:
    """Logs an unexpected error of a responder, which must not be silent."""
    _log.error("an endpoint failed.", reason=reason.getTraceback())
    return Response(http.HTTPStatus.INTERNAL_SERVER_ERROR)
