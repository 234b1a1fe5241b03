"""Reloads the settings file when it changes or on SIGHUP."""

import pathlib
import signal
from collections.abc import Callable
from typing import Any

import attrs

from cicadafront import errors, loops
from cicadafront.sidecar import settings
from cicadafront.telemetry import logs

# Period of the checks for changes that come without a signal.
CHECK_SECONDS = 1.0

_log = logs.Log("settings")


class SettingsFile:
    """Reloads settings when their file changes.

    Args:
        path: Settings file.
        reactor: Runs the reload after a signal in its event loop.
        running: Loops of the process.
        current: Settings in force.
        on_change: Called with the changed settings.
    """

    def __init__(
        self,
        path: pathlib.Path,
        reactor: Any,
        running: loops.Loops,
        current: settings.SidecarSettings,
        on_change: Callable[[settings.SidecarSettings], None],
    ):
        self._path = path
        self._reactor = reactor
        self._running = running
        self._current = current
        self._on_change = on_change
        self._content = path.read_bytes()
        self._stamp = self._read_stamp()

    def start(self) -> None:
        """Installs the SIGHUP handler and starts the periodic check."""
        # Twisted installs no handler for SIGHUP, and without one the signal
        # terminates the process.
        signal.signal(signal.SIGHUP, self._on_sighup)
        self._running.add(
            "settings file", self.check, loops.periodic(CHECK_SECONDS)
        ).start()

    def _on_sighup(self, _number: int, _frame: Any) -> None:
        self._reactor.callFromThread(self.read)

    def check(self) -> None:
        """Reloads the file if its modification time or size has changed."""
        stamp = self._read_stamp()
        if stamp != self._stamp:
            self._stamp = stamp
            self.read()

    def read(self) -> None:
        """Reloads the file and passes on the settings if they have changed."""
        try:
            content = self._path.read_bytes()
            if content == self._content:
                return
            new = settings.read(str(self._path), content)
        except (OSError, errors.CicadafrontError) as error:
            _log.error(
                "changed settings are invalid; keeping the current ones.",
                reason=str(error),
            )
            return
        self._content = content
        changed = [
            field.name
            for field in attrs.fields(settings.SidecarSettings)
            if getattr(new, field.name) != getattr(self._current, field.name)
        ]
        self._current = new
        _log.info("reloaded the settings.", changed=changed)
        self._on_change(new)

    def _read_stamp(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError as error:
            _log.warning("cannot access the settings file.", reason=str(error))
            return 0, 0
        return found.st_mtime_ns, found.st_size
