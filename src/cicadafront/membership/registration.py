"""Registers an instance in the store, so that new instances find the fleet.

The store only provides the first addresses to contact; liveness is determined
by gossip. The entry is attached to a lease, so that the entries of stopped
instances expire. The entry also describes the local target, so that a restarted
process does not have to wait for the target's next heartbeat, and it holds the
facts that this instance hands over to later processes.
"""

import json
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import defer

from cicadafront import errors, fields, loops, ports
from cicadafront.membership import handover
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
# Fields of an entry that change while the process runs.
Content = dict[str, Any]

_log = logs.Log("membership")


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
        facts: Hands over what this process knows. The facts of all entries
            are learned with the first list.
        on_first_read: Called once, when the first attempt to read the entries
            has ended.
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
        facts: handover.Handover | None = None,
        on_first_read: Callable[[], None] = lambda: None,
    ):
        self._key = PREFIX + instance
        self._address = address
        self._store = store
        self._found = found
        self._alone = alone
        self._target = target
        self._restore_target = restore_target
        self._facts = facts or handover.Handover()
        self._facts.on_own_change(self.content_changed)
        self._on_first_read = on_first_read
        self._has_read = False
        self._written: Content = {}
        self._write_waiters: list[defer.Deferred[None]] = []
        self._lease = ""
        # The others listed by a registration whose writes have failed.
        self._listed: list[Address] | None = None
        self._registration_loop = running.add(
            "registration", self._register, REGISTRATION_TIMING
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

    def content_changed(self) -> None:
        """Schedules a write of the entry if it is out of date."""
        if self._lease and self._content() != self._written:
            self._registration_loop.wake(WRITE_DELAY_SECONDS)

    def when_written(self) -> "defer.Deferred[None]":
        """Writes the entry at once if it is out of date.

        Returns:
            A Deferred that fires when the entry has the present content.
        """
        if self._content() == self._written:
            return defer.succeed(None)
        waiting: defer.Deferred[None] = defer.Deferred(
            self._write_waiters.remove
        )
        self._write_waiters.append(waiting)
        self._registration_loop.wake()
        return waiting

    def _content(self) -> "Content":
        return {"target": self._target(), "facts": self._facts.for_store()}

    async def _register(self) -> None:
        if not self._lease:
            await self._create_entry()
        elif self._content() != self._written:
            await self._write()
        else:
            await self._renew()

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
        content = self._content()
        entry = {"gossip": list(self._address), **content}
        value = json.dumps(entry).encode()
        try:
            await self._store.put(self._key, value, lease=self._lease)
        except errors.StoreConflictError:
            # The lease expired before the entry was written.
            self._lease = ""
            raise
        self._written = content
        if self._content() == content:
            waiting, self._write_waiters = self._write_waiters, []
            for each in waiting:
                each.callback(None)
        # The content may have changed during the write.
        self.content_changed()

    async def _renew(self) -> None:
        try:
            await self._store.renew_lease(self._lease)
        except errors.StoreConflictError:
            _log.info("the lease has expired; requesting a new one.")
            self._lease = ""
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
        try:
            entries = await self._store.list(PREFIX)
            own = entries.pop(self._key, None)
            if not self._has_read:
                self._has_read = True
                self._learn(own, entries)
        finally:
            self._end_first_read()
        self._logged_versions = {
            key: version
            for key, version in self._logged_versions.items()
            if key in entries
        }
        addresses = [self._read(key, entry) for key, entry in entries.items()]
        return [address for address in addresses if address is not None]

    def _learn(
        self,
        own: ports.Versioned | None,
        others: Mapping[str, ports.Versioned],
    ) -> None:
        """Learns what earlier processes and the other instances wrote."""
        if own is not None:
            self._learn_facts(self._key, own, own=True)
            self._restore_target(self._stored_target(own))
        for key, entry in others.items():
            self._learn_facts(key, entry, own=False)

    def _learn_facts(
        self, key: str, entry: ports.Versioned, *, own: bool
    ) -> None:
        try:
            self._facts.learn(fields.parse(entry.value), own=own)
        except fields.FieldError as error:
            self._log_invalid_entry(key, entry, error)

    def _end_first_read(self) -> None:
        ended, self._on_first_read = self._on_first_read, lambda: None
        ended()

    def _stored_target(self, entry: ports.Versioned) -> StoredTarget:
        """Returns the target in an entry; empty if the entry is invalid."""
        try:
            return dict(fields.item(fields.parse(entry.value), "target"))
        except fields.FieldError as error:
            self._log_invalid_entry(self._key, entry, error)
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
