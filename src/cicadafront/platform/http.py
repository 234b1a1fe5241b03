"""HTTP client for the platform's store, with time limits for each call."""

import collections
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from cicadafront import errors, headers, model, tcp
from cicadafront.agent import connection
from cicadafront.platform import era

# Maximum number of idle connections. At most one call and one watch run at a
# time.
_MAX_IDLE_CONNECTIONS = 2
# Limit of response bodies: twice the size of the largest one. A page of a list
# holds about 1 MB, or a single value of at most 1 MiB in base64.
MAX_REPLY_BYTES = 4 * 1024 * 1024
# Receive buffer of connections for reads. All other packets of the machine wait
# behind the part of a response that is in the queue of a slow link.
RECEIVE_BYTES = 64 * 1024
# Longest pause within a response, and longest time from its head to its end.
# The largest one takes 2.3 s on an idle link of 5 Mbit/s.
MAX_PAUSE_SECONDS = 1.0
MAX_RESPONSE_SECONDS = 15.0


@attrs.frozen
class Reply:
    """A complete response of the store.

    Attributes:
        status: HTTP status.
        body: Body.
        era: Era of the store in the header; None without a valid one.
    """

    status: int
    body: bytes
    era: int | None = None


class _TimeLimit:
    """Expires if a response does not begin in time, or does not go on.

    A limit on the whole response would end each attempt at a response that is
    large for the link, however often it is repeated.

    Args:
        clock: Source of time and timers.
        seconds: Time until the head of the response.
        on_expired: Called with what the store did not do in time.
    """

    def __init__(
        self, clock: Any, seconds: float, on_expired: Callable[[str], None]
    ):
        self._clock = clock
        self._on_expired = on_expired
        self._reason = f"did not answer within {seconds:g} s"
        self._ends_at: float | None = None
        self._timer = clock.callLater(seconds, self._expire)

    def progressed(self) -> None:
        """Records that a part of the response has arrived."""
        if not self._timer.active():
            return
        now = self._clock.seconds()
        if self._ends_at is None:
            self._ends_at = now + MAX_RESPONSE_SECONDS
            self._reason = "did not complete its response in time"
        self._timer.reset(min(MAX_PAUSE_SECONDS, self._ends_at - now))

    def stop(self) -> None:
        """Stops the timer."""
        if self._timer.active():
            self._timer.cancel()

    def _expire(self) -> None:
        self._on_expired(self._reason)


class _Call:
    """A request on a connection; implements `connection.Exchange`."""

    def __init__(
        self, head: model.RequestHead, body: bytes, clock: Any, seconds: float
    ):
        self.done: defer.Deferred[Reply] = defer.Deferred()
        self.limit = _TimeLimit(clock, seconds, self._expired)
        self.connection: connection.TargetConnection | None = None
        self._head = head
        self._body = body
        self._status = 0
        self._era: int | None = None
        self._size = 0
        self._chunks: list[bytes] = []

    def connected(self, conn: connection.TargetConnection) -> None:
        self.connection = conn
        if self._head.method == "GET":
            # Writes time out after 1 s, but the connection of a watch may be
            # idle for 30 s.
            tcp.enable_keepalive(conn.transport)
            tcp.limit_receive_buffer(conn.transport, RECEIVE_BYTES)
        conn.send_head(self._head)
        if self._body:
            conn.send_body(self._body)
        conn.send_end()

    def response_head(self, head: model.ResponseHead) -> None:
        self.limit.progressed()
        self._status = head.status
        self._era = era.parse(headers.value_of(head.headers, era.HEADER))

    def response_body(self, data: bytes) -> None:
        if self.done.called:
            return
        self.limit.progressed()
        self._size += len(data)
        if self._size > MAX_REPLY_BYTES:
            self._chunks.clear()
            self.done.errback(
                errors.StoreUnavailableError(
                    "The response of the store exceeds the size limit; check "
                    "that the configured address is that of the store. A "
                    "write may have taken effect."
                )
            )
            return
        self._chunks.append(data)
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
                    "The store sent more than one response to a request; a "
                    "write may have taken effect."
                )
            )
            return
        body = b"".join(self._chunks)
        self.done.callback(Reply(self._status, body, self._era))

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

    def _expired(self, reason: str) -> None:
        if not self.done.called:
            self.done.errback(
                errors.StoreUnavailableError(
                    f"The store {reason}; a write may have taken effect."
                )
            )


class Client:
    """Sends requests to one address over a pool of idle connections.

    A request is never retried, because a write may have taken effect although
    its response was lost. Responses carry no id of their request, so a late
    or duplicate response could be taken for the response to the next request.
    Each write therefore uses a new connection, and a connection is closed
    after an error status.
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
        """Sends a request.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON document, or empty.
            seconds: Seconds within which the response must begin.

        Returns:
            A Deferred that fires with the reply, or fails with
            `StoreUnavailableError`.
        """
        host, port = self._address
        fields = [(b"Host", f"{host}:{port}".encode())]
        if body:
            fields.append((b"Content-Type", b"application/json"))
        if body or method == "POST":
            fields.append((b"Content-Length", b"%d" % len(body)))
        head = model.RequestHead(method, path, tuple(fields))
        call = _Call(head, body, self._reactor, seconds)
        self._start(call, seconds, reuse=method == "GET")
        call.done.addBoth(self._release_connection, call)
        return call.done

    def close(self) -> None:
        """Closes idle connections."""
        while self._idle:
            self._idle.popleft().abort()

    def _start(self, call: _Call, seconds: float, reuse: bool) -> None:
        while reuse and self._idle:
            # Connections that have been idle for long may be dead, so the most
            # recently used one comes first.
            idle = self._idle.pop()
            if idle.peek() is None:
                idle.run(call)
                return
            idle.abort()
        conn = connection.TargetConnection("store", self, call)
        connecting = tcp.connect(self._reactor, self._address, conn, seconds)
        connecting.addErrback(lambda _: call.target_failed("refused"))

    def _release_connection(self, result: Any, call: _Call) -> Any:
        call.limit.stop()
        conn, call.connection = call.connection, None
        if not isinstance(result, Reply):
            # Connections often fail together.
            self.close()
        if conn is None:
            return result
        succeeded = isinstance(result, Reply) and 200 <= result.status < 300
        if succeeded and len(self._idle) < _MAX_IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            conn.abort()
        return result

    # Implementation of `connection.Owner` for idle connections.

    def lost(self, conn: connection.TargetConnection) -> None:
        """Removes an idle connection that was closed."""
        if conn in self._idle:
            self._idle.remove(conn)

    def unsolicited_data(self, conn: connection.TargetConnection) -> None:
        """Removes an idle connection that received unexpected data."""
        self.lost(conn)
