"""Byte budget of the control datagrams of an instance."""

import enum

# IPv4 and UDP headers, which the budget counts as well.
HEADER_BYTES = 28
BYTES_PER_SECOND = 1200.0
# Covers several urgent broadcasts and the forwarding of others' at once.
BURST_BYTES = 24_000.0
# Part of the burst that ordinary datagrams leave to urgent ones.
RESERVE_BYTES = 12_000.0


class Priority(enum.Enum):
    """How far a datagram may draw the bucket down."""

    # Acknowledgements: without them healthy instances look dead.
    ANSWER = -12_000.0
    URGENT = 0.0
    # Failure detection slows down, but goes on during a burst.
    PROBE = RESERVE_BYTES / 2
    ORDINARY = RESERVE_BYTES


class ByteBudget:
    """Token bucket over sent bytes.

    Attributes:
        rate: Mean bytes per second.
    """

    def __init__(self, now: float, rate: float = BYTES_PER_SECOND):
        self.rate = rate
        # A faster pace brings a larger burst, after the same quiet time.
        self._burst = max(BURST_BYTES, BURST_BYTES / BYTES_PER_SECOND * rate)
        self._level = self._burst
        self._updated = now

    def level(self, now: float) -> float:
        """Returns the bytes that may be sent at once."""
        if now > self._updated:
            gained = (now - self._updated) * self.rate
            self._level = min(self._burst, self._level + gained)
            self._updated = now
        return self._level

    def available(self, now: float, priority: Priority) -> float:
        """Returns the bytes that a datagram of this priority may use."""
        return self.level(now) - priority.value

    def spend(self, now: float, size: int) -> None:
        """Accounts for a datagram; the level may become negative."""
        self._level = self.level(now) - size - HEADER_BYTES
