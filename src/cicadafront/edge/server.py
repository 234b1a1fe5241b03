"""HTTP/1.1 server for callers."""

import collections
import http.client
import traceback
from collections.abc import Callable
from typing import Any

import attrs
import h11
from twisted.internet import interfaces, protocol
from twisted.python import failure
from zope.interface import implementer

from cicadafront import dialect, errors, headers, model, tcp
from cicadafront.edge import caller, caller_response, framing, problem
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
        self._method = b""
        self.token = ""

    # Events of the transport.

    def connectionMade(self) -> None:  # noqa: N802
        """Sets up flow control and waits for the first head."""
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        self._site.connections.add(self)
        self._source = flow.ReadThrottle(self.transport)
        self._drain = flow.WriteTracker(self._response_bytes_sent)
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
            if self._pipelined_bytes > MAX_PIPELINED_BYTES:
                self.transport.pauseProducing()
            return
        self._process()
        # Most heads arrive in one piece and need no timer.
        if was_idle and not (self._idle or self._response or self._closing):
            self._start_timer(self._site.head_seconds, self._head_timed_out)

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
        self._cancel()

    # Requests.

    def _process(self) -> None:
        if self._processing:
            return
        self._processing = True
        try:
            # Bytes after the last request are ignored.
            while not (self._closing or self._is_last_request()):
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                self._handle(event)
        except h11.RemoteProtocolError as error:
            self._refuse_malformed(error)
        except Exception:  # Other requests must not suffer from a defect.
            self._handler_failed()
        finally:
            self._processing = False

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
                data = bytes(event.data)
                self._source.sent(len(data))
                self._request.body(data)
            case h11.EndOfMessage() if self._request is not None:
                self._request.end()
            case h11.ConnectionClosed():
                self.abort()

    def _begin(self, event: h11.Request) -> None:
        self._cancel_timer()
        self._idle = False
        self._method = event.method
        self._source = flow.ReadThrottle(self.transport)
        self._drain.restart(self._response_bytes_sent)
        response = caller_response.CallerResponse(self, self._site.counts)
        self._response = response
        try:
            head, token = framing.request_head(
                event, self._site.wire_dialect, self._site.head_bytes
            )
            self._check_length(head)
        except errors.RequestError as error:
            self._site.counts["heads_refused"] += 1
            response.fail(error, exchange.Load())
            return
        self.token = token
        request = self._site.handler.begin(head, token, response)
        if not response.done:
            self._request = request

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
        if self._idle and self._has_unread_bytes():
            # A busy process runs due timers before it reads its sockets.
            self._start_timer(self._site.head_seconds, self._head_timed_out)
            return
        if self._idle or not self._http.trailing_data[0]:
            self.close()
            return
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

    def send_end(self) -> None:
        """Completes the response and starts with the next request."""
        self._request = None
        self._response = None
        self._send(h11.EndOfMessage())
        if self._closing:
            return
        tcp.flush(self.transport)
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
        self._pipelined_bytes = 0
        self.transport.resumeProducing()
        self._process()
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
            # The body contradicts the head, so it cannot be completed.
            self._site.counts["answers_inconsistent"] += 1
            self.abort()
            return
        if data:
            self.transport.write(data)

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

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return Connection(self._site)
