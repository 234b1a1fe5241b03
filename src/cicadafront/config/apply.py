"""Puts a configuration into the store by one compare-and-swap."""

import json
from typing import Any

import attrs
from twisted.internet import task

from cicadafront import errors, ports
from cicadafront.config import model, parts

MANIFEST_KEY = "config/manifest"
PART_PREFIX = "config/part/"
HISTORY_PREFIX = "config/history/"
# Time in which a write without answer is resolved before it is reported as
# unknown; the caller waits at a terminal.
RESOLVE_SECONDS = 20.0
RETRY_SECONDS = 1.0
# At a change every 32 s, about 9 hours of history and 53 minutes of parts.
KEEP_HISTORY = 1000
KEEP_PARTS = 100


class ApplyLostError(errors.CicadafrontError):
    """Another change came first.

    Attributes:
        winner: Who wrote the revision, or None if that is not known.
    """

    code = "apply_lost"

    def __init__(self, message: str, winner: parts.Write | None = None):
        super().__init__(message)
        self.winner = winner


class ApplyUnknownError(errors.CicadafrontError):
    """The store did not tell whether the change took effect."""

    code = "apply_unknown"


@attrs.frozen
class Applied:
    """A change that took effect.

    Attributes:
        revision: The revision in the store.
        digest: Digest of its manifest.
        changed: Whether the folder differed from the store.
        parts_written: Number of parts that were new.
    """

    revision: int
    digest: str
    changed: bool
    parts_written: int


@attrs.frozen
class Stored:
    """The manifest in the store and the version of its key."""

    manifest: parts.Manifest | None
    version: int


async def read_manifest(store: ports.Store) -> Stored:
    """Reads the manifest; version 0 and None before the first one."""
    value = await store.get(MANIFEST_KEY)
    if value is None:
        return Stored(None, 0)
    return Stored(parts.unpack_manifest(value.value), value.version)


async def read_configuration(
    store: ports.Store, manifest: parts.Manifest | None
) -> model.Configuration:
    """Reads all parts of a manifest."""
    if manifest is None:
        return model.Configuration()
    cache = parts.PartCache()
    for digest in cache.missing(manifest):
        value = await store.get(PART_PREFIX + digest)
        if value is None:
            raise parts.PartDamagedError(
                f"part {digest} is not in the store; apply the folder again"
            )
        cache.add(digest, value.value)
    return cache.build(manifest)


async def history(store: ports.Store) -> list[dict[str, Any]]:
    """Returns the records of past revisions, oldest first."""
    found = await store.list(HISTORY_PREFIX)
    records = {
        int(key.rpartition("/")[2]): value for key, value in found.items()
    }
    result = [
        json.loads(records[revision].value) for revision in sorted(records)
    ]
    manifest = (await read_manifest(store)).manifest
    # The record of the last revision is written after the manifest, and may
    # be missing if its author stopped in between.
    if manifest and manifest.revision not in records:
        result.append(_record(manifest, None))
    return result


def _record(
    manifest: parts.Manifest, parent: parts.Manifest | None
) -> dict[str, Any]:
    before = set(parent.parts.values()) if parent else set()
    replaced = sorted(before - set(manifest.parts.values()))
    record = manifest.data()
    for key in ("parts", "recent", "format"):
        del record[key]
    return record | {"digest": manifest.digest, "replaced": replaced}


