"""Data shared by several parts."""

import enum

import attrs

Headers = tuple[tuple[bytes, bytes], ...]


class TargetState(enum.Enum):
    """Life cycle of a target as the instance beside it announces it."""

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
        slots: Number of requests that it runs at the same time.
        state: Whether it takes work.
        warm_since: Time at which it started to serve, in seconds of the
            reader's clock.
        weight: Share of the usual load that it should get, from 0 to 1.
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
    """Head of a request without hop-by-hop headers and without the key.

    A body of unknown length is marked by `Transfer-Encoding: chunked`.
    """

    method: str
    path: str
    headers: Headers


@attrs.frozen
class ResponseHead:
    """Head of an answer without hop-by-hop headers."""

    status: int
    headers: Headers
