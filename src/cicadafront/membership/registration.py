"""Registers an instance in the store, so that new instances find the fleet.

The store only provides the first addresses to contact; liveness is determined
by gossip. The entry is attached to a lease, so that the entries of stopped
instances expire. The entry also describes the local target, so that a restarted
process does not have to wait for the target's next heartbeat.
"""

import json
from collections.abc import Callable, Mapping
from typing import Any

from cicadafront import errors, fields, loops, ports
from cicadafront.membership import rewriting, store_key, stored_facts
from cicadafront.telemetry import logs

PREFIX = "cicadafront/instances/"
# Longer than most outages of the store, so that entries need not be written
# again after an outage.
LEASE_SECONDS = 60.0
RENEW_SECONDS = LEASE_SECONDS / 3
# Covers a list call and two writes of up to 1 s each, for a slow store.
RUN_TIMEOUT_SECONDS = 10.0
MAX_RETRY_SECONDS = 3.0
REGISTRATION_TIMING = loops.Timing(
    interval=RENEW_SECONDS,
    timeout=RUN_TIMEOUT_SECONDS,
    initial_backoff=0.3,
    max_backoff=MAX_RETRY_SECONDS,
)
# An instance that knows no other one lists the entries again after this time,
# which doubles up to `MAX_SEARCH_SECONDS`.
MIN_SEARCH_SECONDS = 1.0
MAX_SEARCH_SECONDS = 10.0
# Longest pause after a search that failed. The instance cannot serve any caller
# until it has found another one, and few instances are in this state.
MAX_SEARCH_RETRY_SECONDS = 1.0
SEARCH_TIMING = loops.Timing(
    interval=MIN_SEARCH_SECONDS,
    timeout=RUN_TIMEOUT_SECONDS,
    first=MIN_SEARCH_SECONDS,
    initial_backoff=MAX_SEARCH_RETRY_SECONDS / 2,
    max_backoff=MAX_SEARCH_RETRY_SECONDS,
)
# Changes of the target within this time are combined into one write.
WRITE_DELAY_SECONDS = 0.1

Address = tuple[str, int]
StoredTarget = dict[str, Any]

_log = logs.Log("membership")


def entry_key(instance: str) -> str:
    """Returns the key of the entry of an instance."""
    return PREFIX + instance


