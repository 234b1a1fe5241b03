"""Loops that repeat a task for as long as a process runs.

A run that raises, fails or does not end costs only itself: it is logged and
counted, and the loop goes on after a pause that grows with each failure.
"""

import random
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors
from cicadafront.telemetry import logs

# Shortest pause, whatever a run returns: a source that answers at once must not
# take the whole process.
LEAST_PAUSE_SECONDS = 0.005
# Characters of a traceback that a log line holds; its end names the error.
_MOST_TRACEBACK = 2000

_log = logs.Log("loops")


@attrs.frozen
class Timing:
    """When a loop runs.

    Attributes:
        interval: Seconds from the end of a run to the next, unless the run
            returns another number.
        timeout: Seconds after which a run that has not ended is given up.
        first: Seconds from the start to the first run.
        initial_backoff: Longest pause after the first failure in a row; it
            doubles with each further one.
        max_backoff: Longest pause after a failure.
    """

    interval: float
    timeout: float
    first: float = 0.0
    initial_backoff: float = 0.2
    max_backoff: float = 5.0


def periodic(interval: float) -> Timing:
    """Returns the pace of a task that is due at an interval."""
    return Timing(
        interval,
        timeout=max(10.0, interval),
        first=interval,
        initial_backoff=interval,
        max_backoff=max(30.0, interval),
    )


# Returns nothing or the seconds until the next run, at once or as a Deferred
# or coroutine.
Run = Callable[[], Any]


class Loop:
    """Repeats a task.

    Attributes:
        name: Name in log lines and metrics.
        pace: When it runs.
        failures: Runs that failed, those given up included.
        given_up: Runs that did not end within the bound.

    Args:
        run: Runs the task once.
        clock: Source of time and timers.
        rng: Source of jitter.
    """

    def __init__(
        self, name: str, run: Run, pace: Timing, clock: Any, rng: random.Random
    ):
        self.name = name
        self.pace = pace
        self.failures = 0
        self.given_up = 0
        self._run = run
        self._clock = clock
        self._rng = rng
        self._running = False
        # Number of the latest run; what an earlier one brings is ignored.
        self._number = 0
        self._under_way: defer.Deferred[Any] | None = None
        self._woken: float | None = None
        self._failed_in_row = 0
        self._good_at = 0.0
        self._next: Any = None
        self._limit: Any = None

    def start(self) -> None:
        """Starts; the first run may begin before this returns."""
        self._running = True
        self._good_at = self._clock.seconds()
        if self.pace.first > 0:
            self._arm(self.pace.first)
        else:
            self._begin()

    def stop(self) -> None:
        """Runs the task no more and cancels the run under way."""
        self._running = False
        _cancel(self._next)
        self._abandon()

    def wake(self, delay: float = 0.0) -> None:
        """Runs the task within `delay` seconds, or after the present run."""
        if not self._running:
            return
        if self._under_way is not None:
            waiting = self._woken
            self._woken = delay if waiting is None else min(delay, waiting)
        elif self._next is None or not self._next.active():
            self._arm(delay)
        elif self._next.getTime() > self._clock.seconds() + delay:
            self._next.cancel()
            self._arm(delay)

    @property
    def busy(self) -> bool:
        """Whether a run is under way."""
        return self._under_way is not None

    def give_up(self, why: str) -> None:
        """Ends the run under way as a failure, if there is one."""
        if self._under_way is None:
            return
        self.given_up += 1
        self._abandon()
        self._failed(failure.Failure(errors.GivenUpError(why)), self._number)

    def stalled(self, now: float) -> bool:
        """Returns whether no run has succeeded for too long."""
        most = self.pace.interval + self.pace.timeout
        return self._running and now - self._good_at > most

    def _arm(self, delay: float) -> None:
        if self._running:
            self._next = self._clock.callLater(delay, self._begin)

    def _begin(self) -> None:
        self._number += 1
        number = self._number
        self._under_way = defer.maybeDeferred(self._run)
        self._limit = self._clock.callLater(self.pace.timeout, self._late)
        self._under_way.addCallbacks(
            self._succeeded,
            self._failed,
            callbackArgs=(number,),
            errbackArgs=(number,),
        )

    def _late(self) -> None:
        self.give_up(f"It has not ended within {self.pace.timeout:g} s.")

    def _abandon(self) -> None:
        """Cancels the run under way and ignores what it brings."""
        _cancel(self._limit)
        under_way, self._under_way = self._under_way, None
        self._number += 1
        if under_way is not None:
            under_way.cancel()

    def _succeeded(self, delay: float | None, number: int) -> None:
        if not self._ended(number):
            return
        now = self._clock.seconds()
        if self._failed_in_row:
            _log.info(
                f"{self.name} works again.",
                failures=self._failed_in_row,
                seconds=round(now - self._good_at, 3),
            )
        self._failed_in_row = 0
        self._good_at = now
        self._again(self.pace.interval if delay is None else delay)

    def _failed(self, reason: failure.Failure, number: int) -> None:
        if not self._ended(number):
            return
        self.failures += 1
        pause = self.pace.initial_backoff * 2 ** min(self._failed_in_row, 30)
        pause = min(pause, self.pace.max_backoff) * self._rng.uniform(0.5, 1.0)
        self._failed_in_row += 1
        self._report(reason, pause)
        self._again(pause)

    def _ended(self, number: int) -> bool:
        """Notes the end of a run; False if it does not count any more."""
        if number != self._number or not self._running:
            return False
        _cancel(self._limit)
        self._under_way = None
        return True

    def _again(self, delay: float) -> None:
        woken, self._woken = self._woken, None
        pause = delay if woken is None else min(delay, woken)
        self._arm(max(LEAST_PAUSE_SECONDS, pause))

    def _report(self, reason: failure.Failure, pause: float) -> None:
        known = reason.check(errors.CicadafrontError) is not None
        text = f"{self.name} failed; it is tried again."
        fields: dict[str, object] = {
            "reason": reason.getErrorMessage(),
            "failures": self._failed_in_row,
            "pause_seconds": round(pause, 3),
        }
        if not known:
            trace = reason.getTraceback()[-_MOST_TRACEBACK:]
            _log.error(text, **fields, traceback=trace)
        elif self._failed_in_row == 1:
            _log.warning(text, **fields)
        else:
            _log.debug(text, **fields)


class Loops:
    """The loops of one process, for its status."""

    def __init__(self, clock: Any, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._loops: list[Loop] = []

    def add(self, name: str, run: Run, pace: Timing) -> Loop:
        """Returns a new loop; its owner starts and stops it."""
        loop = Loop(name, run, pace, self._clock, self._rng)
        self._loops.append(loop)
        return loop

    def keep(self, loop: Loop) -> None:
        """Adds a loop that was made elsewhere."""
        self._loops.append(loop)

    def failures(self) -> dict[str, int]:
        """Returns the failed runs of each loop, by name."""
        return {loop.name: loop.failures for loop in self._loops}

    def stalled(self) -> list[str]:
        """Returns the names of the loops that do not go on."""
        now = self._clock.seconds()
        return [loop.name for loop in self._loops if loop.stalled(now)]


def _cancel(timer: Any) -> None:
    if timer is not None and timer.active():
        timer.cancel()
