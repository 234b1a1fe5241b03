"""Interfaces through which the parts of a daemon use one another.

The composition root passes the implementations. Times are seconds; Deferreds
fail with the errors of `cicadafront.errors`.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

import attrs
from twisted.internet import defer

from cicadafront import model
from cicadafront.config import model as config_model


@attrs.frozen
class InstanceInfo:
    """What is known of an instance.

    Attributes:
        id: Name from its settings.
        incarnation: Number that grows with each start of its process.
        data_centre: Data centre from its settings.
        peer_address: Host and TCP port of its peer listener.
        alive: Whether it is believed to run.
        leaving: Whether it is in a planned stop.
        operators_address: Host and TCP port of its operators' endpoints.
    """

    id: str
    incarnation: int
    data_centre: str
    peer_address: tuple[str, int]
    alive: bool = True
    leaving: bool = False
    operators_address: tuple[str, int] = ("", 0)


class Directory(Protocol):
    """Instances and targets that this instance knows of."""

    def instance(self, id: str) -> InstanceInfo | None:
        """Returns one instance, or None if it is unknown."""

    def instances(self) -> Iterable[InstanceInfo]:
        """Returns all known instances, this one included."""

    def targets(self, service: str) -> list[model.Target]:
        """Returns the targets of a service, in any state."""

    def on_change(self, handler: Callable[[], None]) -> None:
        """Calls the handler after each change."""


class Broadcaster(Protocol):
    """Urgent messages to all instances."""

    def broadcast(self, topic: str, payload: bytes) -> None:
        """Sends a payload of at most 1,000 bytes to every live instance."""

    def on_broadcast(
        self, topic: str, handler: Callable[[bytes], None]
    ) -> None:
        """Calls the handler once for each broadcast of the topic."""


class Revisions(Protocol):
    """Revisions of the configuration that the instances run.

    They travel with what instances send one another anyway, so that each
    learns of a newer one without the store.
    """

    def publish(self, revision: int) -> None:
        """Tells the others from now on which revision this instance runs."""

    def on_revision(self, handler: Callable[[str, int], None]) -> None:
        """Calls the handler with an instance and the revision it runs."""


CallHandler = Callable[[str, bytes], "bytes | defer.Deferred[bytes]"]


class PeerCalls(Protocol):
    """Calls from one part to its counterpart on another instance."""

    def call(
        self, instance: str, method: str, body: bytes, timeout: float
    ) -> "defer.Deferred[bytes]":
        """Calls a method of an instance; a call to itself runs locally.

        Fails with `CallFailedError`; its `code` is the code of the error that
        the handler raised, or `call_failed` or `call_timeout`.
        """

    def register(self, method: str, handler: CallHandler) -> None:
        """Serves a method; the handler gets the caller's instance id."""


@attrs.frozen
class Versioned:
    """A value in the store.

    Attributes:
        value: The bytes.
        version: Grows with each change of the key; 0 means absent.
        lease: Id of the lease that the key is attached to, or empty.
    """

    value: bytes
    version: int
    lease: str = ""


class Store(Protocol):
    """The platform's key-value service.

    Every Deferred fails with `StoreUnavailableError` when no answer came; a
    write may then have taken effect.
    """

    def get(self, key: str) -> "defer.Deferred[Versioned | None]":
        """Reads one key."""

    def list(self, prefix: str) -> "defer.Deferred[dict[str, Versioned]]":
        """Reads all keys with a prefix."""

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: str = "",
    ) -> "defer.Deferred[int]":
        """Writes a key and returns its new version.

        With `expected`, the write is a compare-and-swap on the version (0:
        the key must be absent) and fails with `StoreConflictError`.
        """

    def delete(
        self, key: str, expected: int | None = None
    ) -> "defer.Deferred[None]":
        """Deletes a key, with `expected` only at that version."""

    def watch(
        self, key: str, after: int, timeout: float
    ) -> "defer.Deferred[Versioned | None]":
        """Waits until the version exceeds `after`; None after the timeout."""

    def grant_lease(self, ttl: float) -> "defer.Deferred[str]":
        """Creates a lease and returns its id."""

    def renew_lease(self, lease: str) -> "defer.Deferred[None]":
        """Renews a lease; fails with `StoreConflictError` once it lapsed."""

    def revoke_lease(self, lease: str) -> "defer.Deferred[None]":
        """Ends a lease; keys attached to it are deleted."""


class Admission(Protocol):
    """Rate and burst of client accounts over the whole fleet."""

    def admit(
        self, account: config_model.ClientAccount
    ) -> "defer.Deferred[None]":
        """Admits one request, or fails with `RateExceededError`."""


@attrs.frozen
class Outcome:
    """Answer kept for a request with an idempotency key.

    Attributes:
        head: Head of the answer.
        body: Body, or None if it was too large to keep.
        body_digest: SHA-256 of the body.
    """

    head: model.ResponseHead
    body: bytes | None
    body_digest: bytes


@attrs.frozen
class Ticket:
    """Right to run a request once, from the owner of its record."""

    account: str
    key: str
    shard: int
    epoch: int
    serial: int


@attrs.frozen
class Start:
    """The request has not run; the holder of the ticket may run it once."""

    ticket: Ticket


@attrs.frozen
class Replay:
    """The request has run with this outcome."""

    outcome: Outcome


class OutcomeRecords(Protocol):
    """Idempotency records over the whole fleet."""

    def begin(
        self, account: str, key: str, digest: bytes, timeout: float
    ) -> "defer.Deferred[Start | Replay]":
        """Asks for the right to run; waits for an outcome still running.

        Fails with `RecordMismatchError`, `OutcomeUnknownError` or
        `RecordOwnerUnavailableError`.
        """

    def finish(self, ticket: Ticket, outcome: Outcome) -> None:
        """Records the outcome."""

    def release(self, ticket: Ticket) -> None:
        """Removes the record: the request certainly did not run."""

    def abandon(self, ticket: Ticket) -> None:
        """Marks the outcome as unknown."""
