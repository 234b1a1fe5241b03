"""Registry of the targets that are local to this instance."""

from collections.abc import Callable
from typing import Protocol

import attrs

from cicadafront import errors, model
from cicadafront.membership import records

# Targets repeat their announcement every second.
ANNOUNCEMENT_TIMEOUT_SECONDS = 5.0
# A longer gap between two checks means that this process was paused and that
# announcements may still be waiting in the socket buffer.
MAX_CHECK_GAP_SECONDS = 1.0
# Limits the number of records of one instance; the intended number of targets
# is 12.
MAX_TARGETS = 256


class TooManyTargetsError(errors.CicadafrontError):
    """The registry already holds `MAX_TARGETS` targets."""

    code = "targets_exceeded"


@attrs.frozen
class LocalTarget:
    """A local target as described by its last announcement.

    Attributes:
        id: Unique name.
        service: Service that it belongs to.
        address: Host and TCP port on which it listens.
        slots: Number of requests that it processes concurrently.
        load: Load that it reports; only a hint.
        state: Starting, serving or leaving.
    """

    id: str
    service: str
    address: records.Address
    slots: int
    load: float = 0.0
    state: model.TargetState = model.TargetState.SERVING


class TargetAnnouncer(Protocol):
    """The part of `gossip.Gossip` that the registry uses."""

    def announce_target(self, now: float, record: records.TargetRecord) -> None:
        """Publishes a new or changed target to the fleet."""

    def withdraw_target(self, now: float, id: str) -> None:
        """Publishes that a target no longer exists."""


@attrs.define
class _Entry:
    target: LocalTarget
    last_seen: float
    ejected: bool = False
    weight: float = 1.0


class TargetRegistry:
    """Local targets, which announce themselves to this instance over HTTP.

    Args:
        announcer: Publishes the targets to the fleet.
        now: Current time in seconds.
    """

    def __init__(self, announcer: TargetAnnouncer, now: float):
        self._announcer = announcer
        self._entries: dict[str, _Entry] = {}
        self._checked_at = now
        self._watchers: list[Callable[[], None]] = []

    def targets(self) -> list[LocalTarget]:
        """Returns all local targets, with their addresses for the agent."""
        return [entry.target for entry in self._entries.values()]

    def target(self, id: str) -> LocalTarget | None:
        """Returns a local target, or None if it is not registered."""
        entry = self._entries.get(id)
        return entry.target if entry else None

    def on_change(self, handler: Callable[[], None]) -> None:
        """Calls the handler when targets are added, changed or removed."""
        self._watchers.append(handler)

    def announce(self, now: float, target: LocalTarget) -> None:
        """Registers a target or updates its entry.

        Raises:
            TooManyTargetsError: The registry is full.
        """
        entry = self._entries.get(target.id)
        if entry is None:
            if len(self._entries) >= MAX_TARGETS:
                raise TooManyTargetsError(
                    f"{MAX_TARGETS} targets are already registered with this "
                    "instance; announce the target to another instance."
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
        """Removes a target; does nothing if it is unknown."""
        if self._entries.pop(id, None) is not None:
            self._announcer.withdraw_target(now, id)
            self._notify()

    def judge(
        self, now: float, id: str, *, ejected: bool, weight: float = 1.0
    ) -> None:
        """Publishes the health of a target as determined by the agent.

        Args:
            now: Current time in seconds.
            id: Id of the target.
            ejected: Whether the target is ejected.
            weight: Share of the usual load that it should get, from 0 to 1.
        """
        entry = self._entries.get(id)
        if entry is not None:
            entry.ejected, entry.weight = ejected, weight
            self._publish(now, entry)

    def expire(self, now: float) -> None:
        """Removes targets whose announcements have stopped.

        Called several times a second.
        """
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
