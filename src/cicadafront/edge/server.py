"""HTTP/1.1 server for callers."""

import collections
import http.client
from collections.abc import Callable
from typing import Any

import attrs
import h11
from twisted.internet import interfaces, protocol
from twisted.python import failure
from zope.interface import implementer

from cicadafront import dialect, errors, headers, model, tcp
from cicadafront.edge import answers, caller, framing, problem
from cicadafront.peer import exchange, flow

HEAD_SECONDS = 10.0
IDLE_SECONDS = 60.0
# Time for a caller to take the rest of its last answer.
FLUSH_SECONDS = 30.0
# After its last answer a connection is read on for a while, because closing
# it with unread bytes would destroy the answer on its way.
LINGER_SECONDS = 1.0
# Bytes of pipelined requests that are read ahead.
AHEAD_BYTES = 64 * 1024

# Blank lines before a request are ignored (RFC 9112, section 2.2).
_BLANK = b"\r\n"
_CLOSE = (b"Connection", b"close")
_REASONS = {
    status: reason.encode("ascii")
    for status, reason in http.client.responses.items()
}


@attrs.define
class Site:
    """What the connections of one listener share.

    Attributes:
        handler: Answers the requests.
        clock: Source of timers.
        counts: Counts dropped answers and refused heads.
        draining: Whether connections close after their current answer.
        closing: Whether connections that run no request are closed.
        connections: Open connections.
        idle_seconds: Time that a connection may wait for its next request.
        head_seconds: Time that a caller may take to send a head.
        words: Header names of the deployment.
        head_bytes: Largest head of a request.
        body_bytes: Largest body of a request, or 0 for any size.
    """

    handler: caller.Handler
    clock: Any
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    draining: bool = False
    closing: bool = False
    connections: set["Connection"] = attrs.field(factory=set)
    idle_seconds: float = IDLE_SECONDS
    head_seconds: float = HEAD_SECONDS
    words: dialect.Dialect = dialect.DEFAULT
    head_bytes: int = framing.MAX_HEAD_BYTES
    body_bytes: int = 0

    def drain(self) -> None:
        """Lets each connection end with its current or next answer."""
        self.draining = True

    def close_idle(self) -> None:
        """Closes the connections that run no request, now and later."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def refuse_partial(self, error: errors.RequestError) -> None:
        """Answers callers that have sent a part of a head."""
        for connection in list(self.connections):
            connection.refuse_partial(error)

    def close_withdrawn(self, valid: Callable[[str], bool]) -> None:
        """Closes idle connections whose last key is no longer valid."""
        for connection in list(self.connections):
            if connection.token and not valid(connection.token):
                connection.close_if_idle()


@implementer(interfaces.IHalfCloseableProtocol)
class Connection(protocol.Protocol):
    """One connection of a caller.

    Attributes:
        token: Key of the last request, empty if it had none.
    """

    transport: Any

    def __init__(self, site: Site):
        self._site = site
        self._http = h11.Connection(h11.SERVER, framing.MAX_HEAD_BYTES)
        self._answer: answers.Answer | None = None
        self._request: exchange.RequestSink | None = None
        self._timer: Any = None
        self._idle = True
        self._closing = False
        self._processing = False
        self._ahead = 0
        self._method = b""
        self.token = ""

    # Protocol.

    def connectionMade(self) -> None:  # noqa: N802
        """Waits for the first head."""
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self._site.connections.add(self)
        self._source = flow.ReadThrottle(self.transport)
        self._drain = flow.WriteTracker(self._passed_on)
        self.transport.registerProducer(self._drain, True)
        self._arm(self._site.head_seconds, self._slow_head)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes of requests."""
        if self._closing or self._last():
            return
        if self._idle:
            data = data.lstrip(_BLANK)
            if not data:
                return
        began, self._idle = self._idle, False
        self._http.receive_data(data)
        if self._http.their_state is h11.DONE:
            self._ahead += len(data)
            if self._ahead > AHEAD_BYTES:
                self.transport.pauseProducing()
            return
        self._process()
        # Most heads arrive at once and need no timer.
        if began and not (self._idle or self._answer or self._closing):
            self._arm(self._site.head_seconds, self._slow_head)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Treats a caller that closes its half before its answer as gone."""
        if self._closing:
            self._release()
        else:
            self.abort()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Starts to linger once the last answer is flushed."""
        self._arm(LINGER_SECONDS, self._release)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Cancels the exchange of a caller that went away."""
        self._closing = True
        self._disarm()
        self._site.connections.discard(self)
        self._cancel()

    # Requests.

    def _process(self) -> None:
        if self._processing:
            return
        self._processing = True
        try:
            # Whatever follows a last request is ignored.
            while not (self._closing or self._last()):
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                self._handle(event)
        except h11.RemoteProtocolError as error:
            self._refuse(error)
        finally:
            self._processing = False

    def _last(self) -> bool:
        return self._http.their_state is h11.MUST_CLOSE

    def _handle(self, event: Any) -> None:
        match event:
            case h11.Request():
                self._begin(event)
            case h11.Data() if self._request is not None:
                data = bytes(event.data)
                self._source.sent(len(data))
                self._request.body(data)
            case h11.EndOfMessage() if self._request is not None:
                self._request.end()
            case h11.ConnectionClosed():
                self.abort()

    def _begin(self, event: h11.Request) -> None:
        self._disarm()
        self._idle = False
        self._method = event.method
        self._source = flow.ReadThrottle(self.transport)
        self._drain.restart(self._passed_on)
        answer = answers.Answer(self, self._site.counts)
        self._answer = answer
        try:
            head, token = framing.request_head(
                event, self._site.words, self._site.head_bytes
            )
            self._check_length(head)
        except errors.RequestError as error:
            self._site.counts["heads_refused"] += 1
            answer.fail(error, exchange.Load())
            return
        self.token = token
        request = self._site.handler.begin(head, token, answer)
        if not answer.done:
            self._request = request

    def _check_length(self, head: model.RequestHead) -> None:
        most = self._site.body_bytes
        length = headers.value_of(head.headers, b"content-length")
        if most and length.isdigit() and int(length) > most:
            raise errors.BadRequestError(
                f"The body is larger than {most} bytes; send less.",
                code="body_too_large",
                status=413,
            )

    def _refuse(self, error: h11.RemoteProtocolError) -> None:
        self._site.counts["heads_refused"] += 1
        executed = errors.Executed.NO
        if self._request is not None:
            # A part of the body may have reached a target.
            executed = errors.Executed.UNKNOWN
        headed = self._answer is not None and self._answer.headed
        self._cancel()
        if headed:
            self.abort()
            return
        self.answer_error(
            errors.BadRequestError(
                f"The request is not valid HTTP/1.1: {error}.",
                status=error.error_status_hint,
                executed=executed,
            )
        )

    def _slow_head(self) -> None:
        if self._idle and self._unread():
            # A busy process acts on timers before it reads its sockets.
            self._arm(self._site.head_seconds, self._slow_head)
            return
        if self._idle or not self._http.trailing_data[0]:
            self.close()
            return
        self.answer_error(
            errors.BadRequestError(
                f"The head took more than {self._site.head_seconds:g} s; send"
                " it at once.",
                code="head_timeout",
                status=408,
            )
        )

    def refuse_partial(self, error: errors.RequestError) -> None:
        """Answers a caller that has sent a part of a head."""
        if not (self._closing or self._idle or self._answer):
            self.answer_error(error)

    def _cancel(self) -> None:
        request, self._request = self._request, None
        if self._answer is not None:
            self._answer.done = True
            self._answer = None
        if request is not None:
            request.cancel()

    # Answers.

    def wants_body(self) -> None:
        """Sends `100 Continue` to a caller that waits for it."""
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def body_consumed(self, count: int) -> None:
        """Reads on after request body bytes were passed on."""
        self._source.consumed(count)

    def answer_head(self, head: model.ResponseHead) -> None:
        """Writes the head of the answer."""
        fields = list(head.headers)
        if self._site.draining and not self._pipelined():
            fields.append(_CLOSE)
        reason = _REASONS.get(head.status, b"")
        self._send(
            h11.Response(status_code=head.status, headers=fields, reason=reason)
        )

    def _pipelined(self) -> bool:
        """Whether more has arrived after the present request."""
        whole = self._http.their_state is h11.DONE
        return whole and bool(self._http.trailing_data[0].strip())

    def answer_body(self, data: bytes) -> None:
        """Writes a piece of the answer."""
        self._send(h11.Data(data=data))
        self._drain.wrote(len(data))

    def answer_end(self) -> None:
        """Completes the answer and turns to the next request."""
        self._request = None
        self._answer = None
        self._send(h11.EndOfMessage())
        if self._closing:
            return
        tcp.flush(self.transport)
        self._settle()
        states = self._http.our_state, self._http.their_state
        if states != (h11.DONE, h11.DONE):
            self.close()
            return
        ahead = self._http.trailing_data[0]
        self._http.start_next_cycle()
        rest = ahead.lstrip(_BLANK)
        if rest != ahead:
            self._http = h11.Connection(h11.SERVER, framing.MAX_HEAD_BYTES)
            if rest:
                # No bytes would mean the end of the connection.
                self._http.receive_data(rest)
        self._idle = not rest
        site = self._site
        seconds = site.idle_seconds if self._idle else site.head_seconds
        self._arm(seconds, self._slow_head)
        self._ahead = 0
        self.transport.resumeProducing()
        self._process()
        if site.closing:
            # The answer began before the stop, and announced no end.
            self.close_if_idle()

    def answer_error(self, error: errors.RequestError) -> None:
        """Answers with an error."""
        self._disarm()
        self._settle()
        head, body = problem.answer(error, self._site.words.short_waits)
        unread = self._http.their_state not in (h11.DONE, h11.MUST_CLOSE)
        if unread and not self._site.draining:
            head = attrs.evolve(head, headers=(*head.headers, _CLOSE))
        self.answer_head(head)
        if self._method != b"HEAD":
            self._send(h11.Data(data=body))
        self.answer_end()

    def _settle(self) -> None:
        """Discards what has already arrived of the request's body."""
        self._request = None
        try:
            while self._http.their_state is h11.SEND_BODY:
                if self._http.next_event() is h11.NEED_DATA:
                    return
        except h11.RemoteProtocolError:
            return

    def _send(self, event: h11.Event) -> None:
        if self._closing:
            return
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError:
            # The answer contradicts its own head, so it cannot be completed.
            self._site.counts["answers_inconsistent"] += 1
            self.abort()
            return
        if data:
            self.transport.write(data)

    def _passed_on(self, count: int) -> None:
        if self._request is not None:
            self._request.consumed(count)

    # Life.

    def close(self) -> None:
        """Flushes, closes and lingers."""
        if self._closing:
            return
        self._closing = True
        self._cancel()
        self._arm(FLUSH_SECONDS, self.abort)
        self.transport.resumeProducing()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def abort(self) -> None:
        """Breaks the connection, so that no answer looks complete."""
        self._closing = True
        self._disarm()
        self._cancel()
        self.transport.abortConnection()

    def _release(self) -> None:
        """Leaves what the caller has not yet taken to the operating system.

        The last answer may lie whole in the socket, where a break of the
        connection would destroy it.
        """
        self.transport.loseConnection()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request runs or is arriving."""
        if self._answer is None and self._idle and not self._unread():
            self.close()

    def _unread(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        if not interfaces.ISystemHandle.providedBy(self.transport):
            return False
        return bool(tcp.peek(self.transport))

    def cut(self) -> bool:
        """Ends the connection with the process.

        A whole answer still reaches the caller; one that is not whole must
        not look complete.

        Returns:
            Whether a request was broken off.
        """
        if self._answer is None and (self._idle or self._closing):
            self._closing = True
            self._disarm()
            self.transport.loseConnection()
            return False
        self.abort()
        return True

    def _arm(self, seconds: float, action: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self._site.clock.callLater(seconds, action)

    def _disarm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class Factory(protocol.Factory):
    """Makes connections for a listener."""

    noisy = False

    def __init__(self, site: Site):
        self._site = site

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return Connection(self._site)
