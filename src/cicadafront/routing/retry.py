"""Retry budgets, the retry rule and hedge delays."""

import collections

from cicadafront.errors import Executed

RETRY_SHARE = 0.1
RETRIES_PER_SECOND = 3.0
# Bounds the retries saved up at low load, so that a fault cannot cause a retry
# storm.
MAX_RETRY_TOKENS = 10.0
MAX_BODY_BYTES = 64 * 1024
HEDGE_QUANTILE = 0.95
HEDGE_SAMPLES = 256
MIN_HEDGE_SAMPLES = 20
# With a shorter delay, scheduling noise alone would trigger hedges.
MIN_HEDGE_SECONDS = 0.005


class RetryBudget:
    """Token bucket for the retries and hedges of one service at one entry.

    Each first attempt adds `RETRY_SHARE` tokens, each second adds
    `RETRIES_PER_SECOND` tokens, and each retry or hedge takes one.
    """

    def __init__(self, now: float) -> None:
        self._tokens = RETRIES_PER_SECOND
        self._refilled_at = now

    def requested(self, now: float) -> None:
        """Records a first attempt."""
        self._refill(now)
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_SHARE)

    def take(self, now: float) -> bool:
        """Takes a token; returns False if the budget is exhausted."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(
            MAX_RETRY_TOKENS, self._tokens + RETRIES_PER_SECOND * elapsed
        )


def may_retry(
    executed: Executed,
    repeatable: bool,
    response_started: bool,
    body_buffered: bool,
) -> bool:
    """Returns whether a failed attempt may be retried on another target.

    Args:
        executed: Whether the attempt may have run.
        repeatable: Whether the route allows a request to run twice.
        response_started: Whether response bytes were sent to the caller.
        body_buffered: Whether the whole request body is buffered.
    """
    if response_started or not body_buffered:
        return False
    return executed is Executed.NO or repeatable


class HedgeDelay:
    """Delay after which a repeatable read is hedged by a second attempt."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=HEDGE_SAMPLES
        )
        self._unsorted = 0
        self._delay: float | None = None

    def observe(self, seconds: float) -> None:
        """Records the latency of a response in seconds."""
        self._samples.append(seconds)
        self._unsorted += 1

    def seconds(self) -> float | None:
        """Returns the p95 of recent latencies in seconds, None if too few."""
        if len(self._samples) < MIN_HEDGE_SAMPLES:
            return None
        if self._delay is None or self._unsorted >= MIN_HEDGE_SAMPLES:
            ordered = sorted(self._samples)
            index = round(HEDGE_QUANTILE * (len(ordered) - 1))
            self._delay = max(MIN_HEDGE_SECONDS, ordered[index])
            self._unsorted = 0
        return self._delay
