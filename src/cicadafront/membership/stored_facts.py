"""Keeps the facts that this instance has observed in the store.

They are kept apart from the entry of the instance, without a lease: the entry
is gone once its lease has ended, and leases may end during an outage of the
store.
"""

import json
import random
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import defer

from cicadafront import errors, fields, loops, ports
from cicadafront.membership import handover, rewriting, store_key
from cicadafront.telemetry import logs

# Follows the key of the entry of the instance.
KEY_SUFFIX = "/facts"
# Expired facts are dropped from the store within this time.
CHECK_SECONDS = 60.0
# Covers a read and two writes of up to 1 s each, for a slow store.
RUN_TIMEOUT_SECONDS = 4.0
TIMING = loops.Timing(
    interval=CHECK_SECONDS,
    timeout=RUN_TIMEOUT_SECONDS,
    first=CHECK_SECONDS,
    initial_backoff=0.3,
    max_backoff=3.0,
)
# Time in which all instances write again what a store that reverted to a copy
# has lost: the spread of their writes, and 2 s until they learn of it.
RESTORE_SECONDS = rewriting.SPREAD_SECONDS + 2.0
# Field of entries with the era of the store in which they were
# written.
ERA_FIELD = "era"
# Facts that are observed within this time are combined into one write.
WRITE_DELAY_SECONDS = 0.1

_log = logs.Log("membership")


def era_fields(era: int) -> dict[str, int]:
    """Returns the fields that tell the era in which a value is written."""
    return {ERA_FIELD: era} if era else {}


