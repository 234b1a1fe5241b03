"""Stand-in for the platform's key-value store: values, leases, watches."""

from typing import Any

import attrs
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.store import client


@attrs.define
class _Lease:
    ttl: float
    ends: float
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen(eq=False)
class _Watch:
    key: str
    after: int
    result: defer.Deferred[ports.Versioned | None]


class KeyValues:
    """Values with versions from one counter, so that they never repeat.

    Leases lapse by the clock also while the store is away.

    Args:
        clock: Twisted reactor or `task.Clock`.
    """

    def __init__(self, clock: Any):
        self._clock = clock
        self._values: dict[str, ports.Versioned] = {}
        self._leases: dict[str, _Lease] = {}
        self._watches: list[_Watch] = []
        self._counter = 0

    def get(self, key: str) -> ports.Versioned | None:
        """Returns one value."""
        self._expire()
        return self._values.get(key)

    def list(self, prefix: str) -> dict[str, ports.Versioned]:
        """Returns all values whose key starts with the prefix."""
        self._expire()
        return {
            key: value
            for key, value in sorted(self._values.items())
            if key.startswith(prefix)
        }

    def put(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> int:
        """Writes a value and returns its version."""
        self._check(key, expected)
        client.check_size(key, value)
        if lease:
            self._lease(lease)
        self._detach(key)
        if lease:
            self._leases[lease].keys.add(key)
        self._counter += 1
        written = ports.Versioned(value, self._counter, lease)
        self._values[key] = written
        self._wake(key, written)
        return self._counter

    def delete(self, key: str, expected: int | None) -> None:
        """Deletes a value."""
        self._check(key, expected)
        self._detach(key)
        self._values.pop(key, None)

    def watch(
        self, key: str, after: int, timeout: float
    ) -> defer.Deferred[ports.Versioned | None]:
        """Waits for a version above `after`; a deletion does not end it."""
        current = self.get(key)
        if current is not None and current.version > after:
            return defer.succeed(current)
        result: defer.Deferred[ports.Versioned | None] = defer.Deferred()
        watch = _Watch(key, after, result)
        self._watches.append(watch)
        timer = self._clock.callLater(timeout, self._end, watch, None)

        def done(value: Any) -> Any:
            if timer.active():
                timer.cancel()
            if watch in self._watches:
                self._watches.remove(watch)
            return value

        return result.addBoth(done)

    def break_watches(self) -> None:
        """Fails all waiting watches, as a store that goes away does."""
        for watch in list(self._watches):
            self._watches.remove(watch)
            watch.result.errback(
                errors.StoreUnavailableError("the store went away; retry later")
            )

    def grant_lease(self, ttl: float) -> str:
        """Creates a lease of `ttl` seconds."""
        self._counter += 1
        lease = f"lease-{self._counter}"
        self._leases[lease] = _Lease(ttl, self._clock.seconds() + ttl)
        return lease

    def renew_lease(self, lease: str) -> None:
        """Starts the lease's time again."""
        held = self._lease(lease)
        held.ends = self._clock.seconds() + held.ttl

    def revoke_lease(self, lease: str) -> None:
        """Ends the lease and deletes its keys."""
        self._lease(lease)
        self._drop(lease)

    def _lease(self, lease: str) -> _Lease:
        self._expire()
        if lease not in self._leases:
            raise errors.StoreConflictError(
                f"lease {lease} has lapsed; request a new one"
            )
        return self._leases[lease]

    def _check(self, key: str, expected: int | None) -> None:
        self._expire()
        current = self._values.get(key)
        version = current.version if current else 0
        if expected is not None and expected != version:
            raise errors.StoreConflictError(
                f"{key} has version {version}, not {expected}; read it again"
            )

    def _detach(self, key: str) -> None:
        current = self._values.get(key)
        if current is not None and current.lease in self._leases:
            self._leases[current.lease].keys.discard(key)

    def _drop(self, lease: str) -> None:
        for key in self._leases.pop(lease).keys:
            self._values.pop(key, None)

    def _expire(self) -> None:
        now = self._clock.seconds()
        for lease in [
            n for n, held in self._leases.items() if held.ends <= now
        ]:
            self._drop(lease)

    def _wake(self, key: str, value: ports.Versioned) -> None:
        for watch in list(self._watches):
            if watch.key == key and value.version > watch.after:
                self._end(watch, value)

    def _end(self, watch: _Watch, value: ports.Versioned | None) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            watch.result.callback(value)
