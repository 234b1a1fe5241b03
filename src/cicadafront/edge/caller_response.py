"""The response to one request on a caller's connection."""

import collections
from typing import Protocol

from cicadafront import errors, model
from cicadafront.peer import exchange


class Connection(Protocol):
    """The connection that a response is written to."""

    def send_continue(self) -> None:
        """Sends `100 Continue` to a caller that waits for it."""

    def body_consumed(self, count: int) -> None:
        """Resumes reading after request body bytes have been forwarded."""

    def send_head(self, head: model.ResponseHead) -> None:
        """Writes the response head."""

    def send_body(self, data: bytes) -> None:
        """Writes a chunk of the response body."""

    def send_end(self) -> None:
        """Completes the response."""

    def send_error(self, error: errors.RequestError) -> None:
        """Sends an error response."""

    def abort(self) -> None:
        """Aborts the connection, so that no response looks complete."""


class CallerResponse:
    """The response to one request.

    Events after its end are dropped and counted.

    Attributes:
        done: Whether the response has ended.
        head_sent: Whether its head has been written.
    """

    def __init__(
        self, connection: Connection, counts: collections.Counter[str]
    ):
        self._connection = connection
        self._counts = counts
        self.done = False
        self.head_sent = False

    def _stale(self, repeated: bool = False) -> bool:
        stale = self.done or repeated
        if stale:
            self._counts["answers_dropped"] += 1
        return stale

    def send_continue(self) -> None:
        """Asks a caller that waits for `100 Continue` to send the body."""
        if not self.done:
            self._connection.send_continue()

    def granted(self) -> None:
        """Does nothing: grants concern only the edge and the agent."""

    def path_suspected(self) -> None:
        """Does nothing: paths concern only the edge and the agent."""

    def head(self, head: model.ResponseHead, load: exchange.Load) -> None:
        """Writes the head."""
        if self._stale(repeated=self.head_sent):
            return
        self.head_sent = True
        self._connection.send_head(head)

    def body(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        if not self._stale():
            self._connection.send_body(data)

    def end(self) -> None:
        """Completes the response."""
        if not self._stale():
            self.done = True
            self._connection.send_end()

    def fail(self, error: errors.RequestError, load: exchange.Load) -> None:
        """Sends the error, or aborts the connection after the head."""
        if self._stale():
            return
        self.done = True
        if self.head_sent:
            self._connection.abort()
        else:
            self._connection.send_error(error)

    def consumed(self, count: int) -> None:
        """Lets the caller send more of the request body."""
        if not self.done:
            self._connection.body_consumed(count)