class StoredFacts:
    """Writes the facts of this instance, and learns those of all instances.

    Args:
        entry_key: Key of the entry of this instance.
        running: Loops of the process.
        store: The store.
        facts: The facts of this process.
        clock: Twisted reactor or `task.Clock`.
        rng: Decides which instance clears up.
        era: Returns the era of the store; 0 if it is not known.
    """

    def __init__(
        self,
        entry_key: str,
        *,
        running: loops.Loops,
        store: ports.Store,
        facts: handover.Handover,
        clock: Any,
        rng: random.Random,
        era: Callable[[], int] = lambda: 0,
    ):
        self._entry_key = entry_key
        self._store = store
        self._facts = facts
        self._clock = clock
        self._rng = rng
        self._era = era
        # Time at which the facts of all instances are read again, since the
        # first list may show a copy; None if they need not be.
        self._reread_at: float | None = None
        self._key = store_key.StoreKey(
            store, entry_key + KEY_SUFFIX, self._learn_own
        )
        # The facts in the store; None if they are not known.
        self._stored: list[dict[str, Any]] | None = []
        self._rewriting = rewriting.Rewriting(
            running.clock, running.rng, rewriting.FACTS_SPAN
        )
        self._waiters: list[defer.Deferred[None]] = []
        self._loop = running.add("facts", self._write, TIMING)
        # Expired keys of instances that are gone, with their versions.
        self._expired: dict[str, int] = {}
        facts.on_own_change(lambda: self._loop.wake(WRITE_DELAY_SECONDS))

    def start(self) -> None:
        """Starts to write the facts when they change."""
        self._loop.start()
        if not self._is_written():
            self._loop.wake(WRITE_DELAY_SECONDS)

    def stop(self) -> None:
        """Stops writing."""
        self._loop.stop()

    def store_recovered(self) -> None:
        """Writes at once what could not be written in an outage."""
        self._loop.wake()

    def store_reverted(self) -> None:
        """Writes the facts again, since the store reverted to an older copy."""
        self._key.forget()
        self._stored = None
        self._expired.clear()
        self._loop.wake(self._rewriting.schedule())

    def learn(self, items: Mapping[str, ports.Versioned]) -> None:
        """Learns the facts of all instances when the process starts.

        Args:
            items: The entries of the instances and their facts, by key.
        """
        held = {
            key: item for key, item in items.items() if key.endswith(KEY_SUFFIX)
        }
        self._key.found(held.pop(self._key.key, None))
        entry = items.get(self._entry_key)
        if entry is not None:
            # Earlier versions kept the facts in the entry.
            self._learn(self._entry_key, entry, own=True)
        for key, item in held.items():
            document = self._learn(key, item, own=False)
            if (
                key.removesuffix(KEY_SUFFIX) not in items
                and document is not None
                and self._facts.expired(document)
            ):
                self._expired[key] = item.version
        # One of the instances that start clears up, not each of them.
        if self._rng.random() * (len(items) - len(held)) >= 1:
            self._expired.clear()
        if self._expired:
            self._loop.wake(WRITE_DELAY_SECONDS)
        if self._shows_copy(items):
            _log.info("the store shows a copy; its facts are read again.")
            self._reread_at = self._clock.seconds() + RESTORE_SECONDS
            self._loop.wake(RESTORE_SECONDS)
        else:
            self._facts.store_read()

    def _shows_copy(self, items: Mapping[str, ports.Versioned]) -> bool:
        """Returns whether the store may lack facts about this instance.

        The process before this one may have ended before it wrote its facts
        again. Its entry, which it writes after them, is of an older era then.
        If it is lost, the other entries show whether the store has reverted a
        short time ago. A peer that knows the facts informs this process
        earlier.
        """
        era = self._era()
        if not era:
            return False
        own = items.get(self._entry_key)
        entries = [own] if own else _without_facts(items)
        return any(_written_in(item.value, era) < era for item in entries)

    async def _read_again(self) -> None:
        items = await self._store.list(self._entry_key.rpartition("/")[0] + "/")
        self._reread_at = None
        for key, item in items.items():
            if key.endswith(KEY_SUFFIX) and key != self._key.key:
                self._learn(key, item, own=False)
        self._facts.store_read()

    def when_written(self, timeout: float) -> "defer.Deferred[None]":
        """Writes the facts at once unless the store has them.

        Args:
            timeout: Seconds after which the result fails.

        Returns:
            A Deferred that fires when the store has the present facts. It
            fails with `defer.TimeoutError`; the facts are written later then.
        """
        if self._is_written():
            return defer.succeed(None)
        waiting: defer.Deferred[None] = defer.Deferred(self._waiters.remove)
        self._waiters.append(waiting)
        self._loop.wake()
        return waiting.addTimeout(timeout, self._clock)

    def _is_written(self) -> bool:
        return self._facts.for_store() == self._stored

    async def _write(self) -> float | None:
        """Reads and writes the facts that the store, or this process, lacks.

        Returns:
            Seconds until the next run, or None for the default.
        """
        remaining = self._rewriting.remaining()
        if remaining and not self._waiters:
            return remaining
        if self._reread_due() == 0:
            await self._read_again()
        while not self._is_written():
            await self._write_once()
        waiting, self._waiters = self._waiters, []
        for each in waiting:
            each.callback(None)
        await self._clear_up()
        return self._reread_due()

    def _reread_due(self) -> float | None:
        """Returns the seconds until the facts are read again, None if not."""
        if self._reread_at is None:
            return None
        return max(0.0, self._reread_at - float(self._clock.seconds()))

    async def _write_once(self) -> None:
        found = self._facts.for_store()
        if not found:
            await self._key.delete()
            self._stored = []
            return
        written: list[dict[str, Any]] = []

        def make_value() -> bytes:
            written[:] = self._facts.for_store()
            return json.dumps({"facts": written}).encode()

        await self._key.write(make_value)
        self._stored = written

    async def _clear_up(self) -> None:
        while self._expired:
            key, version = self._expired.popitem()
            try:
                await self._store.delete(key, expected=version)
            except errors.StoreConflictError:
                _log.info("expired facts were changed or removed.", key=key)

    def _learn_own(self, item: ports.Versioned | None) -> None:
        """Learns what an earlier process, or a late write, has stored."""
        self._stored = []
        if item is None:
            return
        document = self._learn(self._key.key, item, own=True)
        if document is not None:
            self._stored = list(document.get("facts") or [])

    def _learn(
        self, key: str, item: ports.Versioned, *, own: bool
    ) -> dict[str, Any] | None:
        """Returns the document, or None if it is invalid."""
        try:
            document = fields.parse(item.value)
            self._facts.learn(document, own=own)
        except fields.FieldError as error:
            _log.warning(
                "facts in the store are invalid.",
                key=key[:200],
                version=item.version,
                reason=error.message,
            )
            return None
        return document


def _without_facts(
    items: Mapping[str, ports.Versioned],
) -> list[ports.Versioned]:
    return [item for key, item in items.items() if not key.endswith(KEY_SUFFIX)]


def _written_in(value: bytes, default: int) -> int:
    """Returns the era in which a value was written.

    Args:
        value: The value.
        default: Result for a value that does not tell.
    """
    try:
        return fields.integer(fields.parse(value), ERA_FIELD)
    except fields.FieldError:
        return default
