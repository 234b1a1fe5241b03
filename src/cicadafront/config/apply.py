"""Writes a configuration to the store with a single compare-and-swap."""

import json
from typing import Any

import attrs
from twisted.internet import task

from cicadafront import errors, ports
from cicadafront.config import model, parts

MANIFEST_KEY = "config/manifest"
PART_PREFIX = "config/part/"
HISTORY_PREFIX = "config/history/"
# Time for which an unanswered write is retried and looked up before its outcome
# is reported as unknown; an operator waits at a terminal meanwhile.
RESOLVE_SECONDS = 20.0
RETRY_SECONDS = 1.0
# With a change every 32 s, this keeps about 9 hours of history and 53 minutes
# of parts.
KEEP_HISTORY = 1000
KEEP_PARTS = 100


class ApplyLostError(errors.CicadafrontError):
    """Another change took the revision; this one had no effect.

    Attributes:
        winner: The write that took the revision, or None if not known.
    """

    code = "apply_lost"

    def __init__(self, message: str, winner: parts.Write | None = None):
        super().__init__(message)
        self.winner = winner


class ApplyUnknownError(errors.CicadafrontError):
    """The store did not answer, so the change may have taken effect."""

    code = "apply_unknown"


@attrs.frozen
class Applied:
    """A change that took effect.

    Attributes:
        revision: The revision in the store.
        digest: Digest of its manifest.
        changed: Whether the folder differed from the configuration in the
            store.
        parts_written: Number of new parts written.
    """

    revision: int
    digest: str
    changed: bool
    parts_written: int


@attrs.frozen
class Stored:
    """The manifest in the store and the version of its key.

    Before the first revision, the manifest is None and the version is 0.
    """

    manifest: parts.Manifest | None
    version: int


async def read_manifest(store: ports.Store) -> Stored:
    """Reads the manifest from the store.

    Raises:
        PartDamagedError: The manifest is not valid.
        StoreUnavailableError: The store did not answer.
    """
    value = await store.get(MANIFEST_KEY)
    if value is None:
        return Stored(None, 0)
    return Stored(parts.unpack_manifest(value.value), value.version)


async def read_configuration(
    store: ports.Store, manifest: parts.Manifest | None
) -> model.Configuration:
    """Reads all parts of a manifest and returns its configuration.

    Raises:
        PartDamagedError: A part is missing or not valid.
        StoreUnavailableError: The store did not answer.
    """
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
    # The record of the last revision is written after the manifest, and is
    # missing if the writer stopped in between.
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
        """Writes a configuration as the newest revision.

        Args:
            configuration: The merged configuration.
            author: Operator who applies it.
            write: Unique identifier of the write.
            time: Seconds since the epoch.
            base: Revision that the store must have, or None for any.

        Raises:
            ApplyLostError: Another change took the revision; this one had no
                effect.
            ApplyUnknownError: The change may have taken effect.
            StoreUnavailableError: The store did not answer a call before the
                write of the manifest; the change had no effect.
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
            # The write is unconditional even if the part exists: the new
            # version prevents a concurrent older apply from deleting it.
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
            # Retries are safe: all attempts expect the same version, so at
            # most one of them takes effect, even if one arrives late.
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
        """Returns whether this write took effect; False if it still may.

        Args:
            manifest: The manifest of this write.
            found: The manifest read from the store.
            conflicted: Whether the last attempt failed with a conflict.
            unanswered: Whether any attempt got no answer.

        Raises:
            ApplyLostError: The write did not take effect and cannot any more.
            ApplyUnknownError: The write got no answer and is older than the
                recent writes that the manifest lists.
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
        """Writes the history record of `current` if it is missing."""
        if current is None:
            return
        key = f"{HISTORY_PREFIX}{current.revision}"
        if await self._store.get(key) is None:
            record = json.dumps(_record(current, None)).encode()
            await self._store.put(key, record)

    async def _unused_parts(self, manifest: parts.Manifest) -> dict[str, int]:
        """Returns unused old parts with their versions before the swap.

        After the swap they are deleted only at these versions: a concurrent
        apply that uses one of them again rewrites it, or its swap fails.
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
        """Writes the history record and deletes unused parts and records.

        The change has already taken effect, so failures here are ignored:
        `history` derives a missing last record from the manifest.
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
                    continue  # rewritten by an apply that uses it again
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
        f"{winner.author} applied revision {winner.revision} first (write"
        f" {winner.write}); your change had no effect; compare with"
        " `cicadafront config diff` and apply again",
        winner,
    )


def _unknown_error(manifest: parts.Manifest) -> ApplyUnknownError:
    return ApplyUnknownError(
        f"revision {manifest.revision} (write {manifest.write}) may have taken"
        " effect: the store did not answer; look for the write with"
        " `cicadafront config history` later"
    )
