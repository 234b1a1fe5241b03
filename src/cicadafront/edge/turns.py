"""Spreads the work of busy connections over iterations of the reactor."""

import collections
from collections.abc import Callable
from typing import Any

# Time that deferred work may take in one iteration, in seconds. Other
# connections wait for it.
TURN_SECONDS = 0.005


class Turns:
    """Runs deferred work in turn, a bounded part in each iteration.

    Args:
        clock: Source of time and timers.
    """

    def __init__(self, clock: Any):
        self._clock = clock
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._scheduled = False

    def add(self, work: Callable[[], None]) -> None:
        """Runs a function after those that wait already."""
        self._waiting.append(work)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._clock.callLater(0, self._run)

    def _run(self) -> None:
        self._scheduled = False
        end = self._clock.seconds() + TURN_SECONDS
        try:
            # Work that is added meanwhile waits for the next iteration.
            for _ in range(len(self._waiting)):
                self._waiting.popleft()()
                if self._clock.seconds() >= end:
                    break
        finally:
            if self._waiting:
                self._schedule()
