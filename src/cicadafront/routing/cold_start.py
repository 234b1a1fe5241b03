"""Rate limiter for the requests that one cold target receives.

A target that has just started sustains only a low rate of requests, and
crashes at a rate well above it. The agent beside the target alone sees the
requests of all entries, so the limit is applied there.

A token bucket spreads the admissions evenly. Requests reach the target some
time after their admission: with the bound of a second alone, two bursts that
were admitted one second apart could arrive within the same second.

The module performs no I/O. The caller passes the time, in seconds of one
monotonic clock.
"""

import math

import attrs

# Interval between the heartbeats of a target is 1.5 s. A target from which two
# have not arrived may have restarted in the meantime.
REPORT_TTL_SECONDS = 3.0
# A heartbeat that arrives within this time after a failed connection may have
# been sent before the failure.
MIN_REPORT_DELAY_SECONDS = 0.5
# Bound of `retry_after` for limits that admit next to nothing.
MAX_RETRY_AFTER_SECONDS = 3.0
# Tolerance of sums of token counts.
_EPSILON = 1e-9


@attrs.frozen
class Limits:
    """Limits on the requests to a cold target.

    Attributes:
        rate: Admissions per second.
        burst: Capacity of the token bucket, at least 1.
        cold_seconds: Time after which a target whose heartbeats do not report
            whether it is cold counts as warm.
    """

    rate: float = 0.0
    burst: float = 1.0
    cold_seconds: float = 0.0


def limits(
    cold_rate: float,
    cold_seconds: float,
    overage: float | None,
    slack: float | None,
) -> Limits | None:
    """Returns the limits of a service, or None if there are none.

    Args:
        cold_rate: Requests per second that a cold target sustains.
        cold_seconds: Time in seconds for which a target is cold.
        overage: Factor by which the rate may be exceeded; None for no limit.
        slack: Further requests that a target may receive in a second; half of
            them are kept for requests that arrive late. None for no limit.
    """
    if overage is None or slack is None or cold_rate <= 0:
        return None
    return Limits(cold_rate * overage, max(1.0, slack / 2), cold_seconds)


class ColdStart:
    """Limits the admissions to one target while it is cold.

    The target's own report takes precedence. Without a report since the last
    event, the target counts as cold; a target that never reports counts as
    cold for `Limits.cold_seconds` after the event.

    Args:
        limits: Limits on admissions.
        now: Time of the start of this process, in seconds.

    Attributes:
        limits: Limits on admissions; may be replaced at any time.
    """

    # Reported end of the cold time; None without a report since the event.
    _cold_until: float | None

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        # The process before this one may have used a whole burst just now.
        self._tokens = 0.0
        self._refilled_at = now
        self.started(now)

    # Events.

    def started(self, now: float) -> None:
        """Handles the start of this process, or of the target."""
        self._heard_at = -math.inf
        self._assume_cold(now, reports_from=now)

    def connection_failed(self, now: float) -> None:
        """Handles a lost or refused connection: the target may restart."""
        self._assume_cold(now, now + MIN_REPORT_DELAY_SECONDS)

    def evacuation_ended(self, now: float) -> None:
        """Handles the end of an evacuation, after which requests return."""
        self._assume_cold(now, now + MIN_REPORT_DELAY_SECONDS)

    def heartbeat(self, now: float, warm_up_seconds: float | None) -> None:
        """Handles a heartbeat that is neither late nor a duplicate.

        Args:
            now: Current time in seconds.
            warm_up_seconds: Seconds until the target is warm; None if unknown.
        """
        self._heard_at = now
        if warm_up_seconds is None:
            self._has_unknown = True
        elif now >= self._reports_from:
            self._cold_until = now + warm_up_seconds

    def _assume_cold(self, now: float, reports_from: float) -> None:
        self._event_at = now
        self._reports_from = reports_from
        self._cold_until = None
        # Whether a heartbeat since the event did not report it.
        self._has_unknown = False

    # Decisions.

    def is_cold(self, now: float) -> bool:
        """Returns whether the target is cold, or has to be assumed to be."""
        if now - self._heard_at > REPORT_TTL_SECONDS:
            return True
        if self._cold_until is not None:
            return now < self._cold_until
        assumed_until = self._event_at + self.limits.cold_seconds
        return not self._has_unknown or now < assumed_until

    def admit(self, now: float) -> bool:
        """Returns whether a request may start now, and counts it if so.

        Requests to a warm target are always admitted. They are counted too,
        so that a target which becomes cold under load gets no further burst.
        """
        self._refill(now)
        if self.is_cold(now) and self._tokens < 1 - _EPSILON:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True

    def retry_after(self, now: float, ahead: int = 0) -> float:
        """Returns the seconds until the next admission; 0 if it is possible.

        Args:
            now: Current time in seconds.
            ahead: Number of waiting requests that are admitted before.
        """
        if not self.is_cold(now):
            return 0.0
        self._refill(now)
        missing = 1 + ahead - self._tokens
        if missing <= _EPSILON:
            return 0.0
        if self.limits.rate <= 0:
            return MAX_RETRY_AFTER_SECONDS
        return min(MAX_RETRY_AFTER_SECONDS, missing / self.limits.rate)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(
            self.limits.burst, self._tokens + elapsed * self.limits.rate
        )
