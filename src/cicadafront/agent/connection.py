"""An HTTP/1.1 client connection to a target."""

from typing import Any, Protocol

import h11
from twisted.internet import error, interfaces, protocol
from twisted.python import failure

from cicadafront import headers, model, tcp
from cicadafront.peer import flow

# Limit of response heads. It is higher than the one for request heads, since
# targets are more trusted than callers.
MAX_HEAD_BYTES = 64 * 1024
# Limit of interim responses (1xx) per request. Few servers send more than two.
MAX_INTERIM_HEADS = 16
# Limit of a response body without a stated length. Without it, a target that
# never stops sending would occupy the instance's CPU until the deadline.
MAX_UNSIZED_BYTES = 16 * 1024 * 1024
# Statuses above are invalid (RFC 9110 section 15), but h11 accepts any three
# digits from 100.
MAX_STATUS = 599


class Exchange(Protocol):
    """Callbacks of the exchange that currently uses a connection."""

    def connected(self, connection: "TargetConnection") -> None:
        """Called when the connection is ready for the request."""

    def response_head(self, head: model.ResponseHead) -> None:
        """Called with the response head."""

    def response_body(self, data: bytes) -> None:
        """Called with each part of the response body."""

    def response_end(self, reusable: bool, mangled: bool) -> None:
        """Called when the response is complete.

        Args:
            reusable: Whether the connection can run another exchange.
            mangled: Whether further bytes followed the response.
        """

    def target_failed(self, kind: str) -> None:
        """Called when the exchange fails; see `observer.Failed` for `kind`."""

    def body_consumed(self, count: int) -> None:
        """Called when the target's transport took request body bytes."""


class Owner(Protocol):
    """Callbacks of the pool that keeps idle connections."""

    def lost(self, connection: "TargetConnection") -> None:
        """Called when an idle connection is closed by the target."""

    def unsolicited_data(self, connection: "TargetConnection") -> None:
        """Called when the target sends data on an idle connection."""


class TargetConnection(protocol.Protocol):
    """An HTTP/1.1 connection that runs one exchange at a time.

    Attributes:
        target: Id of the target.
        source: Flow control of the response body.
        echoes_id: Whether an earlier response echoed its exchange id.
    """

    transport: Any
    source: flow.ReadThrottle

    def __init__(self, target: str, owner: Owner, exchange: Exchange):
        self.target = target
        self.echoes_id = False
        self._owner = owner
        self._exchange: Exchange | None = exchange
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._lost = False
        self._reset_response_state()

    def _reset_response_state(self) -> None:
        self._head_received = False
        self._interim_count = 0
        # Bytes left for a response body without a stated length.
        self._unsized_bytes_left: int | None = None

    def run(self, exchange: Exchange) -> None:
        """Starts an exchange on an idle connection."""
        self._http.start_next_cycle()
        self._reset_response_state()
        self._exchange = exchange
        self._drain.restart(exchange.body_consumed)
        self.source = flow.ReadThrottle(self.transport)
        exchange.connected(self)

    def peek(self) -> bytes | None:
        """Checks the socket of an idle connection without reading from it.

        Returns:
            None if the connection is open and has no unread data, empty bytes
            if it is closed, and the first unread byte if the target has sent
            data.
        """
        if self._lost or not self.transport.connected:
            return b""
        return tcp.peek(self.transport)

    def send_head(self, head: model.RequestHead) -> None:
        """Writes the request head to the transport."""
        request = h11.Request(
            method=head.method, target=head.path, headers=list(head.headers)
        )
        self.transport.write(self._http.send(request))

    def send_body(self, data: bytes) -> None:
        """Writes a part of the request body to the transport."""
        if self._http.our_state is h11.SEND_BODY:
            self.transport.write(self._http.send(h11.Data(data=data)))
        self._drain.wrote(len(data))

    def send_end(self) -> None:
        """Ends the request body."""
        if self._http.our_state is h11.SEND_BODY:
            ending = self._http.send(h11.EndOfMessage())
            if ending:
                self.transport.write(ending)
            tcp.flush(self.transport)

    def abort(self) -> None:
        """Closes the connection at once."""
        self._exchange = None
        self._lost = True
        self.transport.abortConnection()

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the exchange that waited for the connection."""
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        exchange = self._exchange
        if exchange is None:
            self.transport.abortConnection()
            return
        self.source = flow.ReadThrottle(self.transport)
        self._drain = flow.WriteTracker(exchange.body_consumed)
        self.transport.registerProducer(self._drain, True)
        exchange.connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Processes response bytes."""
        if self._exchange is None:
            if not self._lost:
                self.abort()
                self._owner.unsolicited_data(self)
            return
        self._http.receive_data(data)
        self._process()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fails the exchange, or completes a close-delimited response."""
        if self._lost:
            return
        self._lost = True
        if self._exchange is None:
            self._owner.lost(self)
        elif reason.check(error.ConnectionDone):
            self._http.receive_data(b"")
            self._process()
        if self._exchange is not None:
            self._fail("closed")

    def _process(self) -> None:
        while (exchange := self._exchange) is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self._fail("mangled")
                return
            match event:
                case h11.Response() if event.status_code > MAX_STATUS:
                    self._fail("mangled")
                case h11.Response():
                    self._take_head(exchange, _head(event))
                case h11.Data():
                    self._take_body(exchange, bytes(event.data))
                case h11.EndOfMessage():
                    self._finish(exchange)
                    return
                case h11.ConnectionClosed():
                    return
                case h11.InformationalResponse():
                    self._interim_count += 1
                    if self._interim_count > MAX_INTERIM_HEADS:
                        self._fail("mangled")
                case _:
                    return

    def _take_head(self, exchange: Exchange, head: model.ResponseHead) -> None:
        self._head_received = True
        if not headers.value_of(head.headers, b"content-length"):
            self._unsized_bytes_left = MAX_UNSIZED_BYTES
        exchange.response_head(head)

    def _take_body(self, exchange: Exchange, data: bytes) -> None:
        if self._unsized_bytes_left is not None:
            self._unsized_bytes_left -= len(data)
            if self._unsized_bytes_left < 0:
                self._fail("endless")
                return
        self.source.sent(len(data))
        exchange.response_body(data)

    def _finish(self, exchange: Exchange) -> None:
        mangled = bool(self._http.trailing_data[0])
        done = self._http.our_state is h11.DONE
        done = done and self._http.their_state is h11.DONE
        reusable = done and not mangled
        reusable = reusable and not self._lost
        self._exchange = None
        if not reusable:
            self._lost = True
            self.transport.abortConnection()
        elif self.source.paused:
            self.transport.resumeProducing()
        exchange.response_end(reusable, mangled)

    def _fail(self, kind: str) -> None:
        exchange, self._exchange = self._exchange, None
        if self._lost:
            # h11 raises a protocol error if the connection ends within a
            # response.
            kind = "short" if self._head_received else "closed"
        self._lost = True
        self.transport.abortConnection()
        if exchange is not None:
            exchange.target_failed(kind)


def _head(response: h11.Response) -> model.ResponseHead:
    kept = headers.end_to_end(response.headers.raw_items())
    return model.ResponseHead(response.status_code, kept)
