"""Outcomes of requests at a target, as its agent reports them."""

import enum

import attrs


class FailureKind(enum.Enum):
    """How an exchange with a target failed."""

    CONNECT = "connect"
    RESET = "reset"
    TIMEOUT = "timeout"
    SHORT = "short"
    MANGLED = "mangled"
    CROSSED = "crossed"


@attrs.frozen
class Completed:
    """The target sent a whole, well-formed answer.

    Attributes:
        status: HTTP status.
        seconds: Time that the target took. Time in which the agent waited
            for the caller (body pieces, flow control) is left out.
    """

    status: int
    seconds: float


@attrs.frozen
class Failed:
    """The exchange failed on the connection between agent and target."""

    kind: FailureKind


@attrs.frozen
class Cancelled:
    """The caller or the entry gave up; no evidence about the target."""


Outcome = Completed | Failed | Cancelled


@attrs.frozen
class Request:
    """A request that an agent sent to a target.

    Attributes:
        serial: Number that is unique at the agent.
        route: Id of the route.
    """

    serial: int
    route: str = ""
