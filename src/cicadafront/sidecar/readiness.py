"""Decides whether an instance is ready for callers; free of I/O.

A process that has just started knows nobody. If it took callers then, it would
refuse requests that other instances can serve.
"""

import enum

import attrs

# Time from the start of a process after which targets that are still unknown no
# longer keep callers away: their service may have none.
MAX_WAIT_SECONDS = 3.0


class Readiness(enum.Enum):
    """Whether an instance is ready, or why not."""

    READY = "ready"
    LEAVING = "a planned stop is in progress"
    UNCONFIGURED = "it has no configuration"
    JOINING = "it has not received the state of the fleet"
    UNINFORMED = "it does not know which data centres are evacuated"
    UNROUTABLE = "it knows no target of some service"
    CLOSED = "its listener for callers is not open"


@attrs.frozen
class Knowledge:
    """What an instance knows.

    Attributes:
        configured: Whether it has a configuration.
        joined: Whether it has received the state of the fleet from a peer, or
            is the first instance.
        routable: Whether it knows a target of each service that routes name.
        leaving: Whether a planned stop is in progress.
        age: Seconds since the start of the process.
        evacuations_known: Whether it knows which data centres are evacuated.
        accepts_callers: Whether its listener for callers is open.
    """

    configured: bool
    joined: bool
    routable: bool
    leaving: bool
    age: float
    evacuations_known: bool = True
    accepts_callers: bool = True

    def readiness(self) -> Readiness:
        """Returns whether the instance is ready, or why not."""
        if self.leaving:
            return Readiness.LEAVING
        if not self.accepts_callers:
            return Readiness.CLOSED
        if not self.configured:
            return Readiness.UNCONFIGURED
        if not self.evacuations_known:
            return Readiness.UNINFORMED
        if self.age < MAX_WAIT_SECONDS and not self.joined:
            return Readiness.JOINING
        if self.age < MAX_WAIT_SECONDS and not self.routable:
            return Readiness.UNROUTABLE
        return Readiness.READY
