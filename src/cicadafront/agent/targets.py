"""Targets that are local to this instance, and connections to them."""

from typing import Any, Protocol

import attrs
from twisted.internet import defer

from cicadafront import model, tcp
from cicadafront.agent import connection, transport

CONNECT_TIMEOUT_SECONDS = 1.0


@attrs.frozen
class LocalTarget:
    """A target that is local to this instance, and its address."""

    target: model.Target
    host: str
    port: int


class LocalTargets(Protocol):
    """Targets that have registered with this instance."""

    def local(self, id: str) -> LocalTarget | None:
        """Returns a target, or None if it is not local to this instance."""


class Connector(Protocol):
    """Opens connections to targets."""

    def connect(
        self, target: LocalTarget, made: connection.TargetConnection
    ) -> "defer.Deferred[None]":
        """Connects; fails if the target does not accept in time."""


class TcpConnector:
    """Opens TCP connections."""

    def __init__(self, reactor: Any):
        self._reactor = reactor

    def connect(
        self, target: LocalTarget, made: connection.TargetConnection
    ) -> "defer.Deferred[None]":
        """Connects within `CONNECT_TIMEOUT_SECONDS`."""
        address = target.host, target.port
        return tcp.connect(
            self._reactor,
            address,
            made,
            CONNECT_TIMEOUT_SECONDS,
            transport.Connector,
        )
