"""HTTP/1.1 server for callers."""

import collections
import http.client
import itertools
import traceback
from collections.abc import Callable
from typing import Any

import attrs
import h11
from twisted.internet import interfaces, protocol
from twisted.python import failure
from zope.interface import implementer

from cicadafront import dialect, errors, headers, model, tcp
from cicadafront.edge import (
    buffers,
    byte_account,
    caller,
    caller_response,
    framing,
    problem,
    turns,
)
from cicadafront.peer import exchange, flow
from cicadafront.telemetry import logs

HEAD_SECONDS = 10.0
IDLE_SECONDS = 60.0
# Time for a caller to receive the rest of the last response.
FLUSH_SECONDS = 30.0
# After the last response the connection is still read for this time. Closing a
# socket with unread bytes sends a reset, which would destroy the response on
# its way to the caller.
LINGER_SECONDS = 1.0
# Bytes of pipelined requests that are read before reading is paused.
MAX_PIPELINED_BYTES = 64 * 1024
# The same where memory is bounded: one head of the largest size.
MAX_BOUNDED_PIPELINED_BYTES = 16 * 1024
# Parts of a request that are handled before other connections get their turn,
# and lines of a head above which its parsing (2 us a line) waits for a turn.
MAX_EVENTS = 64
MAX_LINES = 200
# Bytes of answers in the buffer of a transport above which they are charged.
UNCHARGED_ANSWER_BYTES = 8 * 1024
# Body bytes received that count as progress of a connection.
PROGRESS_BYTES = 16 * 1024

# The end of a traceback names the error.
_MAX_TRACEBACK_CHARS = 2000
# Blank lines before a request are ignored (RFC 9112, section 2.2).
_BLANK = b"\r\n"
_CLOSE = (b"Connection", b"close")
_REASONS = {
    status: reason.encode("ascii")
    for status, reason in http.client.responses.items()
}

_log = logs.Log("edge")