class Applier:
    """Applies configurations to a store.

    Args:
        store: The store.
        clock: Twisted reactor or `task.Clock`.
    """

    def __init__(self, store: ports.Store, clock: Any):
        self._store = store
        self._clock = clock

    async def apply(
        self,
        configuration: model.Configuration,
        *,
        author: str,
        write: str,
        time: float,
        base: int | None = None,
    ) -> Applied:
        """Makes a configuration the newest revision.

        Args:
            configuration: The merged configuration.
            author: Who applies it.
            write: Identifier that no other write has.
            time: Seconds since the epoch.
            base: Revision that the store must hold, or None for any.

        Raises:
            ApplyLostError: Another change came first; nothing changed.
            ApplyUnknownError: The change may have taken effect.
            StoreUnavailableError: The store did not answer before the
                manifest was written; nothing changed.
        """
        stored = await read_manifest(self._store)
        current = stored.manifest
        if base is not None and base != (current.revision if current else 0):
            raise _lost_error(base + 1, current)
        divided = parts.divide(configuration)
        digests = {name: digest for name, (digest, _) in divided.items()}
        if current and current.parts == digests:
            return Applied(current.revision, current.digest, False, 0)
        manifest = parts.successor(current, digests, write, author, time)
        packed = manifest.pack()
        await self._write_missing_record(current)
        unused = await self._unused_parts(manifest)
        held = set(current.parts.values()) if current else set()
        new_parts = {d: p for d, p in divided.values() if d not in held}
        for digest, part in sorted(new_parts.items()):
            # Written without condition even if it exists: the new version
            # protects it from being collected by an older apply.
            await self._store.put(PART_PREFIX + digest, part)
        await self._swap(manifest, packed, stored.version)
        await self._record_and_clean_up(manifest, current, unused)
        return Applied(manifest.revision, manifest.digest, True, len(new_parts))

    async def _swap(
        self, manifest: parts.Manifest, packed: bytes, version: int
    ) -> None:
        deadline = self._clock.seconds() + RESOLVE_SECONDS
        unanswered = False
        while True:
            # Repeating is safe: all attempts expect the same version, so at
            # most one of them takes effect, also one that arrives late.
            conflicted = False
            try:
                await self._store.put(MANIFEST_KEY, packed, version)
                return
            except errors.StoreConflictError:
                conflicted = True
            except errors.StoreUnavailableError:
                unanswered = True
            try:
                found = (await read_manifest(self._store)).manifest
                if self._took_effect(manifest, found, conflicted, unanswered):
                    return
            except errors.StoreUnavailableError:
                if conflicted and not unanswered:
                    raise _lost_error(manifest.revision, None) from None
            if self._clock.seconds() >= deadline:
                raise _unknown_error(manifest)
            await task.deferLater(self._clock, RETRY_SECONDS)

    def _took_effect(
        self,
        manifest: parts.Manifest,
        found: parts.Manifest | None,
        conflicted: bool,
        unanswered: bool,
    ) -> bool:
        """Tells whether our write is in the store; False if it may still be.

        Raises:
            ApplyLostError: It certainly is not and cannot be any more.
            ApplyUnknownError: So much was written since that nobody knows.
        """
        if found is not None and found.revision >= manifest.revision:
            writer = found.writer(manifest.revision)
            if writer is None and unanswered:
                raise _unknown_error(manifest)
            if writer is not None and writer.write == manifest.write:
                return True
            raise _lost_error(manifest.revision, found)
        if conflicted:
            raise _lost_error(manifest.revision, found)
        return False

    async def _write_missing_record(
        self, current: parts.Manifest | None
    ) -> None:
        """Writes the record that the author of `current` may have left out."""
        if current is None:
            return
        key = f"{HISTORY_PREFIX}{current.revision}"
        if await self._store.get(key) is None:
            record = json.dumps(_record(current, None)).encode()
            await self._store.put(key, record)

    async def _unused_parts(self, manifest: parts.Manifest) -> dict[str, int]:
        """Returns old parts, with the versions seen before the swap.

        They are deleted after the swap only at these versions: an apply that
        uses one of them again writes it anew, or fails its own swap.
        """
        old = manifest.revision - KEEP_PARTS
        record = await self._store.get(f"{HISTORY_PREFIX}{old}")
        if record is None:
            return {}
        used = set(manifest.parts.values())
        unused = {}
        for digest in json.loads(record.value).get("replaced", []):
            part = await self._store.get(PART_PREFIX + digest)
            if part is not None and digest not in used:
                unused[PART_PREFIX + digest] = part.version
        return unused

    async def _record_and_clean_up(
        self,
        manifest: parts.Manifest,
        parent: parts.Manifest | None,
        unused: dict[str, int],
    ) -> None:
        """Writes the history and deletes what is no longer needed.

        The change is in force already, so that failures here are no errors:
        `history` adds a missing last record from the manifest.
        """
        record = json.dumps(_record(manifest, parent)).encode()
        expired = f"{HISTORY_PREFIX}{manifest.revision - KEEP_HISTORY}"
        try:
            await self._store.put(
                f"{HISTORY_PREFIX}{manifest.revision}", record
            )
            for key, version in unused.items():
                try:
                    await self._store.delete(key, version)
                except errors.StoreConflictError:
                    continue  # in use again
            if manifest.revision > KEEP_HISTORY:
                await self._store.delete(expired)
        except errors.StoreUnavailableError:
            return


def _lost_error(revision: int, found: parts.Manifest | None) -> ApplyLostError:
    if found is None:
        return ApplyLostError(
            f"another change took revision {revision}; compare with"
            " `cicadafront config diff` and apply again"
        )
    winner = found.writer(revision) or found.recent[-1]
    return ApplyLostError(
        f"{winner.author} came first with revision {winner.revision} (write"
        f" {winner.write}), nothing of yours took effect; compare with"
        " `cicadafront config diff` and apply again",
        winner,
    )


def _unknown_error(manifest: parts.Manifest) -> ApplyUnknownError:
    return ApplyUnknownError(
        f"it is unknown whether revision {manifest.revision} (write"
        f" {manifest.write}) took effect, because the store did not answer;"
        " look for the write with `cicadafront config history` later"
    )
