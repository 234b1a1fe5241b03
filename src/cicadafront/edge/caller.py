"""Interfaces between the edge's connections and its forwarding logic."""

from typing import Protocol

from cicadafront import model
from cicadafront.peer import exchange


class Caller(exchange.ResponseSink, Protocol):
    """The caller of one request; takes its answer."""

    def send_continue(self) -> None:
        """Tells the caller to send the body, if it waits for that."""


class Handler(Protocol):
    """Answers requests."""

    def begin(
        self, head: model.RequestHead, token: str, caller: Caller
    ) -> exchange.RequestSink:
        """Starts an exchange; the caller may be answered before it returns."""
