"""Sends one health check to an ejected target."""

from typing import Any

from twisted.internet import defer, endpoints, protocol
from twisted.python import failure

from cicadafront.health import ejection

PATH = "/health"
_REQUEST = (
    f"GET {PATH} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n"
).encode()
# Length of "HTTP/1.1 200".
_STATUS_BYTES = 12


class _ProbeProtocol(protocol.Protocol):
    """Reads the status code of the response."""

    transport: Any

    def __init__(self, done: "defer.Deferred[bool]"):
        self._done = done
        self._data = b""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(_REQUEST)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._data += data[:_STATUS_BYTES]
        if len(self._data) >= _STATUS_BYTES:
            self._finish(_good(self._data))

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self._finish(False)

    def _finish(self, good: bool) -> None:
        done, self._done = self._done, defer.Deferred()
        self.transport.abortConnection()
        if not done.called:
            done.callback(good)


def _good(start: bytes) -> bool:
    """Returns whether the status line reports no server error."""
    status = start[9:12]
    return start.startswith(b"HTTP/1.") and status.isdigit() and status < b"500"


def _refused(_reason: failure.Failure, done: "defer.Deferred[bool]") -> None:
    if not done.called:
        done.callback(False)


def probe(reactor: Any, address: tuple[str, int]) -> "defer.Deferred[bool]":
    """Sends a health check to a target.

    Args:
        reactor: Twisted reactor.
        address: Host and port of the target.

    Returns:
        Fires with True if the target answers within `PROBE_LIMIT_SECONDS` and
        without a server error, else with False.
    """
    done: defer.Deferred[bool] = defer.Deferred()
    point = endpoints.TCP4ClientEndpoint(
        reactor, *address, timeout=ejection.PROBE_LIMIT_SECONDS
    )
    connecting = endpoints.connectProtocol(point, _ProbeProtocol(done))
    connecting.addErrback(_refused, done)
    done.addTimeout(ejection.PROBE_LIMIT_SECONDS, reactor)
    return done.addErrback(lambda _: False)