class Registration:
    """Maintains the entry of this instance and reads those of the others.

    Args:
        instance: Id of this instance.
        address: Gossip address of this instance.
        running: Loops of the process.
        store: The store.
        found: Called with the gossip addresses of other instances.
        alone: Returns whether this instance knows no other one.
        target: Returns the description of the local target to store; empty
            if there is none.
        restore_target: Called with the description of the target that was
            stored before this process started.
        on_first_list: Called with the first list of the entries, and of all
            that stands under their keys, before the target is restored.
        era: Returns the era of the store; 0 if it is not known.
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
        restore_target: Callable[[StoredTarget], None] = lambda stored: None,
        on_first_list: Callable[
            [Mapping[str, ports.Versioned]], None
        ] = lambda items: None,
        era: Callable[[], int] = lambda: 0,
    ):
        self._entry = store_key.StoreKey(store, entry_key(instance))
        self._address = address
        self._store = store
        self._found = found
        self._alone = alone
        self._target = target
        self._restore_target = restore_target
        self._on_first_list = on_first_list
        self._era = era
        self._has_read = False
        # The target in the entry, or None if no entry was written.
        self._written: StoredTarget | None = None
        self._lease = ""
        # The others listed by a registration whose writes have failed.
        self._listed: list[Address] | None = None
        self._registration_loop = running.add(
            "registration", self._register, REGISTRATION_TIMING
        )
        self._rewriting = rewriting.Rewriting(
            running.clock, running.rng, rewriting.ENTRY_SPAN
        )
        self._search_interval = MIN_SEARCH_SECONDS
        self._search_loop = running.add(
            "search for instances", self._search_again, SEARCH_TIMING
        )
        # Versions of invalid entries that were logged, by key.
        self._logged_versions: dict[str, int] = {}

    def start(self) -> None:
        """Starts to register and to search for other instances."""
        self._registration_loop.start()
        self._search_loop.start()

    def stop(self) -> None:
        """Stops without calling the store.

        A slow store must not delay a planned stop. The entry expires with its
        lease. Until then a restarted process can read from it which target is
        local.
        """
        self._registration_loop.stop()
        self._search_loop.stop()

    def store_recovered(self) -> None:
        """Checks the entry, which may have expired during a store outage.

        A run in progress may have begun during the outage, so that another one
        follows it.
        """
        self._registration_loop.wake()

    def store_reverted(self) -> None:
        """Registers anew, since the store has reverted to an older copy.

        The lease is not renewed: its id may belong to another instance now.
        """
        self._entry.forget()
        self._lease = ""
        self._written = None
        # The others are known by gossip once the entries were read.
        self._listed = [] if self._has_read else None
        self._registration_loop.wake(self._rewriting.schedule())

    def content_changed(self) -> None:
        """Schedules a write of the entry if it is out of date."""
        if self._lease and self._target() != self._written:
            self._registration_loop.wake(WRITE_DELAY_SECONDS)

    async def _register(self) -> float | None:
        """Registers, or keeps up the entry.

        Returns:
            Seconds until the next run, or None for the default.
        """
        remaining = self._rewriting.remaining()
        if remaining:
            return remaining
        if not self._lease:
            await self._create_entry()
        elif self._target() != self._written:
            await self._write()
        else:
            await self._renew()
        # The store may have reverted during the run.
        return self._rewriting.remaining() or None

    async def _create_entry(self) -> None:
        if self._listed is None:
            self._listed = await self._list()
            # The addresses are useful even if the store accepts no writes.
            self._found(self._listed)
        self._lease = await self._store.grant_lease(LEASE_SECONDS)
        await self._write()
        _log.info("registered in the store.", others=len(self._listed))
        self._listed = None

    async def _write(self) -> None:
        target = self._target()
        document = {"gossip": list(self._address), "target": target}
        value = json.dumps(document | stored_facts.era_fields(self._era()))
        try:
            await self._entry.write(value.encode, self._lease)
        except errors.StoreConflictError:
            # The lease expired before the entry was written.
            self._lease = ""
            raise
        self._written = target
        # The target may have changed during the write.
        self.content_changed()

    async def _renew(self) -> None:
        try:
            await self._store.renew_lease(self._lease)
        except errors.StoreConflictError:
            self._lease = ""
            if self._rewriting.remaining():
                return
            _log.info("the lease has expired; requesting a new one.")
            await self._create_entry()

    async def _search_again(self) -> float:
        """Lists the entries again while no other instance is known.

        Returns:
            Seconds until the next run.
        """
        if self._alone():
            self._search_interval = min(
                MAX_SEARCH_SECONDS, 2 * self._search_interval
            )
            self._found(await self._list())
        return self._search_interval

    async def _list(self) -> list[Address]:
        items = await self._store.list(PREFIX)
        own = items.get(self._entry.key)
        self._entry.found(own)
        if not self._has_read:
            self._has_read = True
            self._on_first_list(items)
            if own is not None:
                self._restore_target(self._stored_target(own))
        entries = {
            key: item
            for key, item in items.items()
            if item is not own and not key.endswith(stored_facts.KEY_SUFFIX)
        }
        self._logged_versions = {
            key: version
            for key, version in self._logged_versions.items()
            if key in entries
        }
        addresses = [self._read(key, entry) for key, entry in entries.items()]
        return [address for address in addresses if address is not None]

    def _stored_target(self, entry: ports.Versioned) -> StoredTarget:
        """Returns the target in an entry; empty if the entry is invalid."""
        try:
            return dict(fields.item(fields.parse(entry.value), "target"))
        except fields.FieldError as error:
            self._log_invalid_entry(self._entry.key, entry, error)
            return {}

    def _read(self, key: str, entry: ports.Versioned) -> Address | None:
        """Returns the gossip address in an entry, or None if it is invalid."""
        try:
            return fields.host_and_port(fields.parse(entry.value), "gossip")
        except fields.FieldError as error:
            self._log_invalid_entry(key, entry, error)
            return None

    def _log_invalid_entry(
        self, key: str, entry: ports.Versioned, error: fields.FieldError
    ) -> None:
        """Logs an invalid entry, once for each of its versions."""
        if self._logged_versions.get(key) == entry.version:
            return
        self._logged_versions[key] = entry.version
        _log.warning(
            "an entry of the store is invalid.",
            key=key[:200],
            version=entry.version,
            reason=error.message,
        )
