"""Interfaces between the connections of callers and the forwarding logic."""

from typing import Protocol

from cicadafront import model
from cicadafront.peer import exchange


class Caller(exchange.ResponseSink, Protocol):
    """The caller of one request; receives the response."""

    def send_continue(self) -> None:
        """Asks a caller that waits for `100 Continue` to send the body."""


class Handler(Protocol):
    """Handles requests."""

    def begin(
        self, head: model.RequestHead, token: str, caller: Caller
    ) -> exchange.RequestSink:
        """Starts an exchange.

        The caller may get its response before this returns.

        Args:
            head: Head of the request.
            token: Key of the caller, or "".
            caller: Receives the response.

        Returns:
            The sink for the request body.
        """
