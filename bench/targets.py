"""Service-time models of targets with fault injection."""

import enum
import math
import random
from collections.abc import Callable

from bench import loop
from cicadafront.health import outcomes

# A stalled request ends at the timeout of its route.
TIMEOUT_SECONDS = 5.0
# Shape parameter of the lognormal service times.
SIGMA = 0.5


class Fault(enum.Enum):
    """Fault of a target."""

    NONE = "none"
    STALL = "stall"
    MANGLE = "mangle"
    PARTLY_MANGLE = "partly mangle"
    SLOW = "slow"
    ERRORS = "errors"


# Share of requests that a fault affects, 1.0 if not listed.
SHARE = {Fault.PARTLY_MANGLE: 0.3}


class TargetModel:
    """Runs requests with lognormal service times.

    Attributes:
        fault: Current fault.
        median: Median service time, in seconds.
        slowdown: Factor on all service times, to model overload.
        factor: Additional factor on service times under the fault `SLOW`.
        noise: Share of requests that fail although the target is healthy.
        tail: Share of requests that take 20 times as long.
    """

    def __init__(
        self, clock: loop.Loop, rng: random.Random, median: float = 0.02
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.median = median
        self.fault = Fault.NONE
        self.slowdown = 1.0
        self.factor = 5.0
        self.noise = 0.0
        self.tail = 0.0

    def serve(self, done: Callable[[outcomes.Outcome], None]) -> None:
        """Runs one request and passes its outcome to `done`."""
        seconds = self.median * math.exp(self.rng.gauss(0.0, SIGMA))
        seconds *= self.slowdown
        if self.tail and self.rng.random() < self.tail:
            seconds *= 20
        outcome: outcomes.Outcome = outcomes.Completed(200, seconds)
        if self.noise and self.rng.random() < self.noise:
            outcome = self.rng.choice(
                [
                    outcomes.Completed(503, seconds),
                    outcomes.Failed(outcomes.FailureKind.RESET),
                ]
            )
        if self.rng.random() < SHARE.get(self.fault, 1.0):
            seconds, outcome = self._faulty(seconds, outcome)
        self.clock.later(seconds, lambda: done(outcome))

    def _faulty(
        self, seconds: float, outcome: outcomes.Outcome
    ) -> tuple[float, outcomes.Outcome]:
        match self.fault:
            case Fault.STALL:
                failed = outcomes.Failed(outcomes.FailureKind.TIMEOUT)
                return TIMEOUT_SECONDS, failed
            case Fault.MANGLE | Fault.PARTLY_MANGLE:
                return seconds, outcomes.Failed(outcomes.FailureKind.MANGLED)
            case Fault.SLOW:
                slow = seconds * self.factor
                return slow, outcomes.Completed(200, slow)
            case Fault.ERRORS:
                return seconds, outcomes.Completed(500, seconds)
        return seconds, outcome
