"""One TCP connection between two instances.

The instance that connects opens the streams and calls; the other instance
serves them. Two instances that open streams to each other use two links, so
stream ids of the two sides cannot collide.
"""

import collections
import itertools
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import attrs
import automat
from twisted.internet import defer, interfaces, protocol
from twisted.protocols import basic
from twisted.python import failure

from cicadafront import errors, ports, tcp
from cicadafront.edge import byte_account
from cicadafront.peer import codec, exchange, failures, heartbeat, streams

PROTOCOL_VERSION = 1
# A configuration part or manifest (below 1 MB) must fit into one frame.
MAX_FRAME_BYTES = 2 * 1024 * 1024
HELLO_TIMEOUT_SECONDS = 2.0
# A hello has a name and two numbers. Until it has arrived, anybody may be at
# the other end of an accepted link.
MAX_HELLO_BYTES = 4 * 1024

Counts = collections.Counter[str]


@attrs.frozen
class LinkContext:
    """Dependencies of a link on its instance.

    Attributes:
        hello: First frame that this side sends.
        opener: Starts the exchanges of streams that the peer opens.
        handlers: Call handlers by method name.
        clock: Source of time and timers.
        counts: Counters of dropped frames, lost links and similar events.
        report_path: Called with the id of a peer and whether the path to it
            works.
    """

    hello: codec.Hello
    opener: exchange.Opener
    handlers: Mapping[str, ports.CallHandler]
    clock: Any
    counts: Counts = attrs.field(factory=collections.Counter)
    report_path: Callable[[str, bool], None] = lambda peer, works: None


class _Lifecycle(Protocol):
    """Lifecycle events of a link."""

    def connected(self) -> None:
        """The TCP connection is established."""

    def hello_accepted(self) -> None:
        """The peer has sent an acceptable hello."""

    def lost(self) -> None:
        """The TCP connection failed, was lost or was closed."""


def _build_machine() -> Any:
    builder = automat.TypeMachineBuilder(_Lifecycle, Link)
    connecting = builder.state("connecting")
    greeting = builder.state("greeting")
    ready = builder.state("ready")
    closed = builder.state("closed")

    @connecting.upon(_Lifecycle.connected).to(greeting)
    def _start_handshake(lifecycle: _Lifecycle, link: "Link") -> None:
        link.write_hello()

    @greeting.upon(_Lifecycle.hello_accepted).to(ready)
    def _ready(lifecycle: _Lifecycle, link: "Link") -> None:
        link.send_queued()

    @connecting.upon(_Lifecycle.lost).to(closed)
    def _failed(lifecycle: _Lifecycle, link: "Link") -> None:
        link.fail_all(errors.Executed.NO)

    @greeting.upon(_Lifecycle.lost).to(closed)
    def _handshake_failed(lifecycle: _Lifecycle, link: "Link") -> None:
        link.fail_all(errors.Executed.NO)

    @ready.upon(_Lifecycle.lost).to(closed)
    def _lost(lifecycle: _Lifecycle, link: "Link") -> None:
        link.fail_all(errors.Executed.UNKNOWN)

    closed.upon(_Lifecycle.lost).loop().returns(None)
    closed.upon(_Lifecycle.connected).loop().returns(None)
    closed.upon(_Lifecycle.hello_accepted).loop().returns(None)
    ready.upon(_Lifecycle.hello_accepted).loop().returns(None)
    return builder.build()


