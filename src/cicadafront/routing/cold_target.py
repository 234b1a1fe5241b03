"""Applies the limit on requests to the local target while it is cold.

Connects the limiter with the gate, the heartbeats and the announcements of the
target, and reports to operators.
"""

import collections
from collections.abc import Callable

from cicadafront import errors
from cicadafront.routing import cold_start
from cicadafront.telemetry import logs

# Failures of an exchange after which the target may be starting again. A
# response that breaks off is none: a target also aborts one that its caller
# does not read, and each would limit the target until its next heartbeat.
_CONNECTION_FAILURES = frozenset({"refused", "closed"})
# Minimum interval between two announcements. A slow start takes this long, and
# a target whose connections fail all the time would load the gossip.
MIN_ANNOUNCEMENT_SECONDS = 3.0
# Entries and callers exchange the time in whole milliseconds.
MIN_RETRY_AFTER_SECONDS = 0.01

_log = logs.Log("gate")


class ColdTarget:
    """The limit on requests to the target beside this instance.

    Args:
        limits: Returns the limits in force, or None while there are none.
        now: Time of the start of this process, in seconds.
        announce: Announces at a time that the target became cold again.

    Attributes:
        counts: Number of requests that were refused on arrival (`refused`),
            and of those that were refused after waiting (`refused_waiting`).
    """

    def __init__(
        self,
        limits: Callable[[], cold_start.Limits | None] = lambda: None,
        now: float = 0.0,
        announce: Callable[[float], None] = lambda now: None,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._limits = limits
        self._announce = announce
        self._limiter = cold_start.ColdStart(cold_start.Limits(), now)
        self._target = ""
        self._was_cold = True
        self._announced_at = now - MIN_ANNOUNCEMENT_SECONDS

    def active(self) -> bool:
        """Returns whether there are limits, and puts the current ones in force.

        The limiter receives its events in any case, since the configuration
        may arrive or change at any time.
        """
        limits = self._limits()
        if limits is not None:
            self._limiter.limits = limits
        return limits is not None

    def is_cold(self, now: float) -> bool:
        """Returns whether the requests to the target are limited."""
        return self.active() and self._limiter.is_cold(now)

    # Decisions, for the gate.

    def refusal(
        self, now: float, target: str, ahead: int
    ) -> errors.RequestError | None:
        """Returns why a request that arrives is refused, or None.

        Args:
            now: Current time in seconds.
            target: Id of the target.
            ahead: Number of requests that wait for the target.
        """
        if not self.active():
            return None
        seconds = self._limiter.retry_after(now, ahead)
        if not seconds:
            return None
        self.counts["refused"] += 1
        return _cold(target, seconds)

    def admit(self, now: float) -> float:
        """Counts a request that starts now.

        Returns:
            0 if it may start; otherwise the seconds until it may.
        """
        if not self.active() or self._limiter.admit(now):
            return 0.0
        return self._limiter.retry_after(now)

    def refusal_waiting(
        self, target: str, seconds: float
    ) -> errors.RequestError:
        """Returns the refusal of a request that cannot wait any longer.

        Args:
            target: Id of the target.
            seconds: Time until the next admission.
        """
        self.counts["refused_waiting"] += 1
        return _cold(target, seconds)

    # Events.

    def heartbeat(
        self, now: float, target: str, warm_up_seconds: float | None, new: bool
    ) -> None:
        """Handles a valid heartbeat.

        Args:
            now: Current time in seconds.
            target: Id of the target.
            warm_up_seconds: Seconds until it is warm; None if unknown.
            new: Whether it is the first one of an incarnation.
        """
        self._target = target
        if new:
            self._limiter.started(now)
        self._limiter.heartbeat(now, warm_up_seconds)
        self._report_change(now, "heartbeat", new)

    def failed(self, now: float, kind: str) -> None:
        """Handles a failed exchange; see `observer.Failed` for `kind`."""
        if kind in _CONNECTION_FAILURES:
            self._limiter.connection_failed(now)
            self._report_change(now, "connection failed")

    def evacuation_ended(self, now: float) -> None:
        """Handles the cancellation of an evacuation of this data centre."""
        self._limiter.evacuation_ended(now)
        self._report_change(now, "evacuation ended")

    def check(self, now: float) -> None:
        """Reports changes that come with time; called about once a second."""
        self._report_change(now, "time")

    def _report_change(self, now: float, cause: str, new: bool = False) -> None:
        """Logs and announces that the target became cold or warm."""
        if not self.active():
            return
        cold = self._limiter.is_cold(now)
        changed, self._was_cold = cold is not self._was_cold, cold
        if not (changed or (new and cold)):
            return
        _log.info(
            "a target is cold; requests to it are limited."
            if cold
            else "a target is warm; requests to it are not limited.",
            target=self._target,
            cause=cause,
        )
        due = now - self._announced_at >= MIN_ANNOUNCEMENT_SECONDS
        if cold and (due or new):
            self._announced_at = now
            self._announce(now)


def _cold(target: str, seconds: float) -> errors.RequestError:
    return errors.TargetColdError(
        f"Target {target} has just started and takes no more requests now; "
        "retry on another target.",
        retry_after=max(MIN_RETRY_AFTER_SECONDS, seconds),
    )
