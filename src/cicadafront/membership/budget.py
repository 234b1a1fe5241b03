"""Rate limit on the bytes of gossip datagrams that an instance sends."""

import enum

# IPv4 and UDP headers, which count towards the budget.
HEADER_BYTES = 28
BYTES_PER_SECOND = 1200.0
# Covers several urgent broadcasts and forwards of broadcasts at once.
BURST_BYTES = 24_000.0
# Part of the burst that is reserved for urgent datagrams.
RESERVE_BYTES = 12_000.0


class Priority(enum.Enum):
    """Level in bytes above which the bucket must be to send a datagram."""

    # Acknowledgements; without them healthy instances would be marked dead.
    ANSWER = -12_000.0
    URGENT = 0.0
    # Failure detection continues during a burst, at a lower rate.
    PROBE = RESERVE_BYTES / 2
    ORDINARY = RESERVE_BYTES


class ByteBudget:
    """Token bucket over sent bytes.

    Attributes:
        rate: Refill rate in bytes per second.
    """

    def __init__(self, now: float, rate: float = BYTES_PER_SECOND):
        self.rate = rate
        # A higher rate gets a larger burst, which fills in the same time.
        self._burst = max(BURST_BYTES, BURST_BYTES / BYTES_PER_SECOND * rate)
        self._level = self._burst
        self._updated = now

    def level(self, now: float) -> float:
        """Returns the fill level in bytes; negative after an overdraft."""
        if now > self._updated:
            gained = (now - self._updated) * self.rate
            room = max(0.0, self._burst - self._level)
            self._level += min(room, gained)
            self._updated = now
        return self._level

    def available(self, now: float, priority: Priority) -> float:
        """Returns the bytes available to a datagram of this priority."""
        return self.level(now) - priority.value

    def earn(self, now: float, size: int) -> None:
        """Adds `size` bytes, which may raise the level above the burst."""
        if size:
            self._level = self.level(now) + size

    def spend(self, now: float, size: int) -> None:
        """Deducts a datagram of `size` bytes; the level may become negative."""
        self._level = self.level(now) - size - HEADER_BYTES
