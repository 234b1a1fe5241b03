"""Faults that an emulated target can inject."""

import enum

import attrs


class Fault(enum.Enum):
    """Kind of fault in the responses to callers' requests.

    Attributes:
        NONE: No fault.
        STALL: The request gets no response.
        SLOW: The service time is multiplied.
        ERROR: The response has status 500.
        TRUNCATE: The connection closes after half of the response body.
        MANGLE: A bit of the response body is flipped; the digest header is
            that of the correct body.
        CROSS: The response has the body of the previous response and another
            exchange id.
        GARBAGE: The response is not HTTP.
        RESET: The connection is reset.
        SHED: The request is refused with status 503.
    """

    NONE = "none"
    STALL = "stall"
    SLOW = "slow"
    ERROR = "error"
    TRUNCATE = "truncate"
    MANGLE = "mangle"
    CROSS = "cross"
    GARBAGE = "garbage"
    RESET = "reset"
    SHED = "shed"


@attrs.define
class FaultPlan:
    """Determines which fault is active at a given time.

    Attributes:
        fault: The fault to inject.
        share: Share of the requests that it affects, from 0 to 1.
        period: Seconds of one on-off cycle of a flapping fault; 0 means that
            the fault is constantly on.
        slow_factor: Multiplier of the service time if the fault is `SLOW`.
        since: Time at which the plan was set, in seconds.
    """

    fault: Fault = Fault.NONE
    share: float = 1.0
    period: float = 0.0
    slow_factor: float = 10.0
    since: float = 0.0

    def active(self, now: float, draw: float) -> Fault:
        """Returns the fault for a request.

        Args:
            now: Time in seconds.
            draw: Random number from 0 to 1; the request is affected if it is
                below `share`.
        """
        if draw >= self.share:
            return Fault.NONE
        # A flapping fault is on in the first half of each period.
        if self.period and (now - self.since) % self.period * 2 >= self.period:
            return Fault.NONE
        return self.fault
