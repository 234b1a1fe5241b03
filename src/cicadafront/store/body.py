"""Reads the body of an HTTP answer so that cancelling closes its connection.

`twisted.web.client.readBody` leaves the connection open when it is cancelled,
because the transport of an answer cannot be aborted.
"""

from typing import Any

from twisted.internet import defer, protocol
from twisted.python import failure
from twisted.web import client as web_client


class _Collector(protocol.Protocol):
    def __init__(self, result: defer.Deferred[bytes]):
        self._result = result
        self._pieces: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's
        self._pieces.append(data)

    def connectionLost(  # noqa: N802 - Twisted's
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if self._result.called:
            return
        if reason.check(web_client.ResponseDone):
            self._result.callback(b"".join(self._pieces))
        else:
            self._result.errback(reason)


def read(response: Any) -> defer.Deferred[bytes]:
    """Returns the whole body; fails if it ends short."""

    def cancel(_result: defer.Deferred[bytes]) -> None:
        transport: Any = collector.transport
        if transport is not None:
            transport.loseConnection()

    result: defer.Deferred[bytes] = defer.Deferred(cancel)
    collector = _Collector(result)
    response.deliverBody(collector)
    return result