@attrs.define
class Site:
    """State and settings that the connections of one listener share.

    Attributes:
        handler: Handles the requests.
        clock: Source of timers.
        counts: Counts dropped responses and refused heads.
        draining: Whether connections close after their current response.
        closing: Whether idle connections are closed.
        connections: Open connections.
        idle_seconds: Idle timeout between two requests.
        head_seconds: Time within which a caller must send a complete head.
        wire_dialect: Header names and conventions of the deployment.
        head_bytes: Largest head of a request in bytes.
        body_bytes: Largest body of a request in bytes, or 0 for any size.
        account: What all connections hold, of this and other listeners.
        turns: Defers the work of busy connections; None if it is not bounded.
    """

    handler: caller.Handler
    clock: Any
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    draining: bool = False
    closing: bool = False
    connections: set["Connection"] = attrs.field(factory=set)
    idle_seconds: float = IDLE_SECONDS
    head_seconds: float = HEAD_SECONDS
    wire_dialect: dialect.Dialect = dialect.DEFAULT
    head_bytes: int = framing.MAX_HEAD_BYTES
    body_bytes: int = 0
    account: byte_account.Account = attrs.field(factory=byte_account.Account)
    turns: "turns.Turns | None" = None

    def drain(self) -> None:
        """Makes each connection close after its current or next response."""
        self.draining = True

    def close_idle(self) -> None:
        """Closes idle connections, and later ones as they become idle."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def refuse_partial(self, error: errors.RequestError) -> None:
        """Sends an error to callers that have sent a part of a head."""
        for connection in list(self.connections):
            connection.refuse_partial(error)

    def close_withdrawn(self, valid: Callable[[str], bool]) -> None:
        """Closes idle connections whose last key is no longer valid.

        Args:
            valid: Returns whether a key is valid.
        """
        for connection in list(self.connections):
            if connection.token and not valid(connection.token):
                connection.close_if_idle()


@implementer(interfaces.IHalfCloseableProtocol)
class Connection(protocol.Protocol):
    """One HTTP/1.1 connection of a caller.

    Attributes:
        token: Key of the last request, empty if it had none.
    """

    transport: Any

    def __init__(self, site: Site):
        self._site = site
        self._http = h11.Connection(h11.SERVER, framing.MAX_HEAD_BYTES)
        self._response: caller_response.CallerResponse | None = None
        self._request: exchange.RequestSink | None = None
        self._timer: Any = None
        self._idle = True
        self._closing = False
        self._processing = False
        self._pipelined_bytes = 0
        self._max_pipelined_bytes = (
            MAX_PIPELINED_BYTES
            if site.turns is None
            else MAX_BOUNDED_PIPELINED_BYTES
        )
        self._method = b""
        self.token = ""
        # Bytes and lines of a head that is not complete, then its memory.
        self._head_held = 0
        self._head_lines = 0
        self._body_pieces: list[bytes] = []
        self._body_received = 0
        self._progress_at_bytes = PROGRESS_BYTES
        self._waits_for_turn = False
        self._waits_for_reader = False
        self._request_whole = False
        self._served_before = False
        self._share: byte_account.Share | None = None

    # Events of the transport.

    def connectionMade(self) -> None:  # noqa: N802
        """Sets up flow control and waits for the first head."""
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self._site.connections.add(self)
        account, now = self._site.account, self._site.clock.seconds()
        if account.bounded:
            self._share = account.open(self, now)
            # Bytes below this size are not charged.
            self.transport.bufferSize = UNCHARGED_ANSWER_BYTES
        self._source = flow.ReadThrottle(self.transport)
        self._drain = flow.WriteTracker(self._response_bytes_sent)
        self._drain.may_hold = self._may_hold_answer
        self._drain.on_empty = self._answers_read
        self.transport.registerProducer(self._drain, True)
        self._start_timer(self._site.head_seconds, self._head_timed_out)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes."""
        if self._closing or self._is_last_request():
            return
        if self._idle:
            data = data.lstrip(_BLANK)
            if not data:
                return
        was_idle, self._idle = self._idle, False
        self._http.receive_data(data)
        if self._http.their_state is h11.DONE:
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > self._max_pipelined_bytes:
                self.transport.pauseProducing()
        elif self._waits_for_turn:
            self._head_held += len(data)
            self.transport.pauseProducing()
        elif self._is_large_head(data):
            self._wait_for_turn()
        else:
            self._process()
        self._charge()
        # Most heads arrive in one piece and need no timer.
        begun = self._idle or self._response or self._waits_for_turn
        if was_idle and not (begun or self._closing):
            self._start_timer(self._site.head_seconds, self._head_timed_out)

    def _is_large_head(self, data: bytes) -> bool:
        """Whether parsing the head takes long; counts its parts."""
        if self._response is not None or self._site.turns is None:
            return False
        self._head_held += len(data)
        self._head_lines += data.count(b"\n")
        return self._head_lines > MAX_LINES

    def _wait_for_turn(self) -> None:
        """Defers the rest of the received bytes, so that others are served."""
        if self._waits_for_turn or self._site.turns is None:
            return
        self._waits_for_turn = True
        self.transport.pauseProducing()
        self._site.turns.add(self._take_turn)

    def _take_turn(self) -> None:
        if self._closing:
            # It has a timer of its own, or has been lost.
            self._waits_for_turn = False
            return
        if self._drain.paused and self._response is None:
            # The caller must read its answers before the next one is made.
            self._waits_for_reader = True
            self._start_timer(FLUSH_SECONDS, self._head_timed_out)
            return
        self._waits_for_turn = False
        self._process()
        self._count_unparsed()
        self._resume_reading()
        begun = self._idle or self._response or self._waits_for_turn
        if not (begun or self._closing or self._timer):
            self._start_timer(self._site.head_seconds, self._head_timed_out)
        self._charge()

    def _count_unparsed(self) -> None:
        """Counts again what was sent ahead, after a part has been handled."""
        whole = self._http.their_state is h11.DONE
        ahead = self._http.trailing_data[0] if whole else b""
        self._pipelined_bytes = len(ahead)

    def _answers_read(self) -> None:
        """Goes on when the caller has read its answers."""
        self._progressed()
        self._charge()
        if self._waits_for_reader:
            self._waits_for_reader = self._waits_for_turn = False
            self._start_timer(self._site.head_seconds, self._head_timed_out)
            self._wait_for_turn()

    def _continue(self, has_more: bool) -> None:
        """Goes on after an answer.

        Args:
            has_more: Whether a further request has been sent ahead.
        """
        if has_more:
            self._wait_for_turn()
        else:
            self._resume_reading()

    def _resume_reading(self) -> None:
        ahead = self._pipelined_bytes > self._max_pipelined_bytes
        if not (ahead or self._waits_for_turn or self._source.paused):
            self.transport.resumeProducing()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Treats a caller that closes its side before the response as gone."""
        if self._closing:
            self._close_transport()
        else:
            self.abort()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Starts the linger timer once the last response is flushed."""
        self._start_timer(LINGER_SECONDS, self._close_transport)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Cancels the exchange of a caller that has disconnected."""
        self._closing = True
        self._cancel_timer()
        self._site.connections.discard(self)
        if self._share is not None:
            self._site.account.close(self._share)
        self._cancel()

    # Requests.

    def _process(self) -> None:
        if self._processing:
            return
        self._processing = True
        try:
            # Bytes after the last request are ignored.
            self._handle_events()
            self._forward_body()
        except h11.RemoteProtocolError as error:
            self._refuse_malformed(error)
        except Exception:  # Other requests must not suffer from a defect.
            self._handler_failed()
        finally:
            self._processing = False

    def _handle_events(self) -> None:
        count = 0
        # Bytes after the last request are ignored.
        while not (self._closing or self._is_last_request()):
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._handle(event)
            count += 1
            if count >= MAX_EVENTS:
                self._wait_for_turn()
            if self._waits_for_turn:
                return

    def _forward_body(self) -> None:
        """Forwards the body bytes of this turn in one piece.

        A body in chunks of a few bytes would otherwise take many times its
        size in every part that it passes.
        """
        pieces = self._body_pieces
        if not pieces or self._request is None:
            return
        data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        pieces.clear()
        if self._is_over_limit(len(data)):
            return
        self._source.sent(len(data))
        self._request.body(data)

    def _is_over_limit(self, count: int) -> bool:
        """Refuses a body without a stated length that is too large.

        A part of it may have reached a target; then 413, which promises that
        the request has not run, must not be sent.
        """
        before = self._body_received
        self._body_received += count
        limit = self._site.body_bytes
        if not limit or self._share is None or self._body_received <= limit:
            return False
        self._note("body_too_large")
        head_sent = self._response is not None and self._response.head_sent
        self._cancel()
        if head_sent:
            self.abort()
            return True
        self.send_error(
            errors.BadRequestError(
                f"The body is larger than {limit} bytes; send less.",
                code="body_too_large",
                status=502 if before else 413,
                executed=errors.Executed.UNKNOWN
                if before
                else errors.Executed.NO,
            )
        )
        return True

    def _handler_failed(self) -> None:
        """Answers a request whose handler raised an unexpected exception."""
        self._site.counts["handlers_failed"] += 1
        _log.error(
            "a request ended with an unexpected exception.",
            traceback=traceback.format_exc()[-_MAX_TRACEBACK_CHARS:],
        )
        head_sent = self._response is not None and self._response.head_sent
        self._cancel()
        if head_sent or self._closing:
            self.abort()
            return
        self.send_error(
            errors.RequestError(
                "Internal error while handling the request; report the error "
                "in the log of this instance.",
                executed=errors.Executed.UNKNOWN,
                code=errors.CicadafrontError.code,
            )
        )

    def _is_last_request(self) -> bool:
        return self._http.their_state is h11.MUST_CLOSE

    def _handle(self, event: Any) -> None:
        match event:
            case h11.Request():
                self._begin(event)
            case h11.Data() if self._request is not None:
                self._body_pieces.append(bytes(event.data))
                if self._site.turns is None:
                    self._forward_body()
            case h11.EndOfMessage() if self._request is not None:
                self._forward_body()
                if self._request is not None:
                    self._request_whole = True
                    self._request.end()
            case h11.ConnectionClosed():
                self.abort()

    def _begin(self, event: h11.Request) -> None:
        self._cancel_timer()
        self._idle = False
        self._method = event.method
        self._source = flow.ReadThrottle(self.transport)
        self._drain.restart(self._response_bytes_sent)
        self._body_pieces.clear()
        self._begin_share(event)
        response = caller_response.CallerResponse(self, self._site.counts)
        self._response = response
        try:
            head, token = framing.request_head(
                event, self._site.wire_dialect, self._site.head_bytes
            )
            self._check_length(head)
        except errors.RequestError as error:
            self._site.counts["heads_refused"] += 1
            self._note(error.code)
            response.fail(error, exchange.Load())
            return
        self.token = token
        request = self._site.handler.begin(head, token, response)
        if not response.done:
            self._request = request

    def _begin_share(self, event: h11.Request) -> None:
        """Charges the memory of a parsed head."""
        self._body_received = self._head_lines = 0
        self._request_whole = False
        self._progress_at_bytes = PROGRESS_BYTES
        if self._share is not None:
            self._progressed()
            fields = len(event.headers.raw_items())
            self._head_held = fields * byte_account.FIELD_BYTES

    def _note(self, reason: str) -> None:
        if self._share is not None:
            self._site.account.note(reason)

    def _progressed(self) -> None:
        if self._share is not None:
            self._share.progress_at = self._site.clock.seconds()

    def _charge(self) -> None:
        """Records what the connection holds; may close it or others."""
        share = self._share
        if share is None or self._closing:
            return
        waits = self._request_whole or self._source.paused
        share.served = waits and not self._drain.paused
        share.idle = self._idle and self._served_before
        received = self._body_received
        if received >= self._progress_at_bytes:
            self._progress_at_bytes = received + PROGRESS_BYTES
            self._progressed()
        kept = min(received, buffers.MAX_BUFFERED_BYTES)
        self._site.account.set_held(
            share,
            byte_account.CONNECTION_BYTES
            + self._head_held
            + self._pipelined_bytes
            + max(self._source.outstanding, kept)
            + self._drain.held,
            self._site.clock.seconds(),
        )

    def _may_hold_answer(self, held: int) -> bool:
        return self._share is not None and self._site.account.admits_answer(
            held
        )

    def turn_away(self, reason: str) -> None:
        """Closes the connection because the process has too many clients.

        There is no answer, since the request may run at a target.
        """
        idle = self._idle and self._response is None
        if idle and not self._closing and not self._has_unread_bytes():
            # The answer before may still be on its way.
            self._closing = True
            self._start_timer(LINGER_SECONDS, self.abort)
            self.transport.loseConnection()
        else:
            self.abort()

    def _check_length(self, head: model.RequestHead) -> None:
        limit = self._site.body_bytes
        length = headers.value_of(head.headers, b"content-length")
        if limit and length.isdigit() and int(length) > limit:
            raise errors.BadRequestError(
                f"The body is larger than {limit} bytes; send less.",
                code="body_too_large",
                status=413,
            )

    def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        self._site.counts["heads_refused"] += 1
        executed = errors.Executed.NO
        if self._request is not None:
            # A part of the body may have reached a target.
            executed = errors.Executed.UNKNOWN
        head_sent = self._response is not None and self._response.head_sent
        self._cancel()
        if head_sent:
            self.abort()
            return
        self.send_error(
            errors.BadRequestError(
                f"The request is not valid HTTP/1.1: {error}.",
                status=error.error_status_hint,
                executed=executed,
            )
        )

    def _head_timed_out(self) -> None:
        unread = self._idle and self._has_unread_bytes()
        if unread or self._waits_for_turn and not self._waits_for_reader:
            # A busy process runs due timers before it reads its sockets.
            self._start_timer(self._site.head_seconds, self._head_timed_out)
            return
        if self._idle or not self._http.trailing_data[0]:
            self.close()
            return
        self._note("head_timeout")
        self.send_error(
            errors.BadRequestError(
                "The head did not arrive within"
                f" {self._site.head_seconds:g} s; send it without a pause.",
                code="head_timeout",
                status=408,
            )
        )

    def refuse_partial(self, error: errors.RequestError) -> None:
        """Sends an error to a caller that has sent a part of a head."""
        if not (self._closing or self._idle or self._response):
            self.send_error(error)

    def _cancel(self) -> None:
        request, self._request = self._request, None
        if self._response is not None:
            self._response.done = True
            self._response = None
        if request is not None:
            request.cancel()

    # Responses.

    def send_continue(self) -> None:
        """Sends `100 Continue` to a caller that waits for it."""
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def body_consumed(self, count: int) -> None:
        """Resumes reading after request body bytes have been forwarded."""
        self._source.consumed(count)
        self._charge()

    def send_head(self, head: model.ResponseHead) -> None:
        """Writes the response head."""
        fields = list(head.headers)
        if self._site.draining and not self._has_pipelined_request():
            fields.append(_CLOSE)
        reason = _REASONS.get(head.status, b"")
        self._send(
            h11.Response(status_code=head.status, headers=fields, reason=reason)
        )

    def _has_pipelined_request(self) -> bool:
        """Whether more bytes have arrived after the current request."""
        whole = self._http.their_state is h11.DONE
        return whole and bool(self._http.trailing_data[0].strip())

    def send_body(self, data: bytes) -> None:
        """Writes a chunk of the response body."""
        self._send(h11.Data(data=data))
        self._drain.wrote(len(data))
        self._charge()

    def send_end(self) -> None:
        """Completes the response and starts with the next request."""
        self._request = None
        self._response = None
        self._send(h11.EndOfMessage())
        if self._closing:
            return
        tcp.flush(self.transport)
        self._progressed()
        self._served_before = True
        self._head_held = self._head_lines = self._body_received = 0
        self._request_whole = False
        self._discard_request_body()
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
                # h11 takes empty data as the end of the connection.
                self._http.receive_data(rest)
        self._idle = not rest
        site = self._site
        seconds = site.idle_seconds if self._idle else site.head_seconds
        self._start_timer(seconds, self._head_timed_out)
        if self._source.outstanding:
            # What the answered request left unread concerns no other request.
            self._source = flow.ReadThrottle(self.transport)
        if site.turns is None:
            self._pipelined_bytes = 0
            self.transport.resumeProducing()
            self._process()
        else:
            # What is left must be counted again, or each answer would let in
            # as much as the first.
            self._pipelined_bytes = len(rest)
            self._continue(bool(rest))
        self._charge()
        if site.closing:
            # The head was sent before the stop, without `Connection: close`.
            self.close_if_idle()

    def send_error(self, error: errors.RequestError) -> None:
        """Sends an error response."""
        self._cancel_timer()
        self._discard_request_body()
        head, body = problem.response(
            error, self._site.wire_dialect.fractional_waits
        )
        unread = self._http.their_state not in (h11.DONE, h11.MUST_CLOSE)
        if unread and not self._site.draining:
            head = attrs.evolve(head, headers=(*head.headers, _CLOSE))
        self.send_head(head)
        if self._method != b"HEAD":
            self._send(h11.Data(data=body))
        self.send_end()

    def _discard_request_body(self) -> None:
        """Discards the part of the request body that has arrived."""
        self._request = None
        try:
            # Where work is bounded, a body in many pieces ends the connection.
            most = None if self._site.turns is None else MAX_EVENTS
            for _ in itertools.islice(itertools.count(), most):
                if self._http.their_state is not h11.SEND_BODY:
                    return
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
            # The body contradicts the head, so it cannot be completed.
            self._site.counts["answers_inconsistent"] += 1
            self.abort()
            return
        if data:
            self.transport.write(data)
            if self._drain.paused:
                self._drain.held += len(data)

    def _response_bytes_sent(self, count: int) -> None:
        if self._request is not None:
            self._request.consumed(count)

    # End of the connection.

    def close(self) -> None:
        """Closes the connection once the last response is flushed.

        Reading goes on for `LINGER_SECONDS` after that.
        """
        if self._closing:
            return
        self._closing = True
        self._cancel()
        self._start_timer(FLUSH_SECONDS, self.abort)
        self.transport.resumeProducing()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def abort(self) -> None:
        """Aborts the connection, so that no response looks complete."""
        self._closing = True
        self._cancel_timer()
        self._cancel()
        self.transport.abortConnection()

    def _close_transport(self) -> None:
        """Closes the transport; the operating system sends what is left.

        The last response may be complete in the send buffer of the socket;
        aborting the connection would destroy it.
        """
        self.transport.loseConnection()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is running or arriving."""
        if (
            self._response is None
            and self._idle
            and not self._has_unread_bytes()
        ):
            self.close()

    def _has_unread_bytes(self) -> bool:
        """Whether the socket holds bytes that have not been read."""
        if not interfaces.ISystemHandle.providedBy(self.transport):
            return False
        return bool(tcp.peek(self.transport))

    def cut(self) -> bool:
        """Ends the connection because the process is about to exit.

        A complete response still reaches the caller; an incomplete one must
        not look complete.

        Returns:
            Whether a request was interrupted.
        """
        if self._response is None and (self._idle or self._closing):
            self._closing = True
            self._cancel_timer()
            self.transport.loseConnection()
            return False
        self.abort()
        return True

    def _start_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._site.clock.callLater(seconds, action)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class Factory(protocol.Factory):
    """Creates the protocols of a listener's connections."""

    noisy = False

    def __init__(self, site: Site):
        self._site = site

    def buildProtocol(self, addr: Any) -> Connection | None:  # noqa: N802
        """Returns the protocol of a new connection, or None to refuse it."""
        if not self._site.account.admits(self._site.clock.seconds()):
            return None
        return Connection(self._site)
