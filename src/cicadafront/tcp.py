"""TCP connections: connecting and prompt writing."""

import socket
from typing import Any

from twisted.internet import defer, protocol
from twisted.internet import tcp as twisted_tcp
from twisted.python import failure

# A dead connection ends 3 s after its last byte, the time in which a change of
# the configuration may take to be noticed elsewhere.
QUIET_SECONDS = 1
PROBE_SECONDS = 1
PROBES = 2


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, made: protocol.Protocol):
        self._made = made
        self.failed: defer.Deferred[None] = defer.Deferred()

    def buildProtocol(self, addr: Any) -> protocol.Protocol:  # noqa: N802
        return self._made

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: failure.Failure
    ) -> None:
        self.failed.errback(reason)


def connect(
    reactor: Any,
    address: tuple[str, int],
    made: protocol.Protocol,
    seconds: float,
) -> "defer.Deferred[None]":
    """Connects a protocol.

    Args:
        reactor: Opens the connection.
        address: Host and port.
        made: Protocol that gets the connection.
        seconds: Time limit.

    Returns:
        A Deferred that fails if there is no connection in time, and does not
        fire otherwise: the protocol's `connectionMade` tells of success.
    """
    factory = _Factory(made)
    host, port = address
    reactor.connectTCP(host, port, factory, seconds)
    return factory.failed


def enable_keepalive(transport: Any) -> None:
    """Lets the system probe a quiet connection and end it if it is dead.

    Without probes, a connection that something on the way has forgotten looks
    like one on which nothing happens.
    """
    sock = transport.getHandle()
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, QUIET_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    ):
        sock.setsockopt(level, option, value)


def peek(transport: Any) -> bytes | None:
    """Looks at the socket of a connection without reading from it.

    Returns:
        None while the connection is open and quiet, no bytes if it is
        closed, and one byte if more have arrived.
    """
    try:
        return transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def flush(transport: Any) -> bool:
    """Sends what was written instead of waiting for the reactor's next turn.

    Twisted sends after all handlers of a turn have run, so that bookkeeping
    after the last byte of a message would delay the message. What the socket
    does not take is left to the reactor.

    Returns:
        False if the connection is lost. A failed send clears the socket's
        error, so that the reactor may report a reset as a clean close.
    """
    if (
        isinstance(transport, twisted_tcp.Connection)
        and transport.connected
        and not transport.disconnecting
    ):
        return not isinstance(transport.doWrite(), Exception)
    return True
