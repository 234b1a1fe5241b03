"""Records of this instance and of the others, and how they change."""

import random
from collections.abc import Iterable

import attrs

from cicadafront import model
from cicadafront.membership import (
    dissemination,
    failure_detector,
    records,
    table,
)

_URGENT_STATES = (model.TargetState.EJECTED, model.TargetState.LEAVING)


class State:
    """The table with everything that follows its changes.

    Attributes:
        known: Table of all records.
        queue: Records that are to travel with probes.
        claims: Instance records of which only the version is to travel.
        judge: This instance's judgement of the others.
        urgent: Keys of records that wait for an urgent broadcast.
        changed: Whether the table changed since the flag was cleared.
        has_new_claims: Whether claims came since the flag was cleared.
        superseded: Whether a process with the same id, a higher incarnation
            and another address was seen.
    """

    def __init__(
        self,
        me: records.InstanceRecord,
        rng: random.Random,
        now: float,
        broadcast_all_changes: bool = False,
    ):
        self.known = table.Table()
        self.queue = dissemination.DisseminationQueue()
        self.claims = dissemination.DisseminationQueue(
            lambda record: dissemination.CLAIM_BYTES,
            dissemination.MAX_CLAIM_SENDS,
        )
        self.detector = failure_detector.FailureDetector(
            self.known, me.id, rng, now
        )
        self.urgent: dict[table.Key, None] = {}
        self.changed = False
        self.has_new_claims = False
        self.superseded = False
        self._id = me.id
        self.broadcast_all_changes = broadcast_all_changes
        self._version = 0
        self._store_own(now, me, urgent=False)

    @property
    def me(self) -> records.InstanceRecord:
        """The record of this instance."""
        return self.known.members[self._id].record

    @property
    def own_targets(self) -> dict[str, records.TargetRecord]:
        """The targets of this instance by id, those gone included."""
        return self.known.members[self._id].targets

    def update_own_record(
        self,
        now: float,
        *,
        leaving: bool = False,
        liveness: records.Liveness = records.Liveness.ALIVE,
        urgent: bool = True,
    ) -> None:
        """Raises the version of this instance's own record."""
        leaving = leaving or self.me.leaving
        record = attrs.evolve(self.me, leaving=leaving, liveness=liveness)
        self._store_own(now, record, urgent)

    def announce(self, now: float, record: records.TargetRecord) -> None:
        """Announces a target of this instance if anything changed."""
        if self.me.leaving:
            # All its targets count as leaving.
            return
        held = self.own_targets.get(record.id)
        host, port = record.address
        record = attrs.evolve(
            record,
            address=("" if host == self.me.peer_address[0] else host, port),
            owner=self._id,
            incarnation=self.me.incarnation,
            version=held.version if held else 0,
            # Encoded as a percentage in one byte.
            weight=round(min(1.0, max(0.0, record.weight)), 2),
            warm_since=now,
        )
        if record != held:
            urgent = record.state in _URGENT_STATES or record.gone
            if self.broadcast_all_changes:
                urgent = True
                # Without its owner, others cannot use a new target.
                self.urgent[table.key_of(self.me)] = None
            self._store_own(now, record, urgent)

    def apply_transition(
        self, now: float, record: records.InstanceRecord
    ) -> None:
        """Stores a verdict of this instance on another one."""
        # Others come to the verdict "dead" themselves.
        suspect = record.liveness is records.Liveness.SUSPECT
        self._store(now, record, spread=suspect)

    def merge(
        self, now: float, items: Iterable[records.Record], spread: bool
    ) -> list[records.Record]:
        """Merges records of others.

        Args:
            now: The current time.
            items: The records.
            spread: Whether to pass on those that are new.

        Returns:
            Held records that are newer than the ones received.
        """
        newer = []
        for record in items:
            if self._merge(now, record, spread) is table.MergeResult.OLDER:
                held = self.known.record(table.key_of(record))
                if held is not None:
                    newer.append(held)
        return newer

    def merge_claims(
        self, now: float, claims: Iterable[tuple[int, int, bool]]
    ) -> None:
        """Merges versions of records whose content is known."""
        for content, version, suspect in claims:
            held = self.known.by_content(content)
            if held is None:
                # The comparison of digests brings the record.
                continue
            liveness = records.Liveness(suspect)
            record = attrs.evolve(held, version=version, liveness=liveness)
            self._merge(now, record, spread=True)

    def _merge(
        self, now: float, record: records.Record, spread: bool
    ) -> table.MergeResult:
        if table.key_of(record)[0] == self._id:
            return self._merge_own(now, record)
        if isinstance(record, records.InstanceRecord):
            record = self.detector.downgrade_reported_death(record)
        return self._store(now, record, spread)

    def _merge_own(
        self, now: float, record: records.Record
    ) -> table.MergeResult:
        """Answers a statement of others on this instance."""
        if record.incarnation > self.me.incarnation:
            return self._merge_later_incarnation(now, record)
        if record.incarnation < self.me.incarnation:
            return table.MergeResult.OLDER
        held = self.known.record(table.key_of(record))
        if held is not None and record.order() <= held.order():
            same = record.order() == held.order()
            return table.MergeResult.SAME if same else table.MergeResult.OLDER
        self._version = max(self._version, record.version)
        if isinstance(record, records.InstanceRecord):
            # A suspect has little time; a dead instance is already replaced
            # everywhere, and many may refute at once after a partition.
            suspect = record.liveness is records.Liveness.SUSPECT
            self.update_own_record(
                now, urgent=suspect and self.detector.few_suspects
            )
        else:
            gone = attrs.evolve(record, gone=True)
            self._store_own(now, self.own_targets.get(record.id, gone), False)
        return table.MergeResult.OLDER

    def _merge_later_incarnation(
        self, now: float, record: records.Record
    ) -> table.MergeResult:
        """Meets a record of a later process with the id of this instance.

        One with the same address has ended, since two processes cannot
        listen there: the time of day, from which incarnations are taken, went
        back between the two starts.
        """
        if not isinstance(record, records.InstanceRecord):
            return table.MergeResult.SAME
        if record.gossip_address != self.me.gossip_address:
            self.superseded = True
            return table.MergeResult.SAME
        targets = list(self.own_targets.values())
        incarnation = record.incarnation + 1
        me = attrs.evolve(self.me, incarnation=incarnation)
        self._store_own(now, me, urgent=True)
        for target in targets:
            updated = attrs.evolve(target, incarnation=incarnation)
            self._store_own(now, updated, urgent=True)
        return table.MergeResult.OLDER

    def _store_own(
        self, now: float, record: records.Record, urgent: bool
    ) -> None:
        self._version += 1
        record = attrs.evolve(record, version=self._version)
        self._store(now, record, spread=True)
        if urgent:
            self.urgent[table.key_of(record)] = None

    def _store(
        self, now: float, record: records.Record, spread: bool
    ) -> table.MergeResult:
        key = table.key_of(record)
        held = self.known.record(key)
        result = self.known.merge(record, now)
        if result is table.MergeResult.NEWER:
            self.changed = True
            self.detector.record_changed(key[0])
            if spread:
                known = _same_content(held, record)
                (self.claims if known else self.queue).add(key)
                self.has_new_claims = self.has_new_claims or known
        return result


def _same_content(held: records.Record | None, record: records.Record) -> bool:
    """Returns whether others can derive the record from the held one."""
    return (
        isinstance(record, records.InstanceRecord)
        and isinstance(held, records.InstanceRecord)
        and not record.departed
        and held.content() == record.content()
    )
