"""Probe that checks whether a TCP address refuses connections."""

from typing import Any

from twisted.internet import defer, protocol
from twisted.internet import error as internet_error

from cicadafront import tcp

PROBE_SECONDS = 1.0


class _Probe(protocol.Protocol):
    transport: Any

    def __init__(self, done: "defer.Deferred[bool]"):
        self._done = done

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.abortConnection()
        self._done.callback(False)


class TcpProber:
    """Checks whether a TCP address refuses connections."""

    def __init__(self, reactor: Any):
        self._reactor = reactor

    def __call__(self, host: str, port: int) -> "defer.Deferred[bool]":
        """Attempts a connection, with a timeout of `PROBE_SECONDS`.

        Returns:
            A Deferred with True if the connection was refused, and with False
            if it was established or failed otherwise.
        """
        done: defer.Deferred[bool] = defer.Deferred()
        failed = tcp.connect(
            self._reactor, (host, port), _Probe(done), PROBE_SECONDS
        )
        failed.addErrback(
            lambda reason: done.callback(
                bool(reason.check(internet_error.ConnectionRefusedError))
            )
        )
        return done
