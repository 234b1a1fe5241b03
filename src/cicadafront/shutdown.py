"""Decides which requests can still end before a planned stop does.

Pure: the caller passes the time, in seconds of one steady clock.
"""

import attrs

from cicadafront import errors
from cicadafront.health import target_breaker

# An entry ends a request up to 0.25 s after its time limit, so that its agent
# can answer first; the answer then has to reach the caller.
END_MARGIN_SECONDS = 0.4
# Expected time of a request whose route states no objective: twice the longest
# mean work of the users' requests. Its time limit says how long a caller bears
# to wait, which may be minutes.
UNSTATED_SECONDS = 2.6
# Another instance can take the request at once.
RETRY_SECONDS = 0.2


def _expected_seconds(objective: float) -> float:
    """Returns the seconds within which nearly all good answers come."""
    if not objective:
        return UNSTATED_SECONDS
    return target_breaker.PRIOR_SHARE * target_breaker.LATE_FACTOR * objective


@attrs.frozen
class Schedule:
    """Times of a planned stop.

    Attributes:
        late: Time after which a request that is read is taken only if its
            own time limit ends before the cut.
        cut: Time at which everything that is still open is cut.
    """

    late: float
    cut: float

    @property
    def last_end(self) -> float:
        """Latest end of a request that is answered before the cut."""
        return self.cut - END_MARGIN_SECONDS

    def admits(
        self, now: float, read: float, limit: float, objective: float
    ) -> bool:
        """Tells whether a request that has not begun may still run.

        Args:
            now: Present time.
            read: Time at which the request was read.
            limit: Time at which its time limit ends.
            objective: Seconds within which its caller wants the answer, 0 if
                its route states none.
        """
        if limit <= self.last_end:
            return True
        if read > self.late:
            return False
        return now + _expected_seconds(objective) <= self.last_end


@attrs.define
class Shutdown:
    """The planned stop of this instance, shared by its parts.

    Attributes:
        schedule: Times of the stop, or None before it.
    """

    schedule: Schedule | None = None

    def admits(
        self, now: float, read: float, limit: float, objective: float
    ) -> bool:
        """Tells the same as `Schedule.admits`; True before a stop."""
        return self.schedule is None or self.schedule.admits(
            now, read, limit, objective
        )


def refusal() -> errors.RequestError:
    """Returns the refusal of a request that could not end in time."""
    return errors.InstanceLeavingError(
        "This instance stops before the request could end; send it to another "
        "instance.",
        retry_after=RETRY_SECONDS,
    )
