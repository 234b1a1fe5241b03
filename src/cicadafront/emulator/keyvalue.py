"""In-memory emulation of the platform's key-value store with leases."""

from typing import Any

import attrs
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.store import client


class RevisionGoneError(errors.StoreUnavailableError):
    """A watch starts from a revision that the store does not have."""


@attrs.define
class _Lease:
    ttl: float
    expires_at: float
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen(eq=False)
class _Watch:
    key: str
    after: int
    result: defer.Deferred[ports.Versioned | None]


class KeyValues:
    """Values, leases and watches of the emulated store.

    The versions of all keys come from one counter, so that a version never
    repeats unless the store reverts to a copy. Leases expire by the clock, also
    during an outage of the store.

    Attributes:
        era: Number of times that the store has reverted to a copy.

    Args:
        clock: Twisted reactor or `task.Clock`.
    """

    def __init__(self, clock: Any):
        self._clock = clock
        self._values: dict[str, ports.Versioned] = {}
        self._leases: dict[str, _Lease] = {}
        self._watches: list[_Watch] = []
        self._counter = 0
        self.era = 0

    def copy(self) -> "KeyValues":
        """Returns a copy of the data for `revert`."""
        made = KeyValues(self._clock)
        made._take(self)
        return made

    def revert(self, copy: "KeyValues") -> None:
        """Restores a copy; what was written since is lost.

        Versions and lease ids since then are given out again. Pending watches
        fail.
        """
        self.break_watches()
        self._take(copy)
        self.era += 1

    def _take(self, other: "KeyValues") -> None:
        self._values = dict(other._values)
        self._leases = {
            id: attrs.evolve(lease, keys=set(lease.keys))
            for id, lease in other._leases.items()
        }
        self._counter = other._counter

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
        """Writes a value and returns its version.

        Raises:
            StoreConflictError: The version is not `expected`, or the lease
                has expired.
            StoreRefusedError: The key or the value is too large.
        """
        self._check_version(key, expected)
        client.check_size(key, value)
        if lease:
            self._lease(lease)
        self._detach_from_lease(key)
        if lease:
            self._leases[lease].keys.add(key)
        self._counter += 1
        written = ports.Versioned(value, self._counter, lease)
        self._values[key] = written
        self._notify_watches(key, written)
        return self._counter

    def delete(self, key: str, expected: int | None) -> None:
        """Deletes a value.

        Raises:
            StoreConflictError: The version is not `expected`.
        """
        self._check_version(key, expected)
        self._detach_from_lease(key)
        self._values.pop(key, None)

    def watch(
        self, key: str, after: int, timeout: float
    ) -> defer.Deferred[ports.Versioned | None]:
        """Waits for a version above `after`.

        A deletion of the key does not end the watch.

        Returns:
            The new value, or None after `timeout` seconds.

        Raises:
            RevisionGoneError: `after` is above the version of any write.
        """
        if after > self._counter:
            raise RevisionGoneError(
                f"version {after} does not exist; read {key} again"
            )
        current = self.get(key)
        if current is not None and current.version > after:
            return defer.succeed(current)
        result: defer.Deferred[ports.Versioned | None] = defer.Deferred()
        watch = _Watch(key, after, result)
        self._watches.append(watch)
        timer = self._clock.callLater(
            timeout, self._complete_watch, watch, None
        )

        def done(value: Any) -> Any:
            if timer.active():
                timer.cancel()
            if watch in self._watches:
                self._watches.remove(watch)
            return value

        return result.addBoth(done)

    def break_watches(self) -> None:
        """Fails all pending watches, as the start of a store outage does."""
        for watch in list(self._watches):
            self._watches.remove(watch)
            watch.result.errback(
                errors.StoreUnavailableError(
                    "the emulated store became unavailable; retry later"
                )
            )

    def grant_lease(self, ttl: float) -> str:
        """Creates a lease of `ttl` seconds."""
        self._counter += 1
        lease = f"lease-{self._counter}"
        self._leases[lease] = _Lease(ttl, self._clock.seconds() + ttl)
        return lease

    def renew_lease(self, lease: str) -> None:
        """Extends a lease by its full duration from now.

        Raises:
            StoreConflictError: The lease has expired.
        """
        record = self._lease(lease)
        record.expires_at = self._clock.seconds() + record.ttl

    def revoke_lease(self, lease: str) -> None:
        """Revokes a lease and deletes its keys.

        Raises:
            StoreConflictError: The lease has expired.
        """
        self._lease(lease)
        self._delete_lease(lease)

    def _lease(self, lease: str) -> _Lease:
        self._expire()
        if lease not in self._leases:
            raise errors.StoreConflictError(
                f"lease {lease} has expired; request a new one"
            )
        return self._leases[lease]

    def _check_version(self, key: str, expected: int | None) -> None:
        self._expire()
        current = self._values.get(key)
        version = current.version if current else 0
        if expected is not None and expected != version:
            raise errors.StoreConflictError(
                f"{key} has version {version}, not {expected}; read it again"
            )

    def _detach_from_lease(self, key: str) -> None:
        current = self._values.get(key)
        if current is not None and current.lease in self._leases:
            self._leases[current.lease].keys.discard(key)

    def _delete_lease(self, lease: str) -> None:
        for key in self._leases.pop(lease).keys:
            self._values.pop(key, None)

    def _expire(self) -> None:
        now = self._clock.seconds()
        for lease in [
            n for n, record in self._leases.items() if record.expires_at <= now
        ]:
            self._delete_lease(lease)

    def _notify_watches(self, key: str, value: ports.Versioned) -> None:
        for watch in list(self._watches):
            if watch.key == key and value.version > watch.after:
                self._complete_watch(watch, value)

    def _complete_watch(
        self, watch: _Watch, value: ports.Versioned | None
    ) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            watch.result.callback(value)
