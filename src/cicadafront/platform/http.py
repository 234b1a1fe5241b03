"""HTTP calls to the platform's store, each with its own time limit."""

import collections
from typing import Any

import attrs
from twisted.internet import defer, error

from cicadafront import errors, model, tcp
from cicadafront.agent import connection

# Idle connections that are kept; one call and one watch run at a time.
_KEPT = 2
# Twice the largest answer: a page of the store holds about 1 MB, or one value
# of at most 1 MiB in base64.
MAX_REPLY_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Reply:
    """A whole answer of the store."""

    status: int
    body: bytes


class _Call:
    """One request on one connection; a `connection.Exchange`."""

    def __init__(self, head: model.RequestHead, body: bytes):
        self.done: defer.Deferred[Reply] = defer.Deferred()
        self.connection: connection.TargetConnection | None = None
        self._head = head
        self._body = body
        self._status = 0
        self._size = 0
        self._pieces: list[bytes] = []

    def connected(self, made: connection.TargetConnection) -> None:
        self.connection = made
        if self._head.method == "GET":
            # Writes end after 1 s; a watch may be quiet for 30 s.
            tcp.enable_keepalive(made.transport)
        made.send_head(self._head)
        if self._body:
            made.send_body(self._body)
        made.send_end()

    def response_head(self, head: model.ResponseHead) -> None:
        self._status = head.status

    def response_body(self, data: bytes) -> None:
        if self.done.called:
            return
        self._size += len(data)
        if self._size > MAX_REPLY_BYTES:
            self._pieces.clear()
            self.done.errback(
                errors.StoreUnavailableError(
                    "The store sends an answer without end; check that the "
                    "address is the store's. A write may have taken effect."
                )
            )
            return
        self._pieces.append(data)
        if self.connection is not None:
            self.connection.source.consumed(len(data))

    def response_end(self, reusable: bool, mangled: bool) -> None:
        if not reusable:
            self.connection = None
        if self.done.called:
            return
        if mangled:
            self.done.errback(
                errors.StoreUnavailableError(
                    "The store sent more than one answer to a call; a write "
                    "may have taken effect."
                )
            )
            return
        self.done.callback(Reply(self._status, b"".join(self._pieces)))

    def target_failed(self, kind: str) -> None:
        self.connection = None
        if not self.done.called:
            self.done.errback(
                errors.StoreUnavailableError(
                    f"The connection to the store was lost ({kind}); a write "
                    "may have taken effect."
                )
            )

    def body_consumed(self, count: int) -> None:
        pass


class Client:
    """Sends calls to one address and keeps idle connections.

    A call is never repeated: a lost answer may follow a write that took
    effect. Answers bear nothing that names their call, so that a late one, or
    one that is sent twice, could be taken for the answer to the next call.
    Writes therefore get a connection of their own, and no connection is kept
    after a refusal.
    """

    def __init__(self, reactor: Any, address: tuple[str, int]):
        self._reactor = reactor
        self._address = address
        self._idle: collections.deque[connection.TargetConnection] = (
            collections.deque()
        )

    def call(
        self, method: str, path: str, body: bytes, seconds: float
    ) -> "defer.Deferred[Reply]":
        """Sends one call; fails with `StoreUnavailableError`.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON document, or no bytes.
            seconds: Time limit.
        """
        host, port = self._address
        fields = [(b"Host", f"{host}:{port}".encode())]
        if body:
            fields.append((b"Content-Type", b"application/json"))
        if body or method == "POST":
            fields.append((b"Content-Length", b"%d" % len(body)))
        call = _Call(model.RequestHead(method, path, tuple(fields)), body)
        self._start(call, seconds, reuse=method == "GET")
        call.done.addTimeout(seconds, self._reactor, _timed_out)
        call.done.addBoth(self._ended, call)
        return call.done

    def close(self) -> None:
        """Closes idle connections."""
        while self._idle:
            self._idle.popleft().abort()

    def _start(self, call: _Call, seconds: float, reuse: bool) -> None:
        while reuse and self._idle:
            # Longest idle connections may have gone silent; newest first.
            found = self._idle.pop()
            if found.peek() is None:
                found.run(call)
                return
            found.abort()
        made = connection.TargetConnection("store", self, call)
        failed = tcp.connect(self._reactor, self._address, made, seconds)
        failed.addErrback(lambda _: call.target_failed("refused"))

    def _ended(self, result: Any, call: _Call) -> Any:
        made, call.connection = call.connection, None
        if made is None:
            return result
        good = isinstance(result, Reply) and 200 <= result.status < 300
        if good and len(self._idle) < _KEPT:
            self._idle.append(made)
        else:
            made.abort()
        return result

    # Owner of idle connections.

    def lost(self, gone: connection.TargetConnection) -> None:
        """An idle connection was closed."""
        if gone in self._idle:
            self._idle.remove(gone)

    def unsolicited_data(self, gone: connection.TargetConnection) -> None:
        """Bytes arrived on an idle connection."""
        self.lost(gone)


def _timed_out(_result: Any, seconds: float) -> Any:
    raise errors.StoreUnavailableError(
        f"The store did not answer within {seconds:g} s; a write may have "
        "taken effect."
    ) from error.TimeoutError()
