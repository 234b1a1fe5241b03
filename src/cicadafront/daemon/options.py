"""Start options of a daemon."""

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
        edge: Host and TCP port of the listener for callers.
        peer: Host and TCP port of the listener for other instances.
        incarnation: Number that increases with each start of the process; the
            start time in milliseconds since the Unix epoch by default.
        leave_seconds: Time from the request for a planned stop until the
            agent rejects new exchanges.
        stop_seconds: Time limit of a planned stop.
        accept_seconds: Time from the announcement of a planned stop during
            which new connections of callers are accepted.
        connect_seconds: Timeout of a connection to another instance.
        link_close_seconds: Time that peers have to close their end of a link
            on which no more exchanges are opened.
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
