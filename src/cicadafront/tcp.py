"""Helpers for TCP connections: connect, socket options, peek and flush."""

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, protocol
from twisted.internet import tcp as twisted_tcp
from twisted.python import failure

# TCP keepalive closes a dead connection 3 s after its last byte. Another
# instance may take as long to notice a change of the configuration.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, new_protocol: protocol.Protocol):
        self._new_protocol = new_protocol
        self.failed: defer.Deferred[None] = defer.Deferred()

    def buildProtocol(self, addr: Any) -> protocol.Protocol:  # noqa: N802
        return self._new_protocol

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: failure.Failure
    ) -> None:
        self.failed.errback(reason)


def connect(
    reactor: Any,
    address: tuple[str, int],
    new_protocol: protocol.Protocol,
    seconds: float,
    connector: Callable[..., twisted_tcp.Connector] | None = None,
) -> "defer.Deferred[None]":
    """Opens a connection for a protocol.

    Args:
        reactor: Reactor that opens the connection.
        address: Host and port.
        new_protocol: Protocol instance of the connection.
        seconds: Connect timeout.
        connector: Creates the connector, if not Twisted's own.

    Returns:
        A Deferred that fails if the connection is not established in time. It
        does not fire on success, which calls the protocol's `connectionMade`.
    """
    factory = _Factory(new_protocol)
    host, port = address
    if connector is None:
        reactor.connectTCP(host, port, factory, seconds)
    else:
        connector(host, port, factory, seconds, None, reactor).connect()
    return factory.failed


def enable_keepalive(transport: Any) -> None:
    """Enables TCP keepalive, which closes a connection that is dead.

    Without keepalive probes, a connection whose state a middlebox has dropped
    looks like an idle connection.
    """
    sock = transport.getHandle()
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(level, option, value)


def limit_receive_buffer(transport: Any, count: int) -> None:
    """Limits the bytes that the other side may send ahead of what is read."""
    sock = transport.getHandle()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, count)


def peek(transport: Any) -> bytes | None:
    """Peeks at the receive buffer of a connection without consuming data.

    Returns:
        None if the connection is open and no data is available, empty bytes
        if it is closed, and the next byte otherwise.
    """
    try:
        return transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def flush(transport: Any) -> None:
    """Sends buffered data now instead of in the reactor's next iteration.

    Twisted sends after all handlers of an iteration have run, so that
    bookkeeping after the last byte of a message would delay the message. Data
    that the socket does not accept is left to the reactor.
    """
    if (
        isinstance(transport, twisted_tcp.Connection)
        and transport.connected
        and not transport.disconnecting
    ):
        transport.doWrite()
