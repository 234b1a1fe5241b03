"""Detects a peer that has fallen silent."""

from collections.abc import Callable
from typing import Any

# Silence on a busy link after which a heartbeat is sent.
PING_AFTER_SECONDS = 0.5
# Silence after a heartbeat from which on new requests avoid the link; round
# trips take a few milliseconds.
DOUBT_AFTER_SECONDS = 0.2
# Silence after a heartbeat that proves the link dead.
DEAD_AFTER_SECONDS = 1.5
# A timer that fires this late shows a pause of this process, not of the peer.
LATE_SECONDS = 0.25


class Heartbeat:
    """Watches a link while something is open on it."""

    def __init__(
        self,
        clock: Any,
        busy: Callable[[], bool],
        ping: Callable[[int], None],
        dead: Callable[[], None],
        doubt: Callable[[bool], None] = lambda _: None,
    ):
        """Creates a heartbeat that watches nothing yet.

        Args:
            clock: Source of time and timers.
            busy: Whether something is open on the link.
            ping: Sends a heartbeat with a token.
            dead: Called when the peer has not answered.
            doubt: Called with True when an answer is late, and with False
                when the peer is heard again.
        """
        self._clock = clock
        self._busy = busy
        self._ping = ping
        self._dead = dead
        self._doubt = doubt
        self._doubted = False
        self._timer: Any = None
        self._due = 0.0
        self._heard = 0.0
        self._pinged = False

    def heard(self) -> None:
        """Notes that a frame has arrived."""
        self._heard = self._clock.seconds()
        self._pinged = False
        if self._doubted:
            self._doubted = False
            self._doubt(False)

    def watch(self) -> None:
        """Starts to watch; to be called when something is opened."""
        if self._timer is None:
            # Silence counts from now: an idle link owes no frames.
            self.heard()
            self._arm(PING_AFTER_SECONDS)

    def stop(self) -> None:
        """Watches no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self, delay: float) -> None:
        self._due = self._clock.seconds() + delay
        self._timer = self._clock.callLater(delay, self._check)

    def _check(self) -> None:
        self._timer = None
        if not self._busy():
            return
        now = self._clock.seconds()
        silent = now - self._heard
        if now - self._due > LATE_SECONDS:
            # Frames may wait unread in the socket.
            self._arm(LATE_SECONDS)
        elif self._doubted:
            self._dead()
        elif self._pinged:
            self._doubted = True
            self._doubt(True)
            self._arm(DEAD_AFTER_SECONDS - DOUBT_AFTER_SECONDS)
        elif silent >= PING_AFTER_SECONDS:
            self._pinged = True
            self._ping(int(now * 1000))
            self._arm(DOUBT_AFTER_SECONDS)
        else:
            self._arm(PING_AFTER_SECONDS - silent)