class Link(basic.Int32StringReceiver):
    """A link, from the connection attempt until it is closed.

    Attributes:
        peer: Id of the peer; for an accepted link, empty until the hello.
        closed: Whether the link is closed.
        established: Whether the link was ever ready.
        ready: Whether the hello has arrived, so that frames are sent at once.
        last_used: Clock time of the last use or frame, in seconds.
    """

    MAX_LENGTH = MAX_FRAME_BYTES
    transport: Any = None

    def __init__(
        self,
        context: LinkContext,
        peer: str = "",
        on_closed: Callable[["Link"], None] = lambda _: None,
        on_suspect: Callable[["Link", bool], None] = lambda *_: None,
        account: byte_account.Account | None = None,
    ):
        """Creates a link that is not connected yet.

        Args:
            context: Dependencies on this instance.
            peer: Id of the peer; empty for an accepted link.
            on_closed: Called once when the link is closed.
            on_suspect: Called with True when the peer has left a ping
                unanswered, and with False when it sends a frame again.
            account: What all connections of the process hold, if bounded.
        """
        self._context = context
        self._clock = context.clock
        self._accepted = not peer
        self._account = account
        self._share: byte_account.Share | None = None
        if self._accepted:
            self.MAX_LENGTH = MAX_HELLO_BYTES
        self.peer = peer
        self.ready = False
        self.closed = False
        self.established = False
        self.last_used = self._clock.seconds()
        self._on_closed = on_closed
        self._on_suspect = on_suspect
        self._queued: list[codec.Frame] = []
        self._streams: dict[int, streams.Outgoing | streams.Incoming] = {}
        self._calls: dict[int, defer.Deferred[bytes]] = {}
        self._ids = itertools.count(1)
        self._highest_id = 0
        self._hello_timer: Any = None
        self._heartbeat = heartbeat.Heartbeat(
            self._clock,
            lambda: self.busy,
            self._ping,
            self._peer_unresponsive,
            self._path_suspected,
        )
        self._lifecycle = _MACHINE(self)

    @property
    def busy(self) -> bool:
        """Whether streams or calls are open."""
        return bool(self._streams or self._calls)

    @property
    def suspect(self) -> bool:
        """Whether the peer has left a ping unanswered."""
        return self._heartbeat.suspected

    def open(
        self, request: exchange.OpenRequest, response: exchange.ResponseSink
    ) -> exchange.RequestSink:
        """Opens a stream; its frames are queued until the link is ready."""
        id = next(self._ids)
        stream = streams.Outgoing(
            self, id, response, self._clock.seconds(), request.confirm
        )
        self._streams[id] = stream
        self.send(codec.Open(id, request))
        self._expect_frame()
        if self.closed:
            self._streams.pop(id)
            self._clock.callLater(
                0, stream.lost, self._link_lost_error(errors.Executed.NO)
            )
        return stream

    def call(
        self, method: str, body: bytes, timeout: float
    ) -> defer.Deferred[bytes]:
        """Calls a method of the peer.

        Args:
            method: Name of the method.
            body: Encoded request of the call.
            timeout: Time limit in seconds.

        Returns:
            The encoded reply. Fails with `CallFailedError`, whose code is
            `call_failed` if the link was lost, `call_timeout` after the time
            limit, or else the code of the peer's error.
        """
        if self.closed:
            return defer.fail(
                failures.call_error("call_failed", self._lost_message())
            )
        id = next(self._ids)
        sent_at = self._clock.seconds()
        result: defer.Deferred[bytes] = defer.Deferred()
        self._calls[id] = result
        result.addTimeout(
            timeout, self._clock, lambda *_: self._call_timed_out(sent_at)
        )
        result.addBoth(self._call_finished, id)
        self.send(codec.Call(id, method, body))
        self._expect_frame()
        return result

    def close(self) -> None:
        """Closes the link; its open streams and calls fail."""
        if self.transport is not None:
            self.transport.abortConnection()
        self._lifecycle.lost()

    def finish(self) -> None:
        """Closes the sending side after all written frames.

        A link that is not ready is closed at once.
        """
        if self.ready:
            self.transport.loseWriteConnection()
        else:
            self.close()

    def send(self, frame: codec.Frame) -> None:
        """Sends a frame, or queues it until the peer's hello arrives."""
        if self.ready:
            self.sendString(codec.encode(frame))
            if isinstance(frame, codec.End | codec.Reset):
                tcp.flush(self.transport)
        elif not self.closed:
            self._queued.append(frame)

    def check(self) -> None:
        """Pings the peer at once, also on an idle link."""
        if self.ready:
            self._heartbeat.check_now()

    def answer_overdue(self, since: float) -> None:
        """Pings the peer at once if it has sent nothing since a time."""
        if self.ready:
            self._heartbeat.answer_overdue(since)

    def remove_stream(self, id: int) -> None:
        """Removes a stream that has ended."""
        self._streams.pop(id, None)
        self.last_used = self._clock.seconds()

    def drop(self, frame: codec.Frame) -> None:
        """Drops and counts a frame that no stream or call expects."""
        self._context.counts["frames_dropped"] += 1

    # Twisted protocol callbacks.

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the handshake."""
        if interfaces.ITCPTransport.providedBy(self.transport):
            self.transport.setTcpNoDelay(True)
        if self.closed:
            self.transport.abortConnection()
            return
        if self._account is not None:
            self._share = self._account.open(self, self._clock.seconds())
        self._hello_timer = self._clock.callLater(
            HELLO_TIMEOUT_SECONDS, self.close
        )
        self._lifecycle.connected()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes."""
        if self.ready:
            self._heartbeat.bytes_received()
        super().dataReceived(data)
        if self._share is not None and self._account is not None:
            held = byte_account.CONNECTION_BYTES + len(self._unprocessed)
            self._account.set_held(self._share, held, self._clock.seconds())

    def turn_away(self, reason: str) -> None:
        """Closes the link because the process holds too much."""
        self.close()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fails all open streams and calls."""
        if self._share is not None and self._account is not None:
            self._account.close(self._share)
        self._lifecycle.lost()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handles one frame."""
        self.last_used = self._clock.seconds()
        self._heartbeat.frame_received()
        try:
            self._receive(codec.decode(string))
        except codec.FrameError:
            self._context.counts["frames_invalid"] += 1
            self.close()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Closes the link because a frame exceeds `MAX_FRAME_BYTES`."""
        self._context.counts["frames_invalid"] += 1
        if self._account is not None:
            self._account.note("frame_too_large")
        self.close()

    def _receive(self, frame: codec.Frame) -> None:
        match frame:
            case codec.Hello():
                self._receive_hello(frame)
            case _ if not self.ready:
                self.drop(frame)
            case codec.Open(id, request):
                self._receive_open(id, request)
            case codec.Call():
                self._receive_call(frame)
            case codec.Reply():
                self._receive_reply(frame)
            case codec.Ping(token):
                self.send(codec.Pong(token))
            case codec.Pong():
                pass
            case _:
                stream = self._streams.get(frame.id)
                if stream is None:
                    self.drop(frame)
                else:
                    self._dispatch(stream, frame)

    def _dispatch(
        self, stream: streams.Outgoing | streams.Incoming, frame: codec.Frame
    ) -> None:
        try:
            stream.receive(frame)
        except Exception as error:
            # A failure in one stream must not affect the others.
            failures.log_failure(error)
            stream.abort(failures.internal_error())

    def _receive_hello(self, hello: codec.Hello) -> None:
        expected = self.peer in ("", hello.instance)
        if hello.version != PROTOCOL_VERSION or not expected:
            self._context.counts["hellos_refused"] += 1
            self.close()
            return
        self.peer = hello.instance
        self._lifecycle.hello_accepted()

    def _receive_open(self, id: int, request: exchange.OpenRequest) -> None:
        if not self._accepted or id <= self._highest_id:
            self.drop(codec.End(id))
            return
        self._highest_id = id
        stream = streams.Incoming(self, id)
        self._streams[id] = stream
        self._heartbeat.start()
        try:
            stream.attach(self._context.opener.open(request, stream))
        except Exception as error:
            # A failure in one stream must not affect the others.
            failures.log_failure(error)
            stream.fail(failures.internal_error(), exchange.Load())

    def _receive_call(self, call: codec.Call) -> None:
        handler = self._context.handlers.get(call.method)
        if handler is None:
            code = "method_unknown"
            self.send(codec.Reply(call.id, code, call.method.encode()))
            return
        result = defer.maybeDeferred(handler, self.peer, call.body)
        result.addCallbacks(
            lambda body: self.send(codec.Reply(call.id, "", body)),
            lambda reason: self.send(failures.error_reply(call.id, reason)),
        )

    def _receive_reply(self, reply: codec.Reply) -> None:
        waiting = self._calls.pop(reply.id, None)
        if waiting is None:
            self.drop(reply)
        elif reply.code:
            text = reply.body.decode("utf-8", "replace")
            waiting.errback(failures.call_error(reply.code, text))
        else:
            waiting.callback(reply.body)

    def _call_timed_out(self, sent_at: float) -> failure.Failure:
        self.answer_overdue(sent_at)
        message = f"{self.peer} did not reply in time."
        return failure.Failure(failures.call_error("call_timeout", message))

    def _call_finished(self, result: Any, id: int) -> Any:
        self._calls.pop(id, None)
        self.last_used = self._clock.seconds()
        return result

    # Lifecycle.

    def write_hello(self) -> None:
        """Sends the hello of this side."""
        self.sendString(codec.encode(self._context.hello))

    def send_queued(self) -> None:
        """Marks the link as ready and sends the queued frames."""
        self._cancel_hello_timer()
        self.ready = True
        self.established = True
        self.MAX_LENGTH = MAX_FRAME_BYTES
        if self._share is not None:
            # The link of an instance carries requests of many callers.
            self._share.served = True
        if not self._accepted:
            self._context.report_path(self.peer, True)
        queued, self._queued = self._queued, []
        for frame in queued:
            self.send(frame)
        if queued:
            self._expect_frame()

    def fail_all(self, executed: errors.Executed) -> None:
        """Closes the link and fails all open streams and calls.

        Args:
            executed: Whether requests of open streams may have run.
        """
        self._cancel_hello_timer()
        self._heartbeat.stop()
        self.ready = False
        self.closed = True
        self._queued.clear()
        open_streams, self._streams = self._streams, {}
        calls, self._calls = self._calls, {}
        if open_streams or calls:
            self._context.counts["links_lost"] += 1
        self._on_closed(self)
        for stream in open_streams.values():
            stream.lost(self._link_lost_error(executed))
        for waiting in calls.values():
            waiting.errback(
                failures.call_error("call_failed", self._lost_message())
            )

    def _expect_frame(self) -> None:
        # Before the hello, the limits of the connection attempt apply.
        if self.ready:
            self._heartbeat.frame_expected()

    def _path_suspected(self, late: bool) -> None:
        if self._accepted:
            return
        self._context.report_path(self.peer, not late)
        self._on_suspect(self, late)
        if late:
            error = self._link_lost_error(errors.Executed.NO)
            for stream in list(self._streams.values()):
                if isinstance(stream, streams.Outgoing):
                    stream.link_suspected(error)

    def _ping(self, token: int) -> None:
        self.send(codec.Ping(token))

    def _peer_unresponsive(self) -> None:
        self._context.counts["links_silent"] += 1
        self.close()

    def _cancel_hello_timer(self) -> None:
        if self._hello_timer is not None and self._hello_timer.active():
            self._hello_timer.cancel()

    def _link_lost_error(
        self, executed: errors.Executed
    ) -> errors.RequestError:
        return errors.LinkLostError(self._lost_message(), executed=executed)

    def _lost_message(self) -> str:
        return f"The connection to instance {self.peer} was lost; try again."


_MACHINE = _build_machine()
