"""Sequential evidence for a change to a worse rate of bad outcomes."""

import enum
import math

import attrs

# An alarm with this much evidence comes by chance once in about e^12
# (160,000) requests at the tolerated rate; at 20 requests/s that is 2 h, and
# real rates of bad outcomes stay well below the tolerated one.
ALARM = 12.0
# Bounds the time that evidence needs to fall again after a fault.
LEVEL_CAP = 3 * ALARM
# Evidence of an idle target must not stay valid for ever. The time is long
# against the gap between requests at 1 request/s.
HALF_LIFE_SECONDS = 20.0


class Signal(enum.IntEnum):
    """Kinds of evidence; the value is the position in a summary."""

    FAULTS = 0
    ERRORS = 1
    SLOW = 2
    STALLED = 3


@attrs.define
class Cusum:
    """Cumulative sum of log-likelihood ratios, never below zero.

    Attributes:
        tolerated: Share of bad outcomes of a healthy target.
        faulty: Share of bad outcomes of a target that must be found.
        level: Evidence at `updated`.
        updated: Time of the last outcome, in seconds.
        onset: Start of the request with which the evidence last left zero;
            estimates when the target changed.
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
        """Counts one outcome of a request."""
        if self.level == 0.0:
            self.onset = started
        level = self.at(now) + (self._bad_step if bad else self._good_step)
        self.level = min(LEVEL_CAP, max(0.0, level))
        self.updated = now

    def at(self, now: float) -> float:
        """Returns the evidence, reduced by the time without outcomes."""
        idle = max(0.0, now - self.updated)
        return self.level * 0.5 ** (idle / HALF_LIFE_SECONDS)
