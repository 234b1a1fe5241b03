"""Decisions about requests that targets refuse to run.

Load: the targets of a service refuse a part of their requests at random for
some seconds, although they have free slots. Another target is then as good as
the next one, so a target must not be avoided for a few refusals, and the
retry budget does not cover all of them: requests wait for it while their time
lasts, calls of running requests first.

The decisions apply to services for which requests of several kinds compete.
The module performs no I/O; times are in seconds.
"""

import random

# Weight of the latest request in the share of refused requests. A target that
# refuses every request is avoided after 8 of them; one that refuses 55 in 100
# at random seldom is.
SHARE_WEIGHT = 0.2
MIN_AVOIDED_SHARE = 0.8
# Range of the `Retry-After` of a refused request. Another target may take it at
# once; the range spreads the clients that come back.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 0.3
# Pauses before the retry budget is asked again, for calls of running requests
# and for clients. They bound the questions to its coordinator.
CALL_PAUSE_SECONDS = 0.1
CLIENT_PAUSE_SECONDS = 0.25
# Share of the objective that must be left for a retry: it could not end before
# the deadline otherwise.
MIN_LEFT_SHARE = 0.35


class RefusedShare:
    """Moving share of the requests that one target refused to run.

    Attributes:
        share: The share, from 0 to 1.
    """

    def __init__(self) -> None:
        self.share = 0.0

    def refused(self) -> None:
        """Records a refused request."""
        self.share += SHARE_WEIGHT * (1 - self.share)

    def succeeded(self) -> None:
        """Records a request that was answered with success."""
        self.share *= 1 - SHARE_WEIGHT

    def avoids(self) -> bool:
        """Returns whether the target refuses too much to be used first."""
        return self.share >= MIN_AVOIDED_SHARE


def retry_after(rng: random.Random) -> float:
    """Returns the seconds after which a refused client may come back."""
    return rng.uniform(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS)


def budget_pause(calls: bool) -> float:
    """Returns the seconds until the retry budget is asked again.

    Args:
        calls: Whether calls of running requests wait for it.
    """
    return CALL_PAUSE_SECONDS if calls else CLIENT_PAUSE_SECONDS


def waits_until(deadline: float, objective: float) -> float:
    """Returns the time until which a refused request waits for the budget.

    Args:
        deadline: Deadline of the request in seconds.
        objective: Latency objective of its route in seconds.
    """
    return deadline - MIN_LEFT_SHARE * objective
