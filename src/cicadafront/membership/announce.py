"""Registry of the targets beside this instance."""

from collections.abc import Callable
from typing import Protocol

import attrs

from cicadafront import errors, model
from cicadafront.membership import records

# Targets announce themselves every second.
ANNOUNCEMENT_TIMEOUT_SECONDS = 5.0
# A longer time between two checks means that this process was paused, while
# announcements were waiting in the socket buffer.
MAX_CHECK_GAP_SECONDS = 1.0
# Bounds the records of one instance; the target size is 12.
MAX_TARGETS = 256


class TooManyTargetsError(errors.CicadafrontError):
    """More targets were announced than one instance serves."""

    code = "targets_exceeded"


@attrs.frozen
class LocalTarget:
    """A target as it announced itself.

    Attributes:
        id: Unique name.
        service: Service that it belongs to.
        address: Host and TCP port on which it listens.
        slots: Number of requests that it runs at the same time.
        load: Load that it reports; a hint only.
        state: Starting, serving or leaving.
    """

    id: str
    service: str
    address: records.Address
    slots: int
    load: float = 0.0
    state: model.TargetState = model.TargetState.SERVING


class TargetAnnouncer(Protocol):
    """Part of `gossip.Gossip` that the registry uses."""

    def announce_target(self, now: float, record: records.TargetRecord) -> None:
        """Announces or changes a target."""

    def withdraw_target(self, now: float, id: str) -> None:
        """Announces that a target is gone."""


@attrs.define
class _Entry:
    target: LocalTarget
    last_seen: float
    ejected: bool = False
    weight: float = 1.0


class TargetRegistry:
    """Targets that announce themselves by HTTP to this instance."""

    def __init__(self, announcer: TargetAnnouncer, now: float):
        self._announcer = announcer
        self._entries: dict[str, _Entry] = {}
        self._checked_at = now
        self._watchers: list[Callable[[], None]] = []

    def targets(self) -> list[LocalTarget]:
        """Returns all local targets, with the address for the agent."""
        return [entry.target for entry in self._entries.values()]

    def target(self, id: str) -> LocalTarget | None:
        """Returns one local target, or None if it is gone."""
        entry = self._entries.get(id)
        return entry.target if entry else None

    def on_change(self, handler: Callable[[], None]) -> None:
        """Calls the handler when targets come, change or go."""
        self._watchers.append(handler)

    def announce(self, now: float, target: LocalTarget) -> None:
        """Takes an announcement.

        Raises:
            TooManyTargetsError: The registry is full.
        """
        entry = self._entries.get(target.id)
        if entry is None:
            if len(self._entries) >= MAX_TARGETS:
                raise TooManyTargetsError(
                    f"{MAX_TARGETS} targets are announced here already; "
                    "announce this one to another instance."
                )
            entry = self._entries[target.id] = _Entry(target, now)
            changed = True
        else:
            changed = entry.target != target
            entry.target, entry.last_seen = target, now
        self._publish(now, entry)
        if changed:
            self._notify()

    def remove(self, now: float, id: str) -> None:
        """Forgets a target; an unknown one is no error."""
        if self._entries.pop(id, None) is not None:
            self._announcer.withdraw_target(now, id)
            self._notify()

    def judge(
        self, now: float, id: str, *, ejected: bool, weight: float = 1.0
    ) -> None:
        """Publishes the agent's judgement of a target."""
        entry = self._entries.get(id)
        if entry is not None:
            entry.ejected, entry.weight = ejected, weight
            self._publish(now, entry)

    def expire(self, now: float) -> None:
        """Forgets silent targets; called several times a second."""
        gap, self._checked_at = now - self._checked_at, now
        if gap > MAX_CHECK_GAP_SECONDS:
            for entry in self._entries.values():
                entry.last_seen += gap
        expired = [
            id
            for id, entry in self._entries.items()
            if now - entry.last_seen > ANNOUNCEMENT_TIMEOUT_SECONDS
        ]
        for id in expired:
            self.remove(now, id)

    def _publish(self, now: float, entry: _Entry) -> None:
        target = entry.target
        state = target.state
        if entry.ejected and state is model.TargetState.SERVING:
            state = model.TargetState.EJECTED
        record = records.TargetRecord(
            target.id,
            target.service,
            target.address,
            target.slots,
            state=state,
            weight=entry.weight,
        )
        self._announcer.announce_target(now, record)

    def _notify(self) -> None:
        for handler in list(self._watchers):
            handler()
