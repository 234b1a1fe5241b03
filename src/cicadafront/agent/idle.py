"""Pool of idle connections to targets, for repeatable requests."""

from typing import Any

from cicadafront.agent import connection, observer

# Shorter than the shortest keep-alive timeout common among HTTP servers (5 s).
IDLE_SECONDS = 4.0


class IdleConnections:
    """Idle connections by target, most recently used last."""

    def __init__(self, clock: Any, watcher: observer.Observer):
        self._clock = clock
        self._watcher = watcher
        self._idle: dict[str, list[connection.TargetConnection]] = {}
        self._timers: dict[connection.TargetConnection, Any] = {}

    def take(self, target: str) -> connection.TargetConnection | None:
        """Returns an open connection without unread data, or None."""
        waiting = self._idle.get(target, [])
        while waiting:
            found = waiting[-1]
            self._remove(found)
            unread = found.peek()
            if unread is None:
                return found
            found.abort()
            if unread:
                self.unsolicited_data(found)
        return None

    def put(self, found: connection.TargetConnection, limit: int) -> None:
        """Keeps a connection; closes it if the target has `limit` already."""
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
        """Removes a connection that the target closed while it was idle."""
        self._remove(gone)

    def unsolicited_data(self, gone: connection.TargetConnection) -> None:
        """Removes a connection on which unsolicited data arrived."""
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
