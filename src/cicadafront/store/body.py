"""Reads the body of an HTTP response; cancelling closes the connection.

`twisted.web.client.readBody` leaves the connection open when it is cancelled,
because the transport of a response cannot be aborted.
"""

from typing import Any

from twisted.internet import defer, protocol
from twisted.python import failure
from twisted.web import client as web_client

from cicadafront import errors

# Twice the size of the largest response of the store, a page of values in
# base64.
MAX_BODY_BYTES = 8 * 1024 * 1024


class BodyTooLargeError(errors.CicadafrontError):
    """A response body exceeds the size limit."""

    code = "body_too_large"


class _Collector(protocol.Protocol):
    transport: Any

    def __init__(self, result: defer.Deferred[bytes], max_bytes: int):
        self._result = result
        self._remaining = max_bytes
        self._chunks: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's
        if self._result.called:
            return
        self._remaining -= len(data)
        if self._remaining >= 0:
            self._chunks.append(data)
            return
        self._chunks.clear()
        self.transport.loseConnection()
        self._result.errback(
            BodyTooLargeError(
                "A response body exceeds the size limit; check that the "
                "address belongs to a service of the fleet."
            )
        )

    def connectionLost(  # noqa: N802 - Twisted's
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if self._result.called:
            return
        if reason.check(web_client.ResponseDone):
            self._result.callback(b"".join(self._chunks))
        else:
            self._result.errback(reason)


def read(
    response: Any, max_bytes: int = MAX_BODY_BYTES
) -> defer.Deferred[bytes]:
    """Reads the whole body of a response.

    Args:
        response: Response of a Twisted HTTP client.
        max_bytes: Size limit of the body in bytes.

    Returns:
        The body. Fails with `BodyTooLargeError` above the size limit, or with
        the reason for the loss of the connection if the body is truncated.
    """

    def cancel(_result: defer.Deferred[bytes]) -> None:
        transport: Any = collector.transport
        if transport is not None:
            transport.loseConnection()

    result: defer.Deferred[bytes] = defer.Deferred(cancel)
    collector = _Collector(result, max_bytes)
    response.deliverBody(collector)
    return result
