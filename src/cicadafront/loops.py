"""Periodic tasks that run for the lifetime of a process.

A run that raises, fails or times out does not stop its loop. The failure is
logged and counted, and the loop continues after an exponential backoff.
"""

import random
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors
from cicadafront.telemetry import logs

# Minimum pause between runs, whatever delay a run returns. A source that always
# answers immediately must not occupy the whole process.
MIN_PAUSE_SECONDS = 0.005
# Maximum length of a traceback in a log line. The end is kept because it names
# the error.
_MAX_TRACEBACK_CHARS = 2000

_log = logs.Log("loops")


@attrs.frozen
class Timing:
    """Interval, timeout and backoff of a loop.

    Attributes:
        interval: Seconds from the end of a run to the next run, unless the
            run returns another delay.
        timeout: Seconds after which a run that has not ended is cancelled and
            counted as failed.
        first: Seconds from the start of the loop to the first run.
        initial_backoff: Maximum pause in seconds after the first consecutive
            failure. It doubles with each further failure.
        max_backoff: Upper limit in seconds of the pause after a failure.
    """

    interval: float
    timeout: float
    first: float = 0.0
    initial_backoff: float = 0.2
    max_backoff: float = 5.0


def periodic(interval: float) -> Timing:
    """Returns the timing of a task that runs at a fixed interval.

    Args:
        interval: Seconds between runs and before the first run.
    """
    return Timing(
        interval,
        timeout=max(10.0, interval),
        first=interval,
        initial_backoff=interval,
        max_backoff=max(30.0, interval),
    )


# Returns None or the seconds until the next run, either directly or through a
# Deferred or coroutine.
Run = Callable[[], Any]


