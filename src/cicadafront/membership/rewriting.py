"""Spreads the writes that follow a store that reverted to an older copy.

All instances learn of the new era at about the same time, and the store
supports 1,200 writes a second. With a write of the facts in the first half of
the time, and a lease and an entry in the second, 300 instances make 400 a
second. The facts come first, so that an entry of the new era shows that the
facts of its instance are in the store.
"""

import random
from typing import Any

# The writes of all instances are spread over this time.
SPREAD_SECONDS = 3.0
FACTS_SPAN = 0.0, SPREAD_SECONDS / 2
ENTRY_SPAN = SPREAD_SECONDS / 2, SPREAD_SECONDS


class Rewriting:
    """Time at which this process writes again what the store has lost.

    Args:
        clock: Twisted reactor or `task.Clock`.
        rng: Random source.
        span: Seconds after the new era between which the write is due.
    """

    def __init__(
        self, clock: Any, rng: random.Random, span: tuple[float, float]
    ):
        self._clock = clock
        self._rng = rng
        self._span = span
        self._due_at = float("-inf")

    def schedule(self) -> float:
        """Draws the time of the next write; returns the seconds until then."""
        seconds = self._rng.uniform(*self._span)
        self._due_at = self._clock.seconds() + seconds
        return seconds

    def remaining(self) -> float:
        """Returns the seconds until the write is due; 0 if it is."""
        return max(0.0, self._due_at - float(self._clock.seconds()))
