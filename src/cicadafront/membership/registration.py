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
RUN_TIMEOUT_SECONDS = 10.0
MAX_RETRY_SECONDS = 3.0
PACE = loops.Pace(
    interval=RENEW_SECONDS,
    bound=RUN_TIMEOUT_SECONDS,
    first_retry=0.3,
    most_retry=MAX_RETRY_SECONDS,
)
# Period at which an instance that knows no other one reads the list again.
MIN_SEARCH_SECONDS = 1.0
MAX_SEARCH_SECONDS = 10.0
SEARCH_PACE = loops.Pace(
    interval=MIN_SEARCH_SECONDS,
    bound=RUN_TIMEOUT_SECONDS,
    first=MIN_SEARCH_SECONDS,
    most_retry=MAX_SEARCH_SECONDS,
)
# Changes of the target in this time are written at once.
WRITE_DELAY_SECONDS = 0.1

Address = tuple[str, int]
StoredTarget = dict[str, Any]

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
        target: Callable[[], StoredTarget] = dict,
        remembered: Callable[[StoredTarget], None] = lambda stored: None,
    ):
        self._key = PREFIX + instance
        self._address = address
        self._store = store
        self._found = found
        self._alone = alone
        self._target = target
        self._restore_target = remembered
        self._restored = False
        self._written_target: StoredTarget = {}
        self._lease = ""
        self._registration_loop = running.add(
            "registration", self._register, PACE
        )
        self._search_interval = MIN_SEARCH_SECONDS
        self._search_loop = running.add(
            "search for instances", self._search_again, SEARCH_PACE
        )
        # Versions of odd entries that were logged, by key.
        self._logged_versions: dict[str, int] = {}

    def start(self) -> None:
        """Registers, and looks for other instances."""
        self._registration_loop.start()
        self._search_loop.start()

    def stop(self) -> None:
        """Ends without a call: a slow store must not hold up a planned stop.

        The entry lapses with its lease. Until then it tells a process that is
        started again which target it serves.
        """
        self._registration_loop.stop()
        self._search_loop.stop()

    def store_recovered(self) -> None:
        """Checks the entry: it may have lapsed while the store was away."""
        if not self._registration_loop.busy:
            self._registration_loop.wake()

    def target_changed(self) -> None:
        """Writes the entry again in a moment, if the target is another."""
        if self._lease and self._target() != self._written_target:
            self._registration_loop.wake(WRITE_DELAY_SECONDS)

    async def _register(self) -> None:
        if not self._lease:
            await self._create_entry()
        elif self._target() != self._written_target:
            await self._write()
        else:
            await self._renew()

    async def _create_entry(self) -> None:
        others = await self._list()
        # They are of use even if the store takes no writes.
        self._found(others)
        self._lease = await self._store.grant_lease(LEASE_SECONDS)
        await self._write()
        _log.info("registered in the store.", others=len(others))

    async def _write(self) -> None:
        stored = self._target()
        entry = {"gossip": list(self._address), "target": stored}
        value = json.dumps(entry).encode()
        try:
            await self._store.put(self._key, value, lease=self._lease)
        except errors.StoreConflictError:
            # The lease ended before the entry was written.
            self._lease = ""
            raise
        self._written_target = stored
        # It may have changed while the store wrote.
        self.target_changed()

    async def _renew(self) -> None:
        try:
            await self._store.renew_lease(self._lease)
        except errors.StoreConflictError:
            _log.info("the lease has lapsed; a new one is taken.")
            self._lease = ""
            await self._create_entry()

    async def _search_again(self) -> float:
        """Reads the list again while no other instance is known."""
        if self._alone():
            self._search_interval = min(
                MAX_SEARCH_SECONDS, 2 * self._search_interval
            )
            self._found(await self._list())
        return self._search_interval

    async def _list(self) -> list[Address]:
        entries = await self._store.list(PREFIX)
        own = entries.pop(self._key, None)
        first, self._restored = not self._restored, True
        if own is not None and first:
            self._restore_target(self._stored_target(own))
        self._logged_versions = {
            key: version
            for key, version in self._logged_versions.items()
            if key in entries
        }
        addresses = [self._read(key, entry) for key, entry in entries.items()]
        return [address for address in addresses if address is not None]

    def _stored_target(self, entry: ports.Versioned) -> StoredTarget:
        """Returns what an entry keeps of a target, empty if it is damaged."""
        try:
            return dict(fields.item(fields.parse(entry.value), "target"))
        except fields.FieldError as error:
            self._log_invalid_entry(self._key, entry, error)
            return {}

    def _read(self, key: str, entry: ports.Versioned) -> Address | None:
        """Returns the gossip address in an entry, or None if it is odd."""
        try:
            return fields.pair(fields.parse(entry.value), "gossip")
        except fields.FieldError as error:
            self._log_invalid_entry(key, entry, error)
            return None

    def _log_invalid_entry(
        self, key: str, entry: ports.Versioned, error: fields.FieldError
    ) -> None:
        """Logs an odd entry, once for each of its versions."""
        if self._logged_versions.get(key) == entry.version:
            return
        self._logged_versions[key] = entry.version
        _log.warning(
            "an entry of the store names no instance.",
            key=key[:200],
            version=entry.version,
            reason=error.message,
        )
