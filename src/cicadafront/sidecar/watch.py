"""Logs instances that join, leave or fail."""

from cicadafront import ports
from cicadafront.telemetry import logs

_log = logs.Log("membership")


class FleetWatch:
    """Logs state changes of the other instances, as seen by this one."""

    def __init__(self, directory: ports.Directory):
        self._directory = directory
        self._states: dict[str, str] = {}
        directory.on_change(self._changed)

    def _changed(self) -> None:
        for info in self._directory.instances():
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
