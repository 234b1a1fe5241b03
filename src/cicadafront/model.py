"""Data types shared by several packages."""

import enum

import attrs

Headers = tuple[tuple[bytes, bytes], ...]


class TargetState(enum.Enum):
    """Life-cycle state of a target, as announced by its instance."""

    STARTING = "starting"
    SERVING = "serving"
    EJECTED = "ejected"
    LEAVING = "leaving"


@attrs.frozen
class Target:
    """One back end of a service.

    Attributes:
        id: Unique name of the target.
        service: Service that it belongs to.
        instance: Id of the instance whose agent opens connections to it.
        slots: Maximum number of concurrent requests.
        state: Life-cycle state; only a serving target accepts requests.
        warm_since: Time at which it started to serve, in seconds of the
            local clock.
        weight: Fraction of the normal load that it should get, from 0 to 1.
        data_centre: Data centre of the instance.
    """

    id: str
    service: str
    instance: str
    slots: int
    state: TargetState = TargetState.SERVING
    warm_since: float = 0.0
    weight: float = 1.0
    data_centre: str = ""


@attrs.frozen
class RequestHead:
    """Head of a request, without hop-by-hop headers and the caller's key.

    `Transfer-Encoding: chunked` marks a body of unknown length.
    """

    method: str
    path: str
    headers: Headers


@attrs.frozen
class ResponseHead:
    """Head of a response, without hop-by-hop headers."""

    status: int
    headers: Headers
