"""Small HTTP endpoints on the listeners of the edge.

Serves the health check, the heartbeats and the metrics without a web
framework, whose import takes longer than the rest of the start.
"""

from collections.abc import Callable

import attrs

from cicadafront import model
from cicadafront.edge import caller
from cicadafront.peer import exchange

# A heartbeat is below 1 KB.
MAX_BODY_BYTES = 64 * 1024


@attrs.frozen
class Response:
    """Answer of an endpoint."""

    status: int
    body: bytes = b""
    kind: bytes = b"application/json"


Responder = Callable[[model.RequestHead, bytes], Response]


@attrs.frozen
class EndpointHandler:
    """A `caller.Handler` that answers whole requests with a function."""

    respond: Responder

    def begin(
        self, head: model.RequestHead, token: str, caller: caller.Caller
    ) -> exchange.RequestSink:
        """Starts to collect a request."""
        caller.send_continue()
        return _Collector(self.respond, head, caller)


class _Collector:
    """Collects the body of one request, then answers."""

    def __init__(
        self,
        respond: Responder,
        head: model.RequestHead,
        answer: caller.Caller,
    ):
        self._answering = respond
        self._head = head
        self._answer = answer
        self._body = b""
        self._done = False

    def body(self, data: bytes) -> None:
        if self._done:
            return
        self._body += data
        self._answer.consumed(len(data))
        if len(self._body) > MAX_BODY_BYTES:
            self._send(Response(413))

    def end(self) -> None:
        if not self._done:
            self._send(self._answering(self._head, self._body))

    def cancel(self) -> None:
        self._done = True

    def consumed(self, count: int) -> None:
        pass

    def go(self) -> None:
        pass

    def _send(self, page: Response) -> None:
        self._done = True
        fields = (
            (b"Content-Type", page.kind),
            (b"Content-Length", b"%d" % len(page.body)),
        )
        head = model.ResponseHead(page.status, fields)
        self._answer.head(head, exchange.Load())
        if page.body:
            self._answer.body(page.body)
        self._answer.end()
