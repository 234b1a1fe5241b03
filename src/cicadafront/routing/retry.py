"""When a request may run again, and when a second copy is worth its cost."""

import collections

from cicadafront.errors import Executed

RETRY_SHARE = 0.1
RETRIES_PER_SECOND = 3.0
# Bounds what a quiet time saves up, so that a fault cannot start a storm.
MAX_SAVED_RETRIES = 10.0
MAX_BODY_BYTES = 64 * 1024
HEDGE_QUANTILE = 0.95
HEDGE_SAMPLES = 256
MIN_HEDGE_SAMPLES = 20
# Below this, scheduling noise alone would start second copies.
MIN_HEDGE_SECONDS = 0.005


class RetryBudget:
    """Retries and hedges of one service at one entry."""

    def __init__(self, now: float) -> None:
        self._saved = RETRIES_PER_SECOND
        self._time = now

    def requested(self, now: float) -> None:
        """Counts a first attempt."""
        self._refill(now)
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_SHARE)

    def take(self, now: float) -> bool:
        """Uses one retry, unless the budget is used up."""
        self._refill(now)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self._time)
        self._time = now
        self._saved = min(
            MAX_SAVED_RETRIES, self._saved + RETRIES_PER_SECOND * passed
        )


def may_retry(
    executed: Executed, repeatable: bool, answered: bool, body_held: bool
) -> bool:
    """Whether a failed attempt may be repeated on another target.

    Args:
        executed: Whether the attempt may have run.
        repeatable: Whether the route allows a second run.
        answered: Whether any byte went to the caller.
        body_held: Whether the whole body is held.
    """
    if answered or not body_held:
        return False
    return executed is Executed.NO or repeatable


class HedgeDelay:
    """Time after which a repeatable read gets a second copy."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=HEDGE_SAMPLES
        )
        self._unsorted = 0
        self._delay: float | None = None

    def observe(self, seconds: float) -> None:
        """Takes the latency of an answer."""
        self._samples.append(seconds)
        self._unsorted += 1

    def seconds(self) -> float | None:
        """Returns the p95 of the latest latencies, None if too few."""
        if len(self._samples) < MIN_HEDGE_SAMPLES:
            return None
        if self._delay is None or self._unsorted >= MIN_HEDGE_SAMPLES:
            ranked = sorted(self._samples)
            place = round(HEDGE_QUANTILE * (len(ranked) - 1))
            self._delay = max(MIN_HEDGE_SECONDS, ranked[place])
            self._unsorted = 0
        return self._delay
