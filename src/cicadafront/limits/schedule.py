"""Schedules store calls, with backoff while the store does not answer."""

import math
import random

BACKOFF_SECONDS = (0.5, 5.0)


class Schedule:
    """Due times of periodic store calls; at most one of each kind in flight."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._due: dict[str, float] = {}
        self._busy: set[str] = set()
        self._backoff = BACKOFF_SECONDS[0]

    def begin(self, now: float, what: str) -> bool:
        """Returns whether a call is due; if so, marks it as in flight."""
        if what in self._busy or now < self._due.get(what, -math.inf):
            return False
        self._busy.add(what)
        return True

    def done(self, what: str, due: float) -> None:
        """Records an answer and the due time of the next call."""
        self._busy.discard(what)
        self._due[what] = due
        self._backoff = BACKOFF_SECONDS[0]

    def failed(self, now: float, what: str) -> float:
        """Records a call without an answer; returns the time of the retry."""
        self._busy.discard(what)
        due = now + self._rng.uniform(0.5, 1) * self._backoff
        self._due[what] = due
        self._backoff = min(self._backoff * 2, BACKOFF_SECONDS[1])
        return due

    def due_by(self, what: str, due: float) -> None:
        """Makes a call due at the given time, unless it is due earlier."""
        self._due[what] = min(self._due.get(what, due), due)
