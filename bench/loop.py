"""Event loop with virtual time."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs callbacks in the order of their due times.

    Attributes:
        now: Virtual time, in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Calls `call` after a delay in seconds."""
        heapq.heappush(
            self._events,
            (self.now + max(0.0, delay), next(self._serial), call),
        )

    def every(self, period: float, call: Callable[[], None]) -> None:
        """Calls `call` every `period` seconds, first after one period."""

        def run_and_reschedule() -> None:
            call()
            self.later(period, run_and_reschedule)

        self.later(period, run_and_reschedule)

    def run(self, until: float) -> None:
        """Runs all callbacks that are due up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until
