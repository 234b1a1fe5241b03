"""The answer to one request on a caller's connection."""

import collections
from typing import Protocol

from cicadafront import errors, model
from cicadafront.peer import exchange


class Connection(Protocol):
    """The connection that an answer is written to."""

    def send_continue(self) -> None:
        """Sends `100 Continue` to a caller that waits for it."""

    def body_consumed(self, count: int) -> None:
        """Reads on after request body bytes were passed on."""

    def send_head(self, head: model.ResponseHead) -> None:
        """Writes the head of the answer."""

    def send_body(self, data: bytes) -> None:
        """Writes a piece of the answer."""

    def send_end(self) -> None:
        """Completes the answer."""

    def send_error(self, error: errors.RequestError) -> None:
        """Answers with an error."""

    def abort(self) -> None:
        """Breaks the connection, so that no answer looks complete."""


class CallerResponse:
    """The one answer to one request; drops what comes after its end."""

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
        """Lets a caller that waits for that send its body."""
        if not self.done:
            self._connection.send_continue()

    def granted(self) -> None:
        """Does nothing: the caller learns of the answer only."""

    def head(self, head: model.ResponseHead, load: exchange.Load) -> None:
        """Takes the head."""
        if self._stale(repeated=self.head_sent):
            return
        self.head_sent = True
        self._connection.send_head(head)

    def body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if not self._stale():
            self._connection.send_body(data)

    def end(self) -> None:
        """Completes the answer."""
        if not self._stale():
            self.done = True
            self._connection.send_end()

    def fail(self, error: errors.RequestError, load: exchange.Load) -> None:
        """Answers with the error, or breaks an answer that has begun."""
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
