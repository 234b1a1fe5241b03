"""Targets beside this instance and connections to them."""

from typing import Any, Protocol

import attrs
from twisted.internet import defer

from cicadafront import model, tcp
from cicadafront.agent import connection

CONNECT_SECONDS = 1.0


@attrs.frozen
class LocalTarget:
    """A target beside this instance with its address."""

    target: model.Target
    host: str
    port: int


class LocalTargets(Protocol):
    """Targets that announced themselves to this instance."""

    def local(self, id: str) -> LocalTarget | None:
        """Returns a target, or None if it is not beside this instance."""


class Connector(Protocol):
    """Opens connections to targets."""

    def connect(
        self, place: LocalTarget, made: connection.TargetConnection
    ) -> "defer.Deferred[None]":
        """Connects; fails when the target does not accept in time."""


class TcpConnector:
    """Opens TCP connections."""

    def __init__(self, reactor: Any):
        self._reactor = reactor

    def connect(
        self, place: LocalTarget, made: connection.TargetConnection
    ) -> "defer.Deferred[None]":
        """Connects within `CONNECT_SECONDS`."""
        address = place.host, place.port
        return tcp.connect(self._reactor, address, made, CONNECT_SECONDS)
