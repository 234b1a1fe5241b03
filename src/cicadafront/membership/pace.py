"""Pace at which an instance compares its state with peers; free of I/O.

A single change reaches a calm fleet fastest as a broadcast, which each instance
forwards several times. When many instances change at once, such as at the start
of the fleet, the broadcasts cost far more than the comparison of whole states,
whose cost does not depend on the number of changes. Both decisions follow the
number of records that an instance learns, so that they hold for any size.
"""

import enum

import attrs

# Shortest interval between comparisons, used while they bring new records.
MIN_INTERVAL_SECONDS = 0.2
# A change is broadcast only while fewer records than this were learned lately
# other than by broadcasts. Broadcasting as many takes 100 datagrams.
MAX_LEARNED = 12.0
# Learned records that are forgotten per second.
FORGOTTEN_PER_SECOND = 8.0
# Learned records that count at most. A newcomer learns the whole fleet at once
# and must be able to broadcast its own changes soon after.
MAX_REMEMBERED = 2 * MAX_LEARNED
# An instance cannot tell a calm fleet from one that starts together with it
# before it has compared its state with some peers.
OBSERVATION_SECONDS = 0.6


class Spread(enum.Enum):
    """How a change of this instance is spread."""

    WAIT = "wait"
    BROADCAST = "broadcast"
    COMPARE = "compare"


@attrs.define
class Pace:
    """Follows how much an instance learns from its peers.

    Attributes:
        max_interval: Interval between comparisons of a calm fleet, in seconds.
        next_at: Time of the next comparison in seconds.
    """

    max_interval: float
    next_at: float
    _interval: float = MIN_INTERVAL_SECONDS
    _met_at: float | None = None
    _learned: float = 0.0
    _updated: float = 0.0

    def met_peers(self, now: float) -> None:
        """Records that this instance knows another one."""
        if self._met_at is None:
            self._met_at = now

    def learned(self, now: float, records: int, compared: bool) -> None:
        """Records that a peer sent new records.

        Args:
            now: The current time in seconds.
            records: Number of records that were new to this instance.
            compared: Whether a comparison brought them.
        """
        self._learned = min(MAX_REMEMBERED, self._level(now) + records)
        self._updated = now
        if compared:
            self._compare_soon(now)

    def compares(self, now: float, jitter: float) -> None:
        """Schedules the next comparison; the interval doubles each time.

        Args:
            now: The current time in seconds.
            jitter: Factor of the interval, about 1.
        """
        self.next_at = now + jitter * min(self._interval, self.max_interval)
        self._interval = min(self.max_interval, 2 * self._interval)

    def spread(self, now: float) -> Spread:
        """Returns how a change of this instance should be spread now."""
        if self._met_at is None or now - self._met_at < OBSERVATION_SECONDS:
            return Spread.WAIT
        if self._level(now) < MAX_LEARNED:
            return Spread.BROADCAST
        self._compare_soon(now)
        return Spread.COMPARE

    def _compare_soon(self, now: float) -> None:
        self._interval = MIN_INTERVAL_SECONDS
        self.next_at = min(self.next_at, now + MIN_INTERVAL_SECONDS)

    def _level(self, now: float) -> float:
        forgotten = FORGOTTEN_PER_SECOND * (now - self._updated)
        return max(0.0, self._learned - forgotten)
