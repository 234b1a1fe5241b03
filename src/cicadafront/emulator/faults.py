"""Faults that a stand-in target can be told to show."""

import enum

import attrs


class Fault(enum.Enum):
    """Kind of fault of a target's real work."""

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
    """Which fault is active at a given time.

    Attributes:
        fault: The fault to show.
        share: Part of the requests that it hits, from 0 to 1.
        period: Seconds of one cycle of a flapping fault; 0 means constant.
        slow_factor: Factor on the service time while the fault is `SLOW`.
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
            draw: Number from 0 to 1 that decides whether the request is hit.
        """
        if draw >= self.share:
            return Fault.NONE
        # A flapping fault is on in the first half of each period.
        if self.period and (now - self.since) % self.period * 2 >= self.period:
            return Fault.NONE
        return self.fault
