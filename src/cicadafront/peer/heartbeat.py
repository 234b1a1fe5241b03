"""Detects an unresponsive peer by heartbeats.

Any received byte shows that the peer is alive. A large frame may take longer
than the limits below on a slow link.
"""

from collections.abc import Callable
from typing import Any

# Time without a byte on a busy link after which a ping is sent.
PING_AFTER_SECONDS = 0.5
# Age from which a request that ends without an answer leads to a ping; peers
# answer within a few milliseconds.
OVERDUE_AFTER_SECONDS = 0.1
# Time without a byte after a ping until the peer counts as suspect and new
# requests avoid the link; round trips take a few milliseconds.
SUSPECT_AFTER_SECONDS = 0.2
# Time without a byte after a ping until the link counts as dead.
DEAD_AFTER_SECONDS = 1.5
# A timer that fires later than this indicates a pause of this process, not of
# the peer.
MAX_TIMER_DELAY_SECONDS = 0.25


class Heartbeat:
    """Monitors a link while it is in use or a frame of the peer is due.

    Attributes:
        suspected: Whether the peer has left a ping unanswered for
            `SUSPECT_AFTER_SECONDS`.
    """

    def __init__(
        self,
        clock: Any,
        busy: Callable[[], bool],
        ping: Callable[[int], None],
        on_dead: Callable[[], None],
        on_suspect: Callable[[bool], None] = lambda _: None,
    ):
        """Creates a stopped heartbeat.

        Args:
            clock: Source of time and timers.
            busy: Returns whether streams or calls are open on the link.
            ping: Sends a ping with the given token.
            on_dead: Called when nothing arrived within
                `DEAD_AFTER_SECONDS` of a ping.
            on_suspect: Called with True when nothing arrived within
                `SUSPECT_AFTER_SECONDS` of a ping, and with False when bytes
                arrive again.
        """
        self.suspected = False
        self._clock = clock
        self._busy = busy
        self._ping = ping
        self._on_dead = on_dead
        self._on_suspect = on_suspect
        self._timer: Any = None
        self._due_at = 0.0
        # Time since which the link carries nothing although it is in use.
        self._silent_since = 0.0
        self._frame_due = False
        self._ping_sent = False

    def frame_received(self) -> None:
        """Records that a complete frame has arrived."""
        self._frame_due = False
        self.bytes_received()

    def bytes_received(self) -> None:
        """Records that a part of a frame has arrived."""
        self._silent_since = self._clock.seconds()
        self._ping_sent = False
        if self.suspected:
            self.suspected = False
            self._on_suspect(False)

    def frame_expected(self) -> None:
        """Starts monitoring until a frame arrives; called after a request.

        The peer answers every stream and call. One that ends before its answer
        still shows the state of the link.
        """
        self.start()
        self._frame_due = True

    def answer_overdue(self, since: float) -> None:
        """Pings the peer at once if it has sent nothing for some time.

        Args:
            since: Time of a request that ended without an answer, in seconds.
        """
        overdue = self._clock.seconds() - since >= OVERDUE_AFTER_SECONDS
        if overdue and self._silent_since <= since:
            self.check_now()

    def check_now(self) -> None:
        """Pings the peer at once unless an earlier ping is unanswered."""
        if not self._ping_sent:
            self.stop()
            self._send_ping()

    def start(self) -> None:
        """Starts monitoring; called when a stream or call is opened."""
        if self._timer is None:
            # Measured from now, because an idle link carries no frames.
            self._silent_since = self._clock.seconds()
            self._start_timer(PING_AFTER_SECONDS)

    def stop(self) -> None:
        """Stops monitoring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self, delay: float) -> None:
        self._due_at = self._clock.seconds() + delay
        self._timer = self._clock.callLater(delay, self._check)

    def _check(self) -> None:
        self._timer = None
        if not (self._frame_due or self._busy()):
            return
        now = self._clock.seconds()
        idle = now - self._silent_since
        if now - self._due_at > MAX_TIMER_DELAY_SECONDS:
            # This process was paused; frames may be unread in the socket.
            self._start_timer(MAX_TIMER_DELAY_SECONDS)
        elif self.suspected:
            self._on_dead()
        elif self._ping_sent:
            self.suspected = True
            self._on_suspect(True)
            self._start_timer(DEAD_AFTER_SECONDS - SUSPECT_AFTER_SECONDS)
        elif idle >= PING_AFTER_SECONDS:
            self._send_ping()
        else:
            self._start_timer(PING_AFTER_SECONDS - idle)

    def _send_ping(self) -> None:
        self._ping_sent = True
        self._frame_due = True
        self._ping(int(self._clock.seconds() * 1000))
        self._start_timer(SUSPECT_AFTER_SECONDS)
