"""Table of all known instances and targets, and the rules for merging."""

import enum
from collections.abc import Iterable, Iterator

import attrs

from cicadafront.membership import records

BUCKETS = 64
# Time for which records of dead instances and of removed targets are retained,
# so that stale copies from a partitioned instance are not accepted again.
RETENTION_SECONDS = 3600.0

# Identifies a record: the instance id, and the target id or "" for the
# instance.
Key = tuple[str, str]


class MergeResult(enum.Enum):
    """How a received record compares with the one in the table."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"


def key_of(record: records.Record) -> Key:
    """Returns the key of a record."""
    if isinstance(record, records.InstanceRecord):
        return record.id, ""
    return record.owner, record.id


@attrs.define
class Member:
    """An instance with its targets.

    Attributes:
        record: The instance's own record.
        targets: Records of its targets by id, including removed ones.
        changed_at: Time of the last change of the instance record in seconds.
        digest: XOR of the hashes of its records, except removed targets.
    """

    record: records.InstanceRecord
    changed_at: float
    targets: dict[str, records.TargetRecord] = attrs.field(factory=dict)
    digest: int = 0

    @property
    def usable(self) -> bool:
        """Whether its targets may be used: its record is known and not dead."""
        dead = self.record.liveness is records.Liveness.DEAD
        return self.record.version > 0 and not dead

    def all_records(self) -> Iterator[records.Record]:
        """Iterates over the instance record and the target records."""
        if self.record.version:
            yield self.record
        yield from self.targets.values()


def _placeholder(target: records.TargetRecord) -> records.InstanceRecord:
    nowhere = ("", 0)
    return records.InstanceRecord(
        target.owner, target.incarnation, 0, "", nowhere, nowhere
    )


class Table:
    """Records by instance, with an index by service and bucket digests.

    Attributes:
        members: All members by instance id.
        buckets: Digest of each bucket. Dead members are excluded, since
            instances purge them at different times.
        dead: Ids of the members that are marked dead.
        changed_services: Names of services whose targets changed since the
            set was last cleared.
        changed_instances: Ids of the instances whose own records changed since
            the set was last cleared.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.buckets = [0] * BUCKETS
        self.dead: set[str] = set()
        self.changed_services: set[str] = set()
        self.changed_instances: set[str] = set()
        self._services: dict[str, dict[Key, records.TargetRecord]] = {}
        self._by_hash: dict[int, str] = {}
        self._bucket_ids: list[dict[str, None]] = [{} for _ in range(BUCKETS)]
        self._by_content: dict[int, str] = {}

    def record(self, key: Key) -> records.Record | None:
        """Returns the record of a key, or None."""
        member = self.members.get(key[0])
        if member is None:
            return None
        return member.targets.get(key[1]) if key[1] else member.record

    def targets(self, service: str) -> list[records.TargetRecord]:
        """Returns the targets of a service whose owner is usable."""
        found = self._services.get(service, {}).values()
        return [t for t in found if self.members[t.owner].usable]

    def by_hash(self, hash: int) -> Member | None:
        """Returns the member whose id has this hash, or None."""
        return self.members.get(self._by_hash.get(hash, ""))

    def by_content(self, content: int) -> records.InstanceRecord | None:
        """Returns the instance record with this content hash, or None."""
        member = self.members.get(self._by_content.get(content, ""))
        if member is None or member.record.content() != content:
            return None
        return member.record

    def bucket_members(self, bucket: int) -> Iterator[Member]:
        """Iterates over the members of a bucket that are not dead."""
        for id in self._bucket_ids[bucket]:
            if id not in self.dead:
                yield self.members[id]

    def merge(self, record: records.Record, now: float) -> MergeResult:
        """Stores a record if it is newer than the one in the table."""
        if isinstance(record, records.InstanceRecord):
            return self._merge_instance(record, now)
        return self._merge_target(record, now)

    def purge(self, now: float) -> None:
        """Removes dead members and removed targets after the retention."""
        for member in list(self.members.values()):
            old = now - member.changed_at > RETENTION_SECONDS
            if old and not member.usable:
                self._remove(member)
                continue
            # For a removed target, `warm_since` is the time at which this
            # instance received the removal.
            expired = [
                target.id
                for target in member.targets.values()
                if target.gone and now - target.warm_since > RETENTION_SECONDS
            ]
            for id in expired:
                del member.targets[id]

    def _merge_instance(
        self, record: records.InstanceRecord, now: float
    ) -> MergeResult:
        member = self.members.get(record.id)
        if member is None:
            member = self._add(record, now)
        elif record.order() <= member.record.order():
            same = record.order() == member.record.order()
            return MergeResult.SAME if same else MergeResult.OLDER
        else:
            self._update_index(member, remove=True)
            if record.incarnation > member.record.incarnation:
                self._clear_targets(member)
            if member.record.version:
                member.digest ^= member.record.digest()
                self._by_content.pop(member.record.content(), None)
            member.record, member.changed_at = record, now
        member.digest ^= record.digest()
        self.changed_instances.add(record.id)
        self._by_content[record.content()] = record.id
        self._update_index(member, remove=False)
        self._mark_services_changed(member)
        return MergeResult.NEWER

    def _merge_target(
        self, record: records.TargetRecord, now: float
    ) -> MergeResult:
        member = self.members.get(record.owner)
        if member is None:
            member = self._add(_placeholder(record), now)
        elif record.incarnation > member.record.incarnation:
            self._update_index(member, remove=True)
            self._clear_targets(member)
            member.record, member.changed_at = _placeholder(record), now
            member.digest = 0
        elif record.incarnation < member.record.incarnation:
            return MergeResult.OLDER
        held = member.targets.get(record.id)
        if held is not None and record.version <= held.version:
            same = record.version == held.version
            return MergeResult.SAME if same else MergeResult.OLDER
        self._update_index(member, remove=True)
        self._replace_target(member, held, record, now)
        self._update_index(member, remove=False)
        return MergeResult.NEWER

    def _replace_target(
        self,
        member: Member,
        held: records.TargetRecord | None,
        record: records.TargetRecord,
        now: float,
    ) -> None:
        if held is not None:
            self._drop_target(member, held)
        if record.gone:
            record = attrs.evolve(record, warm_since=now)
        else:
            if held and _continues(held, record):
                # A change of slots or weight does not restart the slow start.
                record = attrs.evolve(record, warm_since=held.warm_since)
            member.digest ^= record.digest()
            index = self._services.setdefault(record.service, {})
            index[key_of(record)] = record
            self.changed_services.add(record.service)
        member.targets[record.id] = record

    def _drop_target(
        self, member: Member, target: records.TargetRecord
    ) -> None:
        if target.gone:
            return
        member.digest ^= target.digest()
        index = self._services[target.service]
        del index[key_of(target)]
        if not index:
            del self._services[target.service]
        self.changed_services.add(target.service)

    def _clear_targets(self, member: Member) -> None:
        for target in member.targets.values():
            self._drop_target(member, target)
        member.targets.clear()

    def _add(self, record: records.InstanceRecord, now: float) -> Member:
        member = self.members[record.id] = Member(record, now)
        hash = records.id_hash(record.id)
        self._by_hash[hash] = record.id
        self._bucket_ids[hash % BUCKETS][record.id] = None
        return member

    def _remove(self, member: Member) -> None:
        self._update_index(member, remove=True)
        self._clear_targets(member)
        self._by_content.pop(member.record.content(), None)
        self.dead.discard(member.record.id)
        del self.members[member.record.id]
        hash = records.id_hash(member.record.id)
        self._by_hash.pop(hash, None)
        self._bucket_ids[hash % BUCKETS].pop(member.record.id, None)

    def _update_index(self, member: Member, remove: bool) -> None:
        id = member.record.id
        if member.record.liveness is records.Liveness.DEAD:
            if remove:
                self.dead.discard(id)
            else:
                self.dead.add(id)
        else:
            self.buckets[records.id_hash(id) % BUCKETS] ^= member.digest

    def _mark_services_changed(self, member: Member) -> None:
        services: Iterable[str] = (
            target.service
            for target in member.targets.values()
            if not target.gone
        )
        self.changed_services.update(services)


def _continues(
    held: records.TargetRecord, record: records.TargetRecord
) -> bool:
    """Returns whether a target has served since the time in the held record."""
    return (
        not held.gone
        and held.state is record.state
        and held.cold_starts == record.cold_starts
    )
