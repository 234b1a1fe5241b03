"""Interfaces between the entry and the agent of one request.

An entry writes a request to a `RequestSink`; the agent writes the answer to a
`ResponseSink`. A link implements both, so that the entry and the agent need
not know whether they share a process.
"""

from typing import Protocol

import attrs

from cicadafront import errors, model

# Bytes of body that one direction may send ahead of `consumed`.
WINDOW_BYTES = 256 * 1024
# Largest body piece in one frame.
CHUNK_BYTES = 64 * 1024
# How firmly an entry asks an agent: for a free slot at a target without
# doubts, for a place in its queue, or also at a target that is suspended.
REQUIRE_FREE_SLOT = 0
ALLOW_QUEUEING = 1
ALLOW_SUSPENDED_TARGET = 2


@attrs.frozen
class Load:
    """Load of a target as its agent sees it."""

    slots_in_use: int = 0
    queued: int = 0


@attrs.frozen
class OpenRequest:
    """A request as an entry hands it to an agent.

    Attributes:
        head: Head for the target.
        account: Client account that it runs for; empty on open routes.
        service: Service of the route.
        target: Id of the chosen target.
        timeout: Seconds until the answer must be complete.
        repeatable: Whether the request may run more than once.
        traceparent: W3C trace context of the entry's span.
        attempt: Number of this attempt, from 1.
        arrivals: Targets that have had the request before, or that have
            another copy of it.
        weight: Queue weight of the account.
        fingerprint: Digest that recognises the same request sent again.
        relay_to: Instance to which a third instance relays the request;
            empty when the receiver is the agent.
        insist: How firmly the entry asks, such as `ALLOW_QUEUEING`.
        priority: Rank in a queue, 0 highest.
        objective: Seconds within which the caller wants the answer; 0 if
            unknown.
        confirm: Whether the agent waits for `go` once the request has a
            slot. An entry that hears nothing can then take the request to
            another agent and knows that this one does not run it.
    """

    head: model.RequestHead
    account: str
    service: str
    target: str
    timeout: float
    repeatable: bool = False
    traceparent: str = ""
    attempt: int = 1
    arrivals: int = 0
    weight: float = 1.0
    fingerprint: bytes = b""
    relay_to: str = ""
    insist: int = ALLOW_QUEUEING
    priority: int = 0
    objective: float = 0.0
    confirm: bool = False


class RequestSink(Protocol):
    """Takes the body of a request."""

    def body(self, data: bytes) -> None:
        """Takes a piece of the request body."""

    def end(self) -> None:
        """Marks the request body as complete."""

    def cancel(self) -> None:
        """Gives the request up; nothing more is sent to the response sink."""

    def consumed(self, count: int) -> None:
        """Reports answer bytes that were passed on."""

    def go(self) -> None:
        """Lets a request that has a slot run."""


class ResponseSink(Protocol):
    """Takes the answer to a request."""

    def granted(self) -> None:
        """The request has a slot and waits for `go`."""

    def head(self, head: model.ResponseHead, load: Load) -> None:
        """Takes the head of the answer."""

    def body(self, data: bytes) -> None:
        """Takes a piece of the answer's body."""

    def end(self) -> None:
        """Marks the answer as complete."""

    def fail(self, error: errors.RequestError, load: Load) -> None:
        """Ends the exchange with an error, before or after the head."""

    def consumed(self, count: int) -> None:
        """Reports request body bytes that were passed on."""


class Opener(Protocol):
    """Starts exchanges: an agent, or a link to one."""

    def open(self, request: OpenRequest, response: ResponseSink) -> RequestSink:
        """Starts an exchange and returns the sink of its request body."""
