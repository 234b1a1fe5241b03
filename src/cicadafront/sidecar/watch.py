"""Logs instances that join, leave or fail."""

from collections.abc import Callable
from typing import Protocol

from cicadafront import ports
from cicadafront.telemetry import logs

_log = logs.Log("membership")


class Directory(Protocol):
    """The part of the directory that is followed."""

    def instance(self, id: str) -> ports.InstanceInfo | None:
        """Returns an instance, or None if it is unknown."""

    def take_changed_instances(self) -> set[str]:
        """Returns the ids of the instances that changed since the last call."""

    def on_change(self, handler: Callable[[], None]) -> None:
        """Calls the handler after each change."""


class FleetWatch:
    """Logs state changes of the other instances, as seen by this one."""

    def __init__(self, directory: Directory):
        self._directory = directory
        self._states: dict[str, str] = {}
        directory.on_change(self._changed)

    def _changed(self) -> None:
        # Looking at all instances would cost the square of the fleet's size at
        # a start, where each change brings few of them.
        for id in sorted(self._directory.take_changed_instances()):
            info = self._directory.instance(id)
            if info is None:
                continue
            state = "lost"
            if info.alive:
                state = "leaving" if info.leaving else "alive"
            before = self._states.get(info.id)
            if before == state:
                continue
            self._states[info.id] = state
            if before is not None or state != "alive":
                _log.info(
                    f"an instance is {state}.",
                    # The field `instance` is the one that logs the line.
                    other=info.id,
                    before=before or "unknown",
                    incarnation=info.incarnation,
                )
