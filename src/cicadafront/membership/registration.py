"""Registers an instance in the store, so that newcomers find the fleet.

The store only gives a newcomer its first addresses; who is alive is found out
by gossip. The entry hangs on a lease, so that those of gone instances end. It
also names the target beside the instance: a process that is started again
need not wait for the target's next heartbeat.
"""

import json
from collections.abc import Callable
from typing import Any

from cicadafront import errors, fields, loops, ports
from cicadafront.telemetry import logs

PREFIX = "cicadafront/instances/"
# Outlasts the usual outages of the store, so that an outage costs no writes.
LEASE_SECONDS = 60.0
RENEW_SECONDS = LEASE_SECONDS / 3
# A list and two writes of up to 1 s each, of a store that is slow but answers.
RUN_SECONDS = 10.0
LAST_RETRY_SECONDS = 3.0
PACE = loops.Timing(
    interval=RENEW_SECONDS,
    timeout=RUN_SECONDS,
    initial_backoff=0.3,
    max_backoff=LAST_RETRY_SECONDS,
)
# Period at which an instance that knows no other one reads the list again.
ALONE_SECONDS = 1.0
ALONE_MOST_SECONDS = 10.0
SEARCH_PACE = loops.Timing(
    interval=ALONE_SECONDS,
    timeout=RUN_SECONDS,
    first=ALONE_SECONDS,
    max_backoff=ALONE_MOST_SECONDS,
)
# Changes of the target in this time are written at once.
SETTLE_SECONDS = 0.1

Address = tuple[str, int]
Kept = dict[str, Any]

_log = logs.Log("membership")


class Registration:
    """Keeps the entry of this instance and reads those of the others.

    Args:
        instance: Id of this instance.
        address: Gossip address of this instance.
        running: Loops of the process.
        store: Store.
        found: Takes the gossip addresses of other instances.
        alone: Whether this instance knows no other one.
        target: Returns what to keep of the target beside this instance.
        remembered: Takes what was kept of it before this process started.
    """

    def __init__(
        self,
        instance: str,
        address: Address,
        *,
        running: loops.Loops,
        store: ports.Store,
        found: Callable[[list[Address]], None],
        alone: Callable[[], bool],
        target: Callable[[], Kept] = dict,
        remembered: Callable[[Kept], None] = lambda kept: None,
    ):
        self._key = PREFIX + instance
        self._address = address
        self._store = store
        self._found = found
        self._alone = alone
        self._target = target
        self._remembered = remembered
        self._recalled = False
        self._written: Kept = {}
        self._lease = ""
        self._entry = running.add("registration", self._register, PACE)
        self._search = ALONE_SECONDS
        self._search_loop = running.add(
            "search for instances", self._look_again, SEARCH_PACE
        )
        # Versions of odd entries that were logged, by key.
        self._odd: dict[str, int] = {}

    def start(self) -> None:
        """Registers, and looks for other instances."""
        self._entry.start()
        self._search_loop.start()

    def stop(self) -> None:
        """Ends without a call: a slow store must not hold up a planned stop.

        The entry lapses with its lease. Until then it tells a process that is
        started again which target it serves.
        """
        self._entry.stop()
        self._search_loop.stop()

    def store_returned(self) -> None:
        """Checks the entry: it may have lapsed while the store was away."""
        if not self._entry.busy:
            self._entry.wake()

    def target_changed(self) -> None:
        """Writes the entry again in a moment, if the target is another."""
        if self._lease and self._target() != self._written:
            self._entry.wake(SETTLE_SECONDS)

    async def _register(self) -> None:
        if not self._lease:
            await self._join()
        elif self._target() != self._written:
            await self._write()
        else:
            await self._renew()

    async def _join(self) -> None:
        others = await self._list()
        # They are of use even if the store takes no writes.
        self._found(others)
        self._lease = await self._store.grant_lease(LEASE_SECONDS)
        await self._write()
        _log.info("registered in the store.", others=len(others))

    async def _write(self) -> None:
        kept = self._target()
        entry = {"gossip": list(self._address), "target": kept}
        value = json.dumps(entry).encode()
        try:
            await self._store.put(self._key, value, lease=self._lease)
        except errors.StoreConflictError:
            # The lease ended before the entry was written.
            self._lease = ""
            raise
        self._written = kept
        # It may have changed while the store wrote.
        self.target_changed()

    async def _renew(self) -> None:
        try:
            await self._store.renew_lease(self._lease)
        except errors.StoreConflictError:
            _log.info("the lease has lapsed; a new one is taken.")
            self._lease = ""
            await self._join()

    async def _look_again(self) -> float:
        """Reads the list again while no other instance is known."""
        if self._alone():
            self._search = min(ALONE_MOST_SECONDS, 2 * self._search)
            self._found(await self._list())
        return self._search

    async def _list(self) -> list[Address]:
        entries = await self._store.list(PREFIX)
        own = entries.pop(self._key, None)
        first, self._recalled = not self._recalled, True
        if own is not None and first:
            self._remembered(self._kept(own))
        self._odd = {
            key: version for key, version in self._odd.items() if key in entries
        }
        addresses = [self._read(key, entry) for key, entry in entries.items()]
        return [address for address in addresses if address is not None]

    def _kept(self, entry: ports.Versioned) -> Kept:
        """Returns what an entry keeps of a target, empty if it is damaged."""
        try:
            return dict(fields.item(fields.parse(entry.value), "target"))
        except fields.FieldError as error:
            self._report(self._key, entry, error)
            return {}

    def _read(self, key: str, entry: ports.Versioned) -> Address | None:
        """Returns the gossip address in an entry, or None if it is odd."""
        try:
            return fields.host_and_port(fields.parse(entry.value), "gossip")
        except fields.FieldError as error:
            self._report(key, entry, error)
            return None

    def _report(
        self, key: str, entry: ports.Versioned, error: fields.FieldError
    ) -> None:
        """Logs an odd entry, once for each of its versions."""
        if self._odd.get(key) == entry.version:
            return
        self._odd[key] = entry.version
        _log.warning(
            "an entry of the store names no instance.",
            key=key[:200],
            version=entry.version,
            reason=error.message,
        )
