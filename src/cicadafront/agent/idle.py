"""Connections to targets that wait for the next repeatable request."""

from typing import Any

from cicadafront.agent import connection, observer

# Below the shortest keep-alive limit that is common among HTTP servers (5 s).
IDLE_SECONDS = 4.0


class IdleConnections:
    """Idle connections by target, newest last."""

    def __init__(self, clock: Any, watcher: observer.Observer):
        self._clock = clock
        self._watcher = watcher
        self._idle: dict[str, list[connection.TargetConnection]] = {}
        self._timers: dict[connection.TargetConnection, Any] = {}

    def take(self, target: str) -> connection.TargetConnection | None:
        """Returns an open connection without unread bytes, or None."""
        waiting = self._idle.get(target, [])
        while waiting:
            found = waiting[-1]
            self._remove(found)
            unread = found.peek()
            if unread is None:
                return found
            found.abort()
            if unread:
                self.stray(found)
        return None

    def put(self, found: connection.TargetConnection, limit: int) -> None:
        """Keeps a connection; at most `limit` wait for one target."""
        waiting = self._idle.setdefault(found.target, [])
        if len(waiting) >= limit:
            found.abort()
            return
        waiting.append(found)
        timer = self._clock.callLater(IDLE_SECONDS, self._expire, found)
        self._timers[found] = timer

    def close(self) -> None:
        """Closes all idle connections."""
        for found in list(self._timers):
            self._expire(found)

    def lost(self, gone: connection.TargetConnection) -> None:
        """The connection closed between exchanges."""
        self._remove(gone)

    def stray(self, gone: connection.TargetConnection) -> None:
        """The target sent bytes that belong to no request."""
        self._remove(gone)
        self._watcher.mangled(self._clock.seconds(), gone.target)

    def _expire(self, found: connection.TargetConnection) -> None:
        self._remove(found)
        found.abort()

    def _remove(self, found: connection.TargetConnection) -> None:
        timer = self._timers.pop(found, None)
        if timer is not None and timer.active():
            timer.cancel()
        waiting = self._idle.get(found.target, [])
        if found in waiting:
            waiting.remove(found)
        if not waiting:
            self._idle.pop(found.target, None)
