"""Reads the body of an HTTP answer so that cancelling closes its connection.

`twisted.web.client.readBody` leaves the connection open when it is cancelled,
because the transport of an answer cannot be aborted.
"""

from typing import Any

from twisted.internet import defer, protocol
from twisted.python import failure
from twisted.web import client as web_client

from cicadafront import errors

# Twice the largest answer of the store: a page of values in base64.
MAX_BODY_BYTES = 8 * 1024 * 1024


class BodyTooLargeError(errors.CicadafrontError):
    """An answer goes on beyond any size that is expected."""

    code = "body_too_large"


class _Collector(protocol.Protocol):
    transport: Any

    def __init__(self, result: defer.Deferred[bytes], most: int):
        self._result = result
        self._left = most
        self._pieces: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's
        if self._result.called:
            return
        self._left -= len(data)
        if self._left >= 0:
            self._pieces.append(data)
            return
        self._pieces.clear()
        self.transport.loseConnection()
        self._result.errback(
            BodyTooLargeError(
                "An answer is larger than expected and was cut off; check "
                "that the address belongs to a service of the fleet."
            )
        )

    def connectionLost(  # noqa: N802 - Twisted's
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if self._result.called:
            return
        if reason.check(web_client.ResponseDone):
            self._result.callback(b"".join(self._pieces))
        else:
            self._result.errback(reason)


def read(response: Any, most: int = MAX_BODY_BYTES) -> defer.Deferred[bytes]:
    """Returns the whole body; fails if it ends short, or is too large."""

    def cancel(_result: defer.Deferred[bytes]) -> None:
        transport: Any = collector.transport
        if transport is not None:
            transport.loseConnection()

    result: defer.Deferred[bytes] = defer.Deferred(cancel)
    collector = _Collector(result, most)
    response.deliverBody(collector)
    return result
