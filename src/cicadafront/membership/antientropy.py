"""Anti-entropy: repairs missing records by comparing digests with a peer.

The two instances first compare bucket digests, then the member digests of the
buckets that differ, then the record hashes of the members that differ.
"""

import random
from collections.abc import Iterable, Iterator

from cicadafront.membership import messages, records, table

# Entries (8 bytes each) and fetch items (about 70 bytes each) that fit into one
# datagram.
MAX_ENTRIES = 150
MAX_ITEMS = 14
# Datagrams that list the members of differing buckets in one exchange.
MAX_SUMMARIES = 16
# Record hashes listed for one member; later rounds repair the rest.
MAX_HASHES_PER_MEMBER = 64
_MAX_HASHES = 240


def digest(known: table.Table) -> messages.Digest:
    """Returns the digests of all buckets."""
    return messages.Digest(tuple(known.buckets))


def summarize(
    known: table.Table, theirs: messages.Digest, rng: random.Random
) -> list[messages.Summary]:
    """Returns the member digests of differing buckets, a datagram each.

    Buckets are taken in random order, so that those left out by the limit of
    one exchange are found by a later one. The list is empty if no bucket
    differs or if the number of buckets does not match.
    """
    if len(theirs.buckets) != table.BUCKETS:
        return []
    pairs = zip(known.buckets, theirs.buckets, strict=True)
    differing = [n for n, (mine, other) in enumerate(pairs) if mine != other]
    rng.shuffle(differing)
    found: list[messages.Summary] = []
    listed: list[int] = []
    entries: dict[int, int] = {}
    for bucket in differing:
        members = _member_digests(known, bucket)
        if listed and len(entries) + len(members) > MAX_ENTRIES:
            found.append(messages.Summary(tuple(listed), entries))
            listed, entries = [], {}
        listed.append(bucket)
        entries.update(list(members.items())[:MAX_ENTRIES])
    if listed:
        found.append(messages.Summary(tuple(listed), entries))
    return found[:MAX_SUMMARIES]


def _member_digests(known: table.Table, bucket: int) -> dict[int, int]:
    return {
        records.id_hash(member.record.id): member.digest
        for member in known.bucket_members(bucket)
    }


def compare(
    known: table.Table, summary: messages.Summary
) -> tuple[list[messages.Fetch], list[records.Record]]:
    """Compares a peer's summary with the table.

    Returns:
        The fetches to send, a datagram each, and the records of dead instances
        that the peer lists as running.
    """
    differing = [
        hash
        for hash, other in summary.entries.items()
        if (member := known.by_hash(hash)) is None or member.digest != other
    ]
    differing += [
        hash
        for bucket in summary.buckets
        for member in known.bucket_members(bucket)
        if (hash := records.id_hash(member.record.id)) not in summary.entries
    ]
    dead: list[records.Record] = [
        member.record
        for hash in summary.entries
        if (member := known.by_hash(hash)) and member.record.id in known.dead
    ]
    return list(_fetches(known, differing)), dead


def _fetches(
    known: table.Table, hashes: Iterable[int]
) -> Iterator[messages.Fetch]:
    items: dict[int, tuple[int, ...]] = {}
    total = 0
    for hash in hashes:
        items[hash] = _record_hashes(known.by_hash(hash))
        total += len(items[hash])
        if len(items) == MAX_ITEMS or total > _MAX_HASHES:
            yield messages.Fetch(items)
            items, total = {}, 0
    if items:
        yield messages.Fetch(items)


def _record_hashes(member: table.Member | None) -> tuple[int, ...]:
    if member is None:
        return ()
    live = [r for r in member.all_records() if not _gone(r)]
    return tuple(record.digest() for record in live[:MAX_HASHES_PER_MEMBER])


def _gone(record: records.Record) -> bool:
    return isinstance(record, records.TargetRecord) and record.gone


def answer(
    known: table.Table, fetch: messages.Fetch
) -> tuple[list[records.Record], messages.Fetch | None]:
    """Answers a fetch.

    Returns:
        Records that the peer lacks, and the fetch to send in turn, or None.
    """
    missing: list[records.Record] = []
    wanted: dict[int, tuple[int, ...]] = {}
    for hash, theirs in fetch.items.items():
        member = known.by_hash(hash)
        held = _record_hashes(member)
        if member is not None:
            lacks = set(held).difference(theirs)
            missing += [
                record
                for record in member.all_records()
                if record.digest() in lacks
                or member.record.id in known.dead
                and record is member.record
            ]
        if set(theirs).difference(held) and not fetch.is_reply:
            wanted[hash] = held
    return missing, messages.Fetch(wanted, True) if wanted else None
