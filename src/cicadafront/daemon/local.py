"""Stand-ins for the parts that serve a fleet, for a daemon on its own."""

import itertools
from collections.abc import Callable, Iterable

import attrs
from twisted.internet import defer

from cicadafront import errors, model, ports
from cicadafront.agent import targets as agent_targets
from cicadafront.config import model as config_model


@attrs.define
class StaticDirectory:
    """Instances and targets that never change; also `LocalTargets`."""

    known_instances: dict[str, ports.InstanceInfo] = attrs.field(factory=dict)
    known_targets: dict[str, model.Target] = attrs.field(factory=dict)
    beside: dict[str, agent_targets.LocalTarget] = attrs.field(factory=dict)

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
        """Does nothing: the directory never changes."""

    def local(self, id: str) -> agent_targets.LocalTarget | None:
        """Returns a target beside this instance, or None."""
        return self.beside.get(id)


class OpenAdmission:
    """Admits every request."""

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
    waiting: "list[defer.Deferred[ports.Start | ports.Replay]]" = attrs.field(
        factory=list
    )


class LocalRecords:
    """Idempotency records of one process, without expiry."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], _Record] = {}
        self._serials = itertools.count(1)

    def begin(
        self, account: str, key: str, digest: bytes, timeout: float
    ) -> "defer.Deferred[ports.Start | ports.Replay]":
        """Asks for the right to run; waits for an outcome still running."""
        found = self._records.get((account, key))
        if found is None:
            self._records[account, key] = _Record(digest)
            serial = next(self._serials)
            ticket = ports.Ticket(account, key, 0, 0, serial)
            return defer.succeed(ports.Start(ticket))
        if found.digest != digest:
            text = "The idempotency key was used for another request."
            return defer.fail(errors.RecordMismatchError(text))
        if found.unknown:
            return defer.fail(_unknown())
        if found.outcome is not None:
            return defer.succeed(ports.Replay(found.outcome))
        result: defer.Deferred[ports.Start | ports.Replay] = defer.Deferred()
        found.waiting.append(result)
        return result

    def finish(self, ticket: ports.Ticket, outcome: ports.Outcome) -> None:
        """Records the outcome."""
        found = self._records[ticket.account, ticket.key]
        found.outcome = outcome
        for waiting in found.waiting:
            waiting.callback(ports.Replay(outcome))

    def release(self, ticket: ports.Ticket) -> None:
        """Removes the record: the request certainly did not run."""
        found = self._records.pop((ticket.account, ticket.key))
        for waiting in found.waiting:
            text = "The earlier request did not run; send this one again."
            waiting.errback(
                errors.OutcomeUnknownError(text, code="record_released")
            )

    def abandon(self, ticket: ports.Ticket) -> None:
        """Marks the outcome as unknown."""
        found = self._records[ticket.account, ticket.key]
        found.unknown = True
        for waiting in found.waiting:
            waiting.errback(_unknown())


def _unknown() -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        "An earlier request with this key may have run; check its result.",
        executed=errors.Executed.UNKNOWN,
    )
