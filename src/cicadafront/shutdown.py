"""Decides which requests can still complete before a planned shutdown ends.

The functions do no I/O. The caller passes the time, in seconds of one
monotonic clock.
"""

import attrs

from cicadafront import errors
from cicadafront.health import target_breaker

# An entry ends a request up to 0.25 s after its time limit, to let the agent
# respond first. The rest is for sending the response to the caller.
END_MARGIN_SECONDS = 0.4
# Expected duration of a request whose route has no latency objective: twice the
# longest mean service time of the users' requests. The time limit of the route
# is no estimate: it states how long a caller is willing to wait, which may be
# minutes.
DEFAULT_EXPECTED_SECONDS = 2.6
# Short, because another instance can accept the request immediately.
RETRY_SECONDS = 0.2


def _expected_seconds(objective: float) -> float:
    """Returns the seconds within which nearly all successful responses come."""
    if not objective:
        return DEFAULT_EXPECTED_SECONDS
    return target_breaker.PRIOR_SHARE * target_breaker.LATE_FACTOR * objective


@attrs.frozen
class Schedule:
    """Times of a planned shutdown, in seconds of a monotonic clock.

    Attributes:
        late: Time after which a newly read request is accepted only if its
            time limit ends before `cut`.
        cut: Time at which everything that is still open is aborted.
    """

    late: float
    cut: float

    @property
    def last_end(self) -> float:
        """Latest end of a request whose response is sent before `cut`."""
        return self.cut - END_MARGIN_SECONDS

    def admits(
        self, now: float, read: float, limit: float, objective: float
    ) -> bool:
        """Returns whether a request that is not running yet may still run.

        Args:
            now: Current time.
            read: Time at which the request was read.
            limit: Time at which its time limit ends.
            objective: Latency objective of its route in seconds, or 0 if the
                route has none.
        """
        if limit <= self.last_end:
            return True
        if read > self.late:
            return False
        return now + _expected_seconds(objective) <= self.last_end


@attrs.define
class Shutdown:
    """State of the planned shutdown of this instance, shared by its parts.

    Attributes:
        schedule: Times of the shutdown, or None before it begins.
    """

    schedule: Schedule | None = None

    def admits(
        self, now: float, read: float, limit: float, objective: float
    ) -> bool:
        """Returns `Schedule.admits`, or True before a shutdown."""
        return self.schedule is None or self.schedule.admits(
            now, read, limit, objective
        )


def refusal() -> errors.RequestError:
    """Returns the error for a request that could not complete in time."""
    return errors.InstanceLeavingError(
        "This instance shuts down before the request could complete; send it "
        "to another instance.",
        retry_after=RETRY_SECONDS,
    )
