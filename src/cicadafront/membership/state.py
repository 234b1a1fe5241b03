"""State of the gossip core: the record table and what depends on it."""

import random
from collections.abc import Callable, Iterable

import attrs

from cicadafront import model
from cicadafront.membership import (
    dissemination,
    failure_detector,
    pace,
    records,
    table,
)

# Called with the id of the owner, the id of the target and its incarnation.
DepartureHandler = Callable[[str, str, int], None]

_URGENT_STATES = (model.TargetState.EJECTED, model.TargetState.LEAVING)


@attrs.define
class Learned:
    """What the datagrams of other instances have added to the table.

    Changes of liveness do not count, since each instance judges it itself.

    Attributes:
        records: Number of records that were new or newer.
        new_bytes: Upper bound of the encoded size of those of which no version
            was known.
    """

    records: int = 0
    new_bytes: int = 0


class State:
    """The record table, and the queues and detector that its changes update.

    Attributes:
        known: Table of all records.
        queue: Records to piggyback on probes.
        claims: Instance records of which only a claim is piggybacked.
        detector: Failure detector.
        urgent: Keys of records to broadcast with the next tick.
        changed: Whether the table changed since the flag was cleared.
        has_new_claims: Whether claims were queued since the flag was cleared.
        superseded: Whether a process with the same id, a higher incarnation
            and another address was seen.
        broadcast_all_changes: Whether every change of a target is broadcast
            while the fleet is calm.
        pace: Decides how changes are spread.
        departure_handlers: Called when a target of another instance leaves.
        learned: What other instances have added to the table.
    """

    def __init__(
        self,
        me: records.InstanceRecord,
        rng: random.Random,
        now: float,
        own_pace: pace.Pace,
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
        self.pace = own_pace
        self.learned = Learned()
        # Keys of own records to broadcast if the fleet is calm.
        self._announced: dict[table.Key, None] = {}
        self.departure_handlers: list[DepartureHandler] = []
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
        """The targets of this instance by id, removed ones included."""
        return self.known.members[self._id].targets

    def update_own_record(
        self,
        now: float,
        *,
        leaving: bool = False,
        liveness: records.Liveness = records.Liveness.ALIVE,
        urgent: bool = True,
    ) -> None:
        """Stores this instance's own record with a higher version."""
        leaving = leaving or self.me.leaving
        record = attrs.evolve(self.me, leaving=leaving, liveness=liveness)
        self._store_own(now, record, urgent)

    def announce(self, now: float, record: records.TargetRecord) -> None:
        """Announces a target of this instance if its record changed."""
        if self.me.leaving:
            # All targets of a leaving instance count as leaving.
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
                # Receivers cannot use a new target without the owner's record.
                self._announced[table.key_of(self.me)] = None
                self._announced[table.key_of(record)] = None
            self._store_own(now, record, urgent)

    def choose_spread(self, now: float) -> None:
        """Marks announced records as urgent, unless comparisons spread them."""
        if not self._announced:
            return
        match self.pace.spread(now):
            case pace.Spread.BROADCAST:
                self.urgent.update(self._announced)
                self._announced.clear()
            case pace.Spread.COMPARE:
                self._announced.clear()

    def apply_transition(
        self, now: float, record: records.InstanceRecord
    ) -> None:
        """Stores a change of liveness that this instance detected."""
        # Each instance detects death itself, by its own suspicion timeout.
        suspect = record.liveness is records.Liveness.SUSPECT
        self._store(now, record, spread=suspect)

    def merge(
        self, now: float, items: Iterable[records.Record], spread: bool
    ) -> list[records.Record]:
        """Merges received records.

        Args:
            now: The current time in seconds.
            items: The records.
            spread: Whether to queue newer records for dissemination.

        Returns:
            Records of the table that are newer than the received ones.
        """
        newer = []
        for record in items:
            held = self.known.record(table.key_of(record))
            result = self._merge(now, record, spread)
            if result is table.MergeResult.NEWER:
                self._count(held, record)
            elif result is table.MergeResult.OLDER:
                held = self.known.record(table.key_of(record))
                if held is not None:
                    newer.append(held)
        return newer

    def _count(
        self, held: records.Record | None, record: records.Record
    ) -> None:
        if held is None or held.digest() != record.digest():
            self.learned.records += 1
        if held is None:
            self.learned.new_bytes += dissemination.estimated_size(record)

    def merge_claims(
        self, now: float, claims: Iterable[tuple[int, int, bool]]
    ) -> None:
        """Merges claims on instance records whose content is known."""
        for content, version, suspect in claims:
            held = self.known.by_content(content)
            if held is None:
                # Anti-entropy transfers the full record.
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
        """Handles a received record of this instance or of its targets.

        A record that would replace the own one, such as a suspicion, is refuted
        with a higher version. A target that this instance does not have is
        announced as removed.
        """
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
            # Only a suspicion must be refuted fast. An instance marked dead is
            # already out of use everywhere, and after a partition many may
            # refute at once.
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
        """Handles a later incarnation of the id of this instance.

        A process with the same address has ended, since two processes cannot
        listen on one address. Its incarnation is higher because incarnations
        are taken from the wall clock, which was set back between the starts.
        This instance then moves to a higher incarnation. A process with another
        address supersedes this instance.
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
            if self.detector.peers:
                self.pace.met_peers(now)
            self._notify_departure(record)
            if spread:
                known = _same_content(held, record)
                (self.claims if known else self.queue).add(key)
                self.has_new_claims = self.has_new_claims or known
        return result

    def _notify_departure(self, record: records.Record) -> None:
        if (
            isinstance(record, records.TargetRecord)
            and record.leaving_incarnation
            and record.owner != self._id
        ):
            for handler in self.departure_handlers:
                handler(record.owner, record.id, record.leaving_incarnation)


def _same_content(held: records.Record | None, record: records.Record) -> bool:
    """Returns whether a claim suffices to update the held record."""
    return (
        isinstance(record, records.InstanceRecord)
        and isinstance(held, records.InstanceRecord)
        and not record.departed
        and held.content() == record.content()
    )
