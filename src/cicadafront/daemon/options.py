"""What a daemon is told at its start."""

import time

import attrs

from cicadafront.peer import pool


def _incarnation() -> int:
    return int(time.time() * 1000)


@attrs.frozen
class DaemonOptions:
    """Identity, addresses and limits of a daemon.

    Attributes:
        instance: Unique id of the instance.
        data_centre: Data centre of the instance.
        edge: Host and TCP port for callers.
        peer: Host and TCP port for other instances.
        incarnation: Number that grows with each start of the process.
        leave_seconds: Time from the announcement of a planned stop until new
            work for the targets is refused.
        stop_seconds: Limit of a planned stop.
        accept_seconds: Time from the announcement of a planned stop for
            which new callers are still accepted.
        connect_seconds: Time limit of a connection to another instance.
        link_close_seconds: Time that peers have to close their side of a
            finished link.
    """

    instance: str
    data_centre: str
    edge: tuple[str, int]
    peer: tuple[str, int]
    incarnation: int = attrs.field(factory=_incarnation)
    leave_seconds: float = 2.0
    stop_seconds: float = 60.0
    accept_seconds: float = 0.0
    connect_seconds: float = pool.CONNECT_TIMEOUT_SECONDS
    link_close_seconds: float = 1.0
