"""In-process implementations of fleet components for a single daemon."""

import itertools
from collections.abc import Callable, Iterable

import attrs
from twisted.internet import defer

from cicadafront import errors, model, ports
from cicadafront.agent import targets as agent_targets
from cicadafront.config import model as config_model


@attrs.define
class StaticDirectory:
    """A fixed `Directory` that is also a `LocalTargets`."""

    known_instances: dict[str, ports.InstanceInfo] = attrs.field(factory=dict)
    known_targets: dict[str, model.Target] = attrs.field(factory=dict)
    local_targets: dict[str, agent_targets.LocalTarget] = attrs.field(
        factory=dict
    )

    def instance(self, id: str) -> ports.InstanceInfo | None:
        """Returns one instance, or None if it is unknown."""
        return self.known_instances.get(id)

    def instances(self) -> Iterable[ports.InstanceInfo]:
        """Returns all instances."""
        return self.known_instances.values()

    def targets(self, service: str) -> list[model.Target]:
        """Returns the targets of a service."""
        known = self.known_targets.values()
        return [target for target in known if target.service == service]

    def on_change(self, handler: Callable[[], None]) -> None:
        """Does nothing, since the directory never reports a change."""

    def local(self, id: str) -> agent_targets.LocalTarget | None:
        """Returns a target, or None if it is not local to this instance."""
        return self.local_targets.get(id)


class UnlimitedAdmission:
    """Admits every request, without a rate limit."""

    def admit(
        self, account: config_model.ClientAccount
    ) -> "defer.Deferred[None]":
        """Admits the request."""
        return defer.succeed(None)


@attrs.define
class _Record:
    digest: bytes
    outcome: ports.Outcome | None = None
    unknown: bool = False
    waiters: "list[defer.Deferred[ports.Start | ports.Replay]]" = attrs.field(
        factory=list
    )


class LocalRecords:
    """Idempotency records in memory, without expiry."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], _Record] = {}
        self._serials = itertools.count(1)

    def begin(
        self, account: str, key: str, digest: bytes, timeout: float
    ) -> "defer.Deferred[ports.Start | ports.Replay]":
        """Begins an idempotent request; waits for one that is in progress."""
        record = self._records.get((account, key))
        if record is None:
            self._records[account, key] = _Record(digest)
            serial = next(self._serials)
            ticket = ports.Ticket(account, key, 0, 0, serial)
            return defer.succeed(ports.Start(ticket))
        if record.digest != digest:
            text = "The idempotency key was used for a different request."
            return defer.fail(errors.RecordMismatchError(text))
        if record.unknown:
            return defer.fail(_unknown())
        if record.outcome is not None:
            return defer.succeed(ports.Replay(record.outcome))
        result: defer.Deferred[ports.Start | ports.Replay] = defer.Deferred()
        record.waiters.append(result)
        return result

    def finish(self, ticket: ports.Ticket, outcome: ports.Outcome) -> None:
        """Records the outcome."""
        record = self._records[ticket.account, ticket.key]
        record.outcome = outcome
        for waiter in record.waiters:
            waiter.callback(ports.Replay(outcome))

    def release(self, ticket: ports.Ticket) -> None:
        """Removes the record of a request that did not run."""
        record = self._records.pop((ticket.account, ticket.key))
        for waiter in record.waiters:
            text = "The first request with this key did not run; retry."
            waiter.errback(
                errors.OutcomeUnknownError(text, code="record_released")
            )

    def abandon(self, ticket: ports.Ticket) -> None:
        """Records that the outcome is unknown."""
        record = self._records[ticket.account, ticket.key]
        record.unknown = True
        for waiter in record.waiters:
            waiter.errback(_unknown())


def _unknown() -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        "The first request with this key may have run; check its result.",
        executed=errors.Executed.UNKNOWN,
    )
