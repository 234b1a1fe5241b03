"""CUSUM change detection for an increased rate of bad outcomes."""

import enum
import math

import attrs

# At the tolerated rate of bad outcomes, a false alarm at this level occurs
# about once in e^12 (160,000) requests, which is every 2 h at 20 requests/s.
# The rate of bad outcomes of a healthy target is well below the tolerated one.
ALARM = 12.0
# Upper bound of the level; limits the recovery time after a fault.
LEVEL_CAP = 3 * ALARM
# Half-life of the level while a target is idle, so that old evidence expires.
# Long compared with the gap between requests at 1 request/s.
HALF_LIFE_SECONDS = 20.0


class Signal(enum.IntEnum):
    """Kind of evidence; the value is its index in an encoded summary."""

    FAULTS = 0
    ERRORS = 1
    SLOW = 2
    STALLED = 3


@attrs.define
class Cusum:
    """Cumulative sum of log-likelihood ratios, bounded below by zero.

    Attributes:
        tolerated: Share of bad outcomes of a healthy target.
        faulty: Share of bad outcomes of a target that must be detected.
        level: Value of the sum at `updated`.
        updated: Time of the last outcome, in seconds.
        onset: Start time, in seconds, of the request that last raised the
            sum from zero; an estimate of the change point.
    """

    tolerated: float
    faulty: float
    level: float = 0.0
    updated: float = 0.0
    onset: float = 0.0
    _bad_step: float = attrs.field(init=False)
    _good_step: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._bad_step = math.log(self.faulty / self.tolerated)
        self._good_step = math.log((1 - self.faulty) / (1 - self.tolerated))

    def add(self, now: float, bad: bool, started: float = 0.0) -> None:
        """Adds one outcome.

        Args:
            now: Time of the outcome, in seconds.
            bad: Whether the outcome is bad.
            started: Start time of the request, in seconds.
        """
        if self.level == 0.0:
            self.onset = started
        level = self.at(now) + (self._bad_step if bad else self._good_step)
        self.level = min(LEVEL_CAP, max(0.0, level))
        self.updated = now

    def at(self, now: float) -> float:
        """Returns the level, decayed by the time since the last outcome."""
        idle = max(0.0, now - self.updated)
        return self.level * 0.5 ** (idle / HALF_LIFE_SECONDS)
