"""Interfaces between the packages of a daemon.

The composition root injects the implementations. Times are in seconds.
Deferreds fail with the errors of `cicadafront.errors`.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

import attrs
from twisted.internet import defer

from cicadafront import model
from cicadafront.config import model as config_model


@attrs.frozen
class InstanceInfo:
    """Known state of an instance.

    Attributes:
        id: Name from its settings.
        incarnation: Number that increases with each start of its process.
        data_centre: Data centre from its settings.
        peer_address: Host and TCP port of its peer listener.
        alive: Whether it is considered to be running.
        leaving: Whether it is shutting down as planned.
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
    """Instances and targets known to this instance."""

    def instance(self, id: str) -> InstanceInfo | None:
        """Returns one instance, or None if it is unknown."""

    def instances(self) -> Iterable[InstanceInfo]:
        """Returns all known instances, this one included."""

    def targets(self, service: str) -> list[model.Target]:
        """Returns the targets of a service, regardless of state."""

    def on_change(self, handler: Callable[[], None]) -> None:
        """Registers a handler that is called after each change."""


class Broadcaster(Protocol):
    """Urgent messages to all instances."""

    def broadcast(self, topic: str, payload: bytes) -> None:
        """Sends a payload of at most 1,000 bytes to every live instance."""

    def on_broadcast(
        self, topic: str, handler: Callable[[bytes], None]
    ) -> None:
        """Registers a handler, called once for each broadcast of a topic."""


class Revisions(Protocol):
    """Exchange of the configuration revisions that the instances run.

    Revisions are piggybacked on other messages between instances, so that an
    instance learns of a newer revision without the store.
    """

    def publish(self, revision: int) -> None:
        """Sets the revision of this instance that other instances receive."""

    def on_revision(self, handler: Callable[[str, int], None]) -> None:
        """Registers a handler, called with an instance and its revision."""


CallHandler = Callable[[str, bytes], "bytes | defer.Deferred[bytes]"]


class PeerCalls(Protocol):
    """Remote procedure calls between instances."""

    def call(
        self, instance: str, method: str, body: bytes, timeout: float
    ) -> "defer.Deferred[bytes]":
        """Calls a method of an instance; a call to this instance runs locally.

        Args:
            instance: Id of the called instance.
            method: Name of the method.
            body: Argument of the handler.
            timeout: Time limit in seconds.

        Returns:
            A Deferred with the handler's result. It fails with
            `CallFailedError`, whose `code` is the code of the error that the
            handler raised, `call_failed` or `call_timeout`.
        """

    def register(self, method: str, handler: CallHandler) -> None:
        """Registers the handler of a method.

        The handler is called with the caller's instance id and the body.
        """


@attrs.frozen
class Versioned:
    """A value in the store.

    Attributes:
        value: The bytes.
        version: Number that increases with each change of the key; 0 means
            that the key is absent.
        lease: Id of the lease that the key is attached to, or empty.
    """

    value: bytes
    version: int
    lease: str = ""


@attrs.frozen
class PrefixEvent:
    """A change of one key.

    Attributes:
        key: The key.
        revision: Revision of the store with the change.
        deleted: Whether the key was deleted.
    """

    key: str
    revision: int
    deleted: bool = False


@attrs.frozen
class PrefixChanges:
    """The changes that a watch of a prefix delivered.

    Attributes:
        events: The changes.
        revision: Revision of the store up to which they are complete.
    """

    events: tuple[PrefixEvent, ...]
    revision: int


class PrefixStore(Protocol):
    """Client of the store that reads and watches whole prefixes.

    Every Deferred fails with `StoreUnavailableError` if the store did not
    respond.
    """

    def read_prefix(
        self, prefix: str
    ) -> "defer.Deferred[tuple[dict[str, int], int]]":
        """Reads the keys with a prefix.

        Returns:
            The revision of each key, and a revision of the store from which a
            watch misses no later change.
        """

    def watch_prefix(
        self, prefix: str, after: int, timeout: float
    ) -> "defer.Deferred[PrefixChanges | None]":
        """Waits for changes after a revision.

        Returns:
            The changes, none after a timeout; or None if the store no longer
            knows the changes since that revision.
        """


class Store(Protocol):
    """Client of the platform's key-value store.

    Every Deferred fails with `StoreUnavailableError` if the store did not
    respond. A write may have taken effect in that case.
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

        Args:
            key: Key.
            value: New value.
            expected: Makes the write a compare-and-swap on this version, which
                fails with `StoreConflictError`; 0 requires that the key is
                absent.
            lease: Id of the lease to attach the key to, or empty.
        """

    def delete(
        self, key: str, expected: int | None = None
    ) -> "defer.Deferred[None]":
        """Deletes a key; if `expected` is given, only at that version."""

    def watch(
        self, key: str, after: int, timeout: float
    ) -> "defer.Deferred[Versioned | None]":
        """Waits for a version above `after`; returns None on timeout."""

    def grant_lease(self, ttl: float) -> "defer.Deferred[str]":
        """Creates a lease and returns its id."""

    def renew_lease(self, lease: str) -> "defer.Deferred[None]":
        """Renews a lease; fails with `StoreConflictError` if it has expired."""

    def revoke_lease(self, lease: str) -> "defer.Deferred[None]":
        """Revokes a lease, which deletes the keys attached to it."""


class Admission(Protocol):
    """Fleet-wide rate limiter of client accounts."""

    def admit(
        self, account: config_model.ClientAccount
    ) -> "defer.Deferred[None]":
        """Admits one request or fails with `RateExceededError`."""


@attrs.frozen
class Outcome:
    """Stored response to a request with an idempotency key.

    Attributes:
        head: Head of the response.
        body: Body, or None if it was too large to store.
        body_digest: SHA-256 of the body.
    """

    head: model.ResponseHead
    body: bytes | None
    body_digest: bytes


@attrs.frozen
class Ticket:
    """Permission to run a request once, granted by its record's owner."""

    account: str
    key: str
    shard: int
    epoch: int
    serial: int


@attrs.frozen
class Start:
    """The request has not run, and the ticket permits running it once."""

    ticket: Ticket


@attrs.frozen
class Replay:
    """The request has already run and had this outcome."""

    outcome: Outcome


class OutcomeRecords(Protocol):
    """Fleet-wide idempotency records."""

    def begin(
        self, account: str, key: str, digest: bytes, timeout: float
    ) -> "defer.Deferred[Start | Replay]":
        """Requests permission to run a request with an idempotency key.

        If an earlier request with the key is still in flight, this waits for
        its outcome.

        Args:
            account: Client account.
            key: Idempotency key.
            digest: Digest of the request, which must be the same each time.
            timeout: Time limit in seconds.

        Returns:
            A Deferred that fails with `RecordMismatchError`,
            `OutcomeUnknownError` or `RecordOwnerUnavailableError`.
        """

    def finish(self, ticket: Ticket, outcome: Outcome) -> None:
        """Records the outcome."""

    def release(self, ticket: Ticket) -> None:
        """Removes the record of a request that certainly did not run."""

    def abandon(self, ticket: Ticket) -> None:
        """Marks the outcome of the request as unknown."""
