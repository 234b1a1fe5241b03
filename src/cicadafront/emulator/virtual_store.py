"""Emulated store on the virtual clock of `emulator.virtual`."""

import math
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.emulator.virtual import STORE, Process, World
from cicadafront.platform import era as eras

WRITES = ("put", "delete", "grant", "renew", "revoke")
# Time after which TCP retransmits the first packet (SYN) of a connection.
CONNECT_RETRY_SECONDS = 1.0


@attrs.define
class _Item:
    value: bytes
    version: int
    lease: str


@attrs.frozen
class Copy:
    """A copy of the data of a store.

    Attributes:
        items: Items by key.
        leases: End and time to live of each lease in seconds.
        last_lease: Number of the last lease.
    """

    items: dict[str, _Item]
    leases: dict[str, tuple[float, float]]
    last_lease: int


class StoreServer:
    """Server side of the emulated store.

    Attributes:
        up: Whether it responds.
        calls: Number of calls that took effect.
        era: Number of times that it has reverted to a copy.
        no_renewal: Leases whose renewals are refused.
        write_seconds: Minimum and maximum duration of a write, in addition
            to the time in the queue; these durations overlap.
        writes_per_second: Rate at which the queue of writes is served, one
            after the other.
        max_queued_writes: Length of the queue of writes, like the listen
            queue of a server; a further one is retried after
            `CONNECT_RETRY_SECONDS`.
    """

    def __init__(self, world: World):
        self.up = True
        self.calls = 0
        self.era = 0
        self.items: dict[str, _Item] = {}
        self.leases: dict[str, tuple[float, float]] = {}
        self.no_renewal: set[str] = set()
        self.write_seconds = (0.0, 0.0)
        self.writes_per_second = math.inf
        self.max_queued_writes = math.inf
        self._free_at = 0.0
        self._world = world
        self._last_lease = 0

    def copy(self) -> "Copy":
        """Returns a copy of the data for `revert`."""
        items = {key: attrs.evolve(item) for key, item in self.items.items()}
        return Copy(items, dict(self.leases), self._last_lease)

    def revert(self, copy: "Copy") -> None:
        """Restores a copy; what was written since is lost.

        Versions and lease ids since then are given out again.
        """
        self.items = {
            key: attrs.evolve(item) for key, item in copy.items.items()
        }
        self.leases = dict(copy.leases)
        self._last_lease = copy.last_lease
        self.era += 1

    def delay(self, kind: str) -> float:
        """Returns the seconds until a call that arrives now takes effect.

        Args:
            kind: Kind of the call; only `WRITES` are delayed.
        """
        if kind not in WRITES:
            return 0.0
        now = self._world.clock.seconds()
        self._free_at = max(now, self._free_at)
        if (
            self._free_at - now
        ) * self.writes_per_second > self.max_queued_writes:
            return CONNECT_RETRY_SECONDS
        self._free_at += 1 / self.writes_per_second
        shortest, longest = self.write_seconds
        own_seconds = (
            self._world.rng.uniform(shortest, longest) if longest else 0.0
        )
        return self._free_at - now + own_seconds

    def expire(self) -> None:
        """Deletes expired leases and their keys."""
        now = self._world.clock.seconds()
        for lease, (ends, _) in list(self.leases.items()):
            if ends <= now:
                self.end_lease(lease)

    def end_lease(self, lease: str) -> None:
        """Deletes a lease and its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item.lease == lease:
                del self.items[key]

    def get(self, key: str) -> ports.Versioned | None:
        """Reads a key."""
        item = self.items.get(key)
        if item is None:
            return None
        return ports.Versioned(item.value, item.version, item.lease)

    def list(self, prefix: str) -> dict[str, ports.Versioned]:
        """Reads all keys with a prefix."""
        return {
            key: ports.Versioned(item.value, item.version, item.lease)
            for key, item in self.items.items()
            if key.startswith(prefix)
        }

    def put(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> int:
        """Writes a key."""
        present = self.items.get(key)
        version = present.version if present else 0
        if expected is not None and expected != version:
            raise errors.StoreConflictError(f"{key} has version {version}")
        if lease and lease not in self.leases:
            raise errors.StoreConflictError(f"lease {lease} has expired")
        self.items[key] = _Item(value, version + 1, lease)
        return version + 1

    def delete(self, key: str) -> None:
        """Deletes a key."""
        self.items.pop(key, None)

    def grant_lease(self, ttl: float) -> str:
        """Creates a lease."""
        self._last_lease += 1
        lease = f"l{self._last_lease}"
        self.leases[lease] = (self._world.clock.seconds() + ttl, ttl)
        return lease

    def renew_lease(self, lease: str) -> None:
        """Renews a lease."""
        if lease not in self.leases or lease in self.no_renewal:
            raise errors.StoreConflictError(f"lease {lease} has expired")
        ttl = self.leases[lease][1]
        self.leases[lease] = (self._world.clock.seconds() + ttl, ttl)


class StoreClient:
    """`ports.Store` of one process; a call may never get a response.

    It handles a store that reverts to a copy like `platform.store.Store`.
    """

    def __init__(self, process: Process, server: StoreServer):
        self._process = process
        self._server = server
        self._era = eras.Era()
        self._era_handlers: list[Callable[[], None]] = []

    @property
    def era(self) -> int:
        """Era of the store; 0 until it is known."""
        return self._era.current

    def on_new_era(self, handler: Callable[[], None]) -> None:
        """Calls the handler when the store has reverted to a copy."""
        self._era_handlers.append(handler)

    def _check_response(self, era: int, rises: int, kind: str) -> None:
        """Handles the era of a response.

        Args:
            era: Era of the store when it answered.
            rises: Number of rises that were known when the call was sent.
            kind: Kind of the call.

        Raises:
            StoreConflictError: The era rose during a write.
            StoreUnavailableError: The response is of an older era.
        """
        if self._era.observe(era, True):
            for handler in self._era_handlers:
                handler()
        if kind in WRITES and self._era.rises != rises:
            raise errors.StoreConflictError("the store reverted to a copy")
        if self._era.is_outdated(era):
            raise errors.StoreUnavailableError("the response is outdated")

    def _checked(
        self,
        call: Callable[[], "defer.Deferred[Any]"],
        check: Callable[[], None],
    ) -> "defer.Deferred[Any]":
        """Makes a call unless it depends on an older era."""
        try:
            check()
        except errors.StoreConflictError:
            return defer.fail()
        return call()

    def _call(self, operation: Callable[[], Any], kind: str):
        process, server = self._process, self._server
        world, name = process.world, process.info.id
        result: defer.Deferred[Any] = defer.Deferred(lambda _: None)
        rises = self._era.rises

        def reply(method: Callable[[Any], None], value: Any, era: int) -> None:
            if result.called:
                return
            try:
                self._check_response(era, rises, kind)
            except errors.CicadafrontError as error:
                method, value = result.errback, error
            method(value)

        def arrive() -> None:
            if not server.up:
                return
            delay = server.delay(kind)
            if delay:
                world.clock.callLater(delay, take_effect)
            else:
                take_effect()

        def take_effect() -> None:
            server.expire()
            server.calls += 1
            method: Callable[[Any], None] = result.callback
            try:
                value = operation()
            except errors.StoreConflictError as error:
                method, value = result.errback, error
            era = server.era
            world.send(
                STORE,
                name,
                "answer",
                lambda: process.run(lambda: reply(method, value, era)),
            )

        world.send(name, STORE, kind, arrive)
        return result

    def get(self, key: str):
        """Reads one key."""
        found = self._call(lambda: self._server.get(key), "get")
        return found.addCallback(self._record, key)

    def _record(self, found: ports.Versioned | None, key: str):
        self._era.read(key, found.version if found else 0)
        return found

    def list(self, prefix: str):
        """Reads all keys with a prefix."""

        def record(found):
            self._era.listed(prefix, found)
            return found

        listed = self._call(lambda: self._server.list(prefix), "list")
        return listed.addCallback(record)

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: str = "",
    ):
        """Writes a key."""

        def record(version):
            self._era.read(key, version)
            return version

        return self._checked(
            lambda: self._call(
                lambda: self._server.put(key, value, expected, lease), "put"
            ).addCallback(record),
            lambda: self._era.check_write(key, expected, lease),
        )

    def delete(self, key: str, expected: int | None = None):
        """Deletes a key."""
        return self._checked(
            lambda: self._call(lambda: self._server.delete(key), "delete"),
            lambda: self._era.check_write(key, expected),
        )

    def watch(self, key: str, after: int, timeout: float):
        """Not implemented.

        Raises:
            NotImplementedError: Always.
        """
        raise NotImplementedError

    def grant_lease(self, ttl: float):
        """Creates a lease."""

        def record(lease):
            self._era.granted(lease)
            return lease

        granted = self._call(lambda: self._server.grant_lease(ttl), "grant")
        return granted.addCallback(record)

    def renew_lease(self, lease: str):
        """Renews a lease."""
        return self._checked(
            lambda: self._call(
                lambda: self._server.renew_lease(lease), "renew"
            ),
            lambda: self._era.check_lease(lease),
        )

    def revoke_lease(self, lease: str):
        """Ends a lease."""
        return self._call(lambda: self._server.end_lease(lease), "revoke")
