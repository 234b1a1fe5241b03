"""Reads a document of the store, and waits for newer versions of it.

The document may take seconds on the link of an instance. One that is known is
therefore not read again: a watch from its version brings newer ones only.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from cicadafront import ports
from cicadafront.telemetry import logs

# Larger documents are not read to find out whether there is a newer one; a
# short watch tells.
MAX_REPEATED_BYTES = 16 * 1024
# Duration of that watch, which also tells whether the store answers. After some
# failures in a row the document is read, in case that only watches get no
# answer.
PROBE_SECONDS = 0.1
MAX_FAILED_PROBES = 2

ReadStale = Callable[[str], "defer.Deferred[ports.Versioned | None]"]

_log = logs.Log("config")


class StoredDocument:
    """A document of the store, up to the version that is known.

    Its methods fail with `StoreUnavailableError`.

    Attributes:
        connected: Whether the store answered the last completed call.
        answered_at: Time of the store's last answer in seconds, None before
            the first.
        version: Newest known version; 0 for none.

    Args:
        key: Key of the document.
        clock: Source of time.
        store: The store.
        read_stale: Reads a key, possibly a version that is seconds old.
        on_recovered: Called when the store answers again after an outage.
    """

    def __init__(
        self,
        key: str,
        *,
        clock: Any,
        store: ports.Store,
        read_stale: ReadStale,
        on_recovered: Callable[[], None],
    ):
        self.connected = False
        self.answered_at: float | None = None
        self.version = 0
        self._key = key
        self._clock = clock
        self._store = store
        self._read_stale = read_stale
        self._on_recovered = on_recovered
        self._failed_probes = 0

    async def connect(self) -> ports.Versioned | None:
        """Finds out whether the store answers, if that is not known.

        Returns:
            The document, if it is newer or no version is known.
        """
        if not self.version or self._failed_probes >= MAX_FAILED_PROBES:
            self._failed_probes = 0
            return self._answered(await self._store.get(self._key))
        if self.connected:
            return None
        return await self._probe()

    async def watch(self, seconds: float) -> ports.Versioned | None:
        """Waits for a newer version; returns None after some seconds."""
        return self._answered(
            await self._store.watch(self._key, self.version, seconds)
        )

    async def check(self, size: int) -> ports.Versioned | None:
        """Returns the document if there is a newer version.

        Args:
            size: Size of the known document in bytes.
        """
        if self.version and size > MAX_REPEATED_BYTES:
            return await self._probe()
        known = self.version
        found = await self._read_stale(self._key)
        if found is not None and found.version <= known:
            found = None
        return self._answered(found)

    async def _probe(self) -> ports.Versioned | None:
        self._failed_probes += 1
        return await self.watch(PROBE_SECONDS)

    def _answered(
        self, found: ports.Versioned | None
    ) -> ports.Versioned | None:
        now = self._clock.seconds()
        before, self.answered_at = self.answered_at, now
        self._failed_probes = 0
        if found is not None:
            self.version = found.version
        if not self.connected:
            self.connected = True
            silent = 0.0 if before is None else now - before
            _log.info("store is reachable.", silent_seconds=round(silent, 3))
            self._on_recovered()
        return found
