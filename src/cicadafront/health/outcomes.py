"""Outcomes of requests to a target, as reported by its agent."""

import enum

import attrs


class FailureKind(enum.Enum):
    """Kind of failure of an exchange with a target."""

    CONNECT = "connect"
    RESET = "reset"
    TIMEOUT = "timeout"
    SHORT = "short"
    MANGLED = "mangled"
    CROSSED = "crossed"


@attrs.frozen
class Completed:
    """The target sent a complete, well-formed response.

    Attributes:
        status: HTTP status.
        seconds: Processing time of the target, in seconds. Excludes time
            spent waiting for the client (body chunks, flow control).
    """

    status: int
    seconds: float


@attrs.frozen
class Failed:
    """The exchange failed on the connection between agent and target."""

    kind: FailureKind


@attrs.frozen
class Cancelled:
    """The client or the entry cancelled; says nothing about the target."""


Outcome = Completed | Failed | Cancelled


@attrs.frozen
class Request:
    """A request that an agent sent to a target.

    Attributes:
        serial: Number that is unique within the agent.
        route: Id of the route; empty if no route matches.
    """

    serial: int
    route: str = ""
