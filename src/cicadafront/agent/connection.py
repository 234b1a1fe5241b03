"""One HTTP/1.1 connection to a target."""

from typing import Any, Protocol

import h11
from twisted.internet import error, interfaces, protocol
from twisted.python import failure

from cicadafront import headers, model, tcp
from cicadafront.peer import flow

# Heads of answers; targets are trusted further than callers.
MAX_HEAD_BYTES = 64 * 1024
# Interim answers (1xx) before the answer. Few servers send more than two.
MAX_INTERIM_HEADS = 16
# Body of an answer that does not state its length. Without a bound, a target
# that never stops would take the instance's processor until the deadline.
MAX_UNSIZED_BYTES = 16 * 1024 * 1024


class Exchange(Protocol):
    """The exchange that a connection runs at the moment."""

    def connected(self, connection: "TargetConnection") -> None:
        """The connection is ready for the request."""

    def answer_head(self, head: model.ResponseHead) -> None:
        """The head of the answer has arrived."""

    def answer_body(self, data: bytes) -> None:
        """A piece of the answer's body has arrived."""

    def answer_end(self, reusable: bool, mangled: bool) -> None:
        """The answer is complete."""

    def broken(self, kind: str) -> None:
        """The connection ended before the answer; see `observer.Failed`."""

    def body_consumed(self, count: int) -> None:
        """Request body bytes were passed to the target's transport."""


class Owner(Protocol):
    """Keeps connections between exchanges."""

    def lost(self, connection: "TargetConnection") -> None:
        """The connection closed between exchanges."""

    def stray(self, connection: "TargetConnection") -> None:
        """The target sent bytes that belong to no request."""


class TargetConnection(protocol.Protocol):
    """Runs one exchange at a time.

    Attributes:
        target: Id of the target.
        source: Flow control of the answer's body.
        copies_id: Whether an earlier answer bore the id of its request.
    """

    transport: Any
    source: flow.ReadThrottle

    def __init__(self, target: str, owner: Owner, exchange: Exchange):
        self.target = target
        self.copies_id = False
        self._owner = owner
        self._exchange: Exchange | None = exchange
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._lost = False
        self._send_failed = False
        self._begin_answer()

    def _begin_answer(self) -> None:
        self._headed = False
        self._interim = 0
        # Bytes that an answer without a length may still have.
        self._unsized_left: int | None = None

    def run(self, exchange: Exchange) -> None:
        """Takes an exchange on an idle connection."""
        self._http.start_next_cycle()
        self._begin_answer()
        self._exchange = exchange
        self._drain.restart(exchange.body_consumed)
        self.source = flow.ReadThrottle(self.transport)
        exchange.connected(self)

    def peek(self) -> bytes | None:
        """Looks at the socket of an idle connection.

        Returns:
            None while the connection is open and quiet, no bytes if it is
            closed, and a stray byte if the target has sent something.
        """
        if self._lost or not self.transport.connected:
            return b""
        return tcp.peek(self.transport)

    def send_head(self, head: model.RequestHead) -> None:
        """Hands the head of the request to the transport."""
        request = h11.Request(
            method=head.method, target=head.path, headers=list(head.headers)
        )
        self.transport.write(self._http.send(request))

    def send_body(self, data: bytes) -> None:
        """Hands a piece of the request body to the transport."""
        if self._http.our_state is h11.SEND_BODY:
            self.transport.write(self._http.send(h11.Data(data=data)))
        self._drain.wrote(len(data))

    def send_end(self) -> None:
        """Ends the request body."""
        if self._http.our_state is h11.SEND_BODY:
            ending = self._http.send(h11.EndOfMessage())
            if ending:
                self.transport.write(ending)
            self._send_failed = not tcp.flush(self.transport)

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
        """Takes bytes of the answer."""
        if self._exchange is None:
            if not self._lost:
                self.abort()
                self._owner.stray(self)
            return
        self._http.receive_data(data)
        self._process()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the exchange, or completes an answer that ends with it."""
        if self._lost:
            return
        self._lost = True
        if self._exchange is None:
            self._owner.lost(self)
        elif reason.check(error.ConnectionDone) and not self._send_failed:
            self._http.receive_data(b"")
            self._process()
        if self._exchange is not None:
            self._break("closed")

    def _process(self) -> None:
        while (exchange := self._exchange) is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self._break("mangled")
                return
            match event:
                case h11.Response():
                    self._take_head(exchange, _head(event))
                case h11.Data():
                    self._take_body(exchange, bytes(event.data))
                case h11.EndOfMessage():
                    self._complete(exchange)
                    return
                case h11.ConnectionClosed():
                    return
                case h11.InformationalResponse():
                    self._interim += 1
                    if self._interim > MAX_INTERIM_HEADS:
                        self._break("mangled")
                case _:
                    return

    def _take_head(self, exchange: Exchange, head: model.ResponseHead) -> None:
        self._headed = True
        if not headers.value_of(head.headers, b"content-length"):
            self._unsized_left = MAX_UNSIZED_BYTES
        exchange.answer_head(head)

    def _take_body(self, exchange: Exchange, data: bytes) -> None:
        if self._unsized_left is not None:
            self._unsized_left -= len(data)
            if self._unsized_left < 0:
                self._break("endless")
                return
        self.source.sent(len(data))
        exchange.answer_body(data)

    def _complete(self, exchange: Exchange) -> None:
        mangled = bool(self._http.trailing_data[0])
        done = self._http.our_state is h11.DONE
        done = done and self._http.their_state is h11.DONE
        reusable = done and not mangled
        reusable = reusable and not (self._lost or self._send_failed)
        self._exchange = None
        if not reusable:
            self._lost = True
            self.transport.abortConnection()
        elif self.source.paused:
            self.transport.resumeProducing()
        exchange.answer_end(reusable, mangled)

    def _break(self, kind: str) -> None:
        exchange, self._exchange = self._exchange, None
        if self._lost:
            # h11 reports the end of a connection inside an answer as an error.
            kind = "short" if self._headed else "closed"
        self._lost = True
        self.transport.abortConnection()
        if exchange is not None:
            exchange.broken(kind)


def _head(response: h11.Response) -> model.ResponseHead:
    kept = headers.end_to_end(response.headers.raw_items())
    return model.ResponseHead(response.status_code, kept)
