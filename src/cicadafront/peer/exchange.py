"""Interfaces between the edge and the agent for one request.

The edge writes a request to a `RequestSink`; the agent writes the response to
a `ResponseSink`. A link implements both, so the edge and the agent need not
know whether they run in the same process.
"""

from typing import Protocol

import attrs

from cicadafront import errors, model

# Body bytes that one direction may have in flight, that is sent but not yet
# reported by `consumed`.
WINDOW_BYTES = 256 * 1024
# Largest body chunk in one frame.
CHUNK_BYTES = 64 * 1024
# Values of `OpenRequest.insist`, from the strictest to the least strict: only a
# free slot at a healthy target, also a place in the target's queue, also a
# target that is suspended.
REQUIRE_FREE_SLOT = 0
ALLOW_QUEUEING = 1
ALLOW_SUSPENDED_TARGET = 2


@attrs.frozen
class Load:
    """Load of a target as its agent sees it.

    Attributes:
        slots_in_use: Number of requests that run at the target.
        queued: Number of requests that wait for a slot.
        service_ms: Usual time of a request at the target in milliseconds; 0
            if unknown.
        failed_percent: Percentage of its recent requests that failed.
        ending: Whether one of the running requests ends with this report.
    """

    slots_in_use: int = 0
    queued: int = 0
    service_ms: int = 0
    failed_percent: int = 0
    ending: bool = False


@attrs.frozen
class OpenRequest:
    """A request as the edge hands it to an agent.

    Attributes:
        head: Request head for the target.
        account: Client account of the request; empty on open routes.
        service: Service of the route.
        target: Id of the chosen target.
        timeout: Seconds until the response must be complete.
        repeatable: Whether the request is idempotent and may run more than
            once.
        traceparent: W3C trace context of the edge's span.
        attempt: Number of this attempt, from 1.
        arrivals: Number of targets that received the request earlier or have
            another copy of it.
        weight: Queue weight of the account.
        fingerprint: Digest that identifies repeated requests.
        relay_to: Id of the instance to which the receiver relays the request;
            empty when the receiver is the agent.
        insist: What the edge accepts, such as `ALLOW_QUEUEING`.
        priority: Queue priority; 0 is the highest.
        objective: Seconds within which the caller wants the response; 0 if
            unknown.
        confirm: Whether the agent waits for `go` once the request has a
            slot. If the agent does not reply, the edge can then send the
            request to another agent, because this one does not run it.
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
    """Receives the body of a request."""

    def body(self, data: bytes) -> None:
        """Receives a chunk of the request body."""

    def end(self) -> None:
        """Marks the request body as complete."""

    def cancel(self) -> None:
        """Cancels the request; the response sink gets no more events."""

    def consumed(self, count: int) -> None:
        """Reports that `count` response bytes were consumed."""

    def go(self) -> None:
        """Lets a request run for which `granted` was reported."""


class ResponseSink(Protocol):
    """Receives the response to a request."""

    def granted(self) -> None:
        """Reports that the request has a slot and waits for `go`."""

    def path_suspected(self) -> None:
        """Reports that the instance that runs the request may be cut off."""

    def head(self, head: model.ResponseHead, load: Load) -> None:
        """Receives the head of the response and the load of the target."""

    def body(self, data: bytes) -> None:
        """Receives a chunk of the response body."""

    def end(self) -> None:
        """Marks the response as complete."""

    def fail(self, error: errors.RequestError, load: Load) -> None:
        """Ends the exchange with an error, before or after the head."""

    def consumed(self, count: int) -> None:
        """Reports that `count` request body bytes were consumed."""


class Opener(Protocol):
    """Starts exchanges: an agent, or a link to one."""

    def open(self, request: OpenRequest, response: ResponseSink) -> RequestSink:
        """Starts an exchange and returns the sink of its request body."""
