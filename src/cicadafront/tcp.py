"""Outgoing TCP connections."""

from typing import Any

from twisted.internet import defer, protocol
from twisted.python import failure


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