class Loop:
    """Runs a task repeatedly.

    Attributes:
        name: Name in log lines and metrics.
        timing: Interval, timeout and backoff.
        failures: Number of failed runs, including those given up.
        given_up: Number of runs that timed out or were ended by `give_up`.

    Args:
        run: Runs the task once.
        clock: Source of time and timers.
        rng: Source of the backoff jitter.
    """

    def __init__(
        self,
        name: str,
        run: Run,
        timing: Timing,
        clock: Any,
        rng: random.Random,
    ):
        self.name = name
        self.timing = timing
        self.failures = 0
        self.given_up = 0
        self._run = run
        self._clock = clock
        self._rng = rng
        self._running = False
        # Number of the current run. Results of earlier runs are ignored.
        self._run_number = 0
        self._current_run: defer.Deferred[Any] | None = None
        self._requested_delay: float | None = None
        self._consecutive_failures = 0
        self._last_success = 0.0
        self._next_call: Any = None
        self._timeout_call: Any = None

    def start(self) -> None:
        """Starts the loop. The first run may begin before this returns."""
        self._running = True
        self._last_success = self._clock.seconds()
        if self.timing.first > 0:
            self._schedule(self.timing.first)
        else:
            self._start_run()

    def stop(self) -> None:
        """Stops the loop and cancels the current run."""
        self._running = False
        _cancel(self._next_call)
        self._cancel_run()

    def wake(self, delay: float = 0.0) -> None:
        """Runs the task within `delay` seconds, or after the current run."""
        if not self._running:
            return
        if self._current_run is not None:
            waiting = self._requested_delay
            self._requested_delay = (
                delay if waiting is None else min(delay, waiting)
            )
        elif self._next_call is None or not self._next_call.active():
            self._schedule(delay)
        elif self._next_call.getTime() > self._clock.seconds() + delay:
            self._next_call.cancel()
            self._schedule(delay)

    def give_up(self, why: str) -> None:
        """Cancels the current run, if any, and counts it as failed.

        Args:
            why: Reason for the log.
        """
        if self._current_run is None:
            return
        self.given_up += 1
        self._cancel_run()
        self._on_failure(
            failure.Failure(errors.GivenUpError(why)), self._run_number
        )

    def stalled(self, now: float) -> bool:
        """Returns whether the last successful run is too long ago.

        The limit is the interval plus the timeout of a run.

        Args:
            now: Current time in seconds of the loop's clock.
        """
        limit = self.timing.interval + self.timing.timeout
        return self._running and now - self._last_success > limit

    def _schedule(self, delay: float) -> None:
        if self._running:
            self._next_call = self._clock.callLater(delay, self._start_run)

    def _start_run(self) -> None:
        self._run_number += 1
        number = self._run_number
        self._current_run = defer.maybeDeferred(self._run)
        self._timeout_call = self._clock.callLater(
            self.timing.timeout, self._on_timeout
        )
        self._current_run.addCallbacks(
            self._on_success,
            self._on_failure,
            callbackArgs=(number,),
            errbackArgs=(number,),
        )

    def _on_timeout(self) -> None:
        self.give_up(
            f"The run did not finish within {self.timing.timeout:g} s."
        )

    def _cancel_run(self) -> None:
        """Cancels the current run and ignores its result."""
        _cancel(self._timeout_call)
        current_run, self._current_run = self._current_run, None
        self._run_number += 1
        if current_run is not None:
            current_run.cancel()

    def _on_success(self, delay: float | None, number: int) -> None:
        if not self._finish_run(number):
            return
        now = self._clock.seconds()
        if self._consecutive_failures:
            _log.info(
                f"{self.name} recovered.",
                failures=self._consecutive_failures,
                seconds=round(now - self._last_success, 3),
            )
        self._consecutive_failures = 0
        self._last_success = now
        self._schedule_next(self.timing.interval if delay is None else delay)

    def _on_failure(self, reason: failure.Failure, number: int) -> None:
        if not self._finish_run(number):
            return
        self.failures += 1
        pause = self.timing.initial_backoff * 2 ** min(
            self._consecutive_failures, 30
        )
        pause = min(pause, self.timing.max_backoff) * self._rng.uniform(
            0.5, 1.0
        )
        self._consecutive_failures += 1
        self._log_failure(reason, pause)
        self._schedule_next(pause)

    def _finish_run(self, number: int) -> bool:
        """Marks a run as finished; returns False if it is not current."""
        if number != self._run_number or not self._running:
            return False
        _cancel(self._timeout_call)
        self._current_run = None
        return True

    def _schedule_next(self, delay: float) -> None:
        requested_delay, self._requested_delay = self._requested_delay, None
        pause = (
            delay if requested_delay is None else min(delay, requested_delay)
        )
        self._schedule(max(MIN_PAUSE_SECONDS, pause))

    def _log_failure(self, reason: failure.Failure, pause: float) -> None:
        known = reason.check(errors.CicadafrontError) is not None
        text = f"{self.name} failed; retrying after a pause."
        fields: dict[str, object] = {
            "reason": reason.getErrorMessage(),
            "failures": self._consecutive_failures,
            "pause_seconds": round(pause, 3),
        }
        if not known:
            trace = reason.getTraceback()[-_MAX_TRACEBACK_CHARS:]
            _log.error(text, **fields, traceback=trace)
        elif self._consecutive_failures == 1:
            _log.warning(text, **fields)
        else:
            _log.debug(text, **fields)


class Loops:
    """The loops of one process, whose state its metrics report.

    Attributes:
        clock: Source of time and timers.
        rng: Source of random pauses.
    """

    def __init__(self, clock: Any, rng: random.Random):
        self.clock = clock
        self.rng = rng
        self._loops: list[Loop] = []

    def add(self, name: str, run: Run, timing: Timing) -> Loop:
        """Creates and registers a loop, which the caller starts and stops."""
        loop = Loop(name, run, timing, self.clock, self.rng)
        self._loops.append(loop)
        return loop

    def keep(self, loop: Loop) -> None:
        """Registers a loop that was created elsewhere."""
        self._loops.append(loop)

    def failures(self) -> dict[str, int]:
        """Returns the number of failed runs by loop name."""
        return {loop.name: loop.failures for loop in self._loops}

    def stalled(self) -> list[str]:
        """Returns the names of the stalled loops."""
        now = self.clock.seconds()
        return [loop.name for loop in self._loops if loop.stalled(now)]


def _cancel(timer: Any) -> None:
    if timer is not None and timer.active():
        timer.cancel()
