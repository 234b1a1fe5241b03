"""Emulated store on the virtual clock of `emulator.virtual`."""

import itertools
import math
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.emulator.virtual import STORE, Process, World

WRITES = ("put", "delete", "grant", "renew", "revoke")
# Time after which TCP retransmits the first packet (SYN) of a connection.
CONNECT_RETRY_SECONDS = 1.0


@attrs.define
class _Item:
    value: bytes
    version: int
    lease: str


class StoreServer:
    """Server side of the emulated store.

    Attributes:
        up: Whether it responds.
        calls: Number of calls that took effect.
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
        self.items: dict[str, _Item] = {}
        self.leases: dict[str, tuple[float, float]] = {}
        self.no_renewal: set[str] = set()
        self.write_seconds = (0.0, 0.0)
        self.writes_per_second = math.inf
        self.max_queued_writes = math.inf
        self._free_at = 0.0
        self._world = world
        self._ids = itertools.count(1)

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
        lease = f"l{next(self._ids)}"
        self.leases[lease] = (self._world.clock.seconds() + ttl, ttl)
        return lease

    def renew_lease(self, lease: str) -> None:
        """Renews a lease."""
        if lease not in self.leases or lease in self.no_renewal:
            raise errors.StoreConflictError(f"lease {lease} has expired")
        ttl = self.leases[lease][1]
        self.leases[lease] = (self._world.clock.seconds() + ttl, ttl)


class StoreClient:
    """`ports.Store` of one process; a call may never get a response."""

    def __init__(self, process: Process, server: StoreServer):
        self._process = process
        self._server = server

    def _call(self, operation: Callable[[], Any], kind: str):
        process, server = self._process, self._server
        world, name = process.world, process.info.id
        result: defer.Deferred[Any] = defer.Deferred(lambda _: None)

        def reply(method: Callable[[Any], None], value: Any) -> None:
            if not result.called:
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
            world.send(
                STORE,
                name,
                "answer",
                lambda: process.run(lambda: reply(method, value)),
            )

        world.send(name, STORE, kind, arrive)
        return result

    def get(self, key: str):
        """Reads one key."""
        return self._call(lambda: self._server.get(key), "get")

    def list(self, prefix: str):
        """Reads all keys with a prefix."""
        return self._call(lambda: self._server.list(prefix), "list")

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: str = "",
    ):
        """Writes a key."""
        return self._call(
            lambda: self._server.put(key, value, expected, lease), "put"
        )

    def delete(self, key: str, expected: int | None = None):
        """Deletes a key."""
        return self._call(lambda: self._server.delete(key), "delete")

    def watch(self, key: str, after: int, timeout: float):
        """Not implemented.

        Raises:
            NotImplementedError: Always.
        """
        raise NotImplementedError

    def grant_lease(self, ttl: float):
        """Creates a lease."""
        return self._call(lambda: self._server.grant_lease(ttl), "grant")

    def renew_lease(self, lease: str):
        """Renews a lease."""
        return self._call(lambda: self._server.renew_lease(lease), "renew")

    def revoke_lease(self, lease: str):
        """Ends a lease."""
        return self._call(lambda: self._server.end_lease(lease), "revoke")
