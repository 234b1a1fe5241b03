"""Failure detector: probes, suspicion timeouts and reachability of peers."""

import random
from collections.abc import Collection

import attrs

from cicadafront.membership import (
    budget,
    probing,
    records,
    suspicion,
    table,
)

# Each instance probes one other per period. Some instance then probes a dead
# one within about one period, whatever the size of the fleet.
PROBE_SECONDS = 0.5
# Share of the comparisons with peers of any data centre.
REMOTE_COMPARISONS = 0.3
# Period when urgent broadcasts have depleted the byte budget.
SLOW_PROBE_SECONDS = 2.0


def probe_period(level: float) -> float:
    """Returns the probe period in seconds at a level of the byte budget.

    Args:
        level: Fill level of the budget in bytes.
    """
    low = budget.Priority.PROBE.value
    high = budget.Priority.ORDINARY.value
    scarce = min(1.0, max(0.0, (high - level) / (high - low)))
    return PROBE_SECONDS + scarce * (SLOW_PROBE_SECONDS - PROBE_SECONDS)


class FailureDetector:
    """Detects which instances are alive and which are directly reachable.

    Attributes:
        prober: Probes in flight and states of paths.
        clock: Clock of the time that this instance was running and connected.
    """

    def __init__(
        self, known: table.Table, me: str, rng: random.Random, now: float
    ):
        self.prober = probing.Prober(rng)
        self.clock = suspicion.AwakeClock(now)
        self._suspicions = suspicion.Suspicions()
        self._known = known
        self._me = me
        self._rng = rng
        self._isolated = False

    @property
    def peers(self) -> list[str]:
        """Ids of the other instances that are not marked dead."""
        return self.prober.rotation

    @property
    def few_suspects(self) -> bool:
        """Whether suspects are few enough to broadcast refutations."""
        return self._suspicions.few_suspects

    def isolated(self, now: float) -> bool:
        """Returns whether this instance appears to be cut off."""
        return self.clock.isolated(now, len(self.peers))

    def reachable(self, id: str) -> bool:
        """Returns whether the direct path to an instance works.

        A path without recent failures counts as working.
        """
        path = self.prober.path(id)
        return (
            not self._isolated
            and path.direct_failures < probing.DIRECT_FAILURE_THRESHOLD
        )

    def tick(
        self, now: float
    ) -> tuple[list[probing.OutgoingMessage], list[records.InstanceRecord]]:
        """Advances the clock, the probes and the suspicion timeouts.

        Returns:
            Messages to send, and records of instances that become suspect or
            dead.
        """
        self.clock.tick(now, len(self.peers))
        self._isolated = self.isolated(now)
        outgoing, failed = self.prober.advance(self.clock.time, self._relays)
        transitions = []
        for id in failed:
            member = self._known.members.get(id)
            if member and member.record.liveness is records.Liveness.ALIVE:
                transitions.append((member.record, records.Liveness.SUSPECT))
        clock, peers = self.clock.time, len(self.peers)
        for id in self._suspicions.expired(clock, peers):
            member = self._known.members.get(id)
            if member and member.record.liveness is records.Liveness.SUSPECT:
                transitions.append((member.record, records.Liveness.DEAD))
        return outgoing, [
            attrs.evolve(record, liveness=liveness)
            for record, liveness in transitions
        ]

    def probe(
        self,
    ) -> tuple[probing.OutgoingMessage, records.InstanceRecord] | None:
        """Starts the next probe; returns its ping and the probed record."""
        id = self.prober.choose()
        if id is None:
            return None
        record = self._known.members[id].record
        message = self.prober.start(self.clock.time, id, record.gossip_address)
        return message, record

    def random_peers(
        self, count: int, excluded: Collection[str]
    ) -> list[records.Address]:
        """Returns gossip addresses of random instances, suspects last."""
        # Draws extra instances, since some may be excluded or suspect.
        number = min(len(self.peers), 2 * count + len(excluded))
        drawn = [
            self._known.members[id].record
            for id in self._rng.sample(self.peers, number)
            if id not in excluded
        ]
        drawn.sort(key=lambda record: record.liveness)
        return [record.gossip_address for record in drawn[:count]]

    def peer_to_compare(self) -> records.Address | None:
        """Returns a random peer, mostly one of the same data centre.

        Comparisons within a data centre need no bandwidth between data centres,
        and a few across suffice to spread a record to all of them.
        """
        members = self._known.members
        peers = self.peers
        if self._rng.random() >= REMOTE_COMPARISONS:
            here = members[self._me].record.data_centre
            near = [
                id for id in peers if members[id].record.data_centre == here
            ]
            peers = near or peers
        if not peers:
            return None
        drawn = [self._rng.choice(peers) for _ in range(2)]
        drawn.sort(key=lambda id: members[id].record.liveness)
        return members[drawn[0]].record.gossip_address

    def _relays(self, target: str) -> list[records.Address]:
        return self.random_peers(probing.RELAYS, (target,))

    def downgrade_reported_death(
        self, record: records.InstanceRecord
    ) -> records.InstanceRecord:
        """Replaces "dead" as reported by others with "suspect".

        An instance that was cut off wrongly marks all others as dead. Reports
        of death are therefore verified by probes, except for instances that
        announced their departure.
        """
        dead = record.liveness is records.Liveness.DEAD
        held = self._known.members.get(record.id)
        if not dead or record.departed or held is None:
            return record
        if held.record.liveness is records.Liveness.DEAD:
            return record
        if held.record.liveness is records.Liveness.ALIVE:
            self.prober.probe_next(record.id)
        return attrs.evolve(record, liveness=records.Liveness.SUSPECT)

    def record_changed(self, id: str) -> None:
        """Updates probes and suspicions after a change of a record."""
        if id == self._me:
            return
        member = self._known.members[id]
        if not member.usable:
            self.prober.remove(id)
            self._suspicions.cancel(id)
            return
        self.prober.add(id)
        if member.record.liveness is records.Liveness.SUSPECT:
            self._suspicions.start(self.clock.time, id)
        else:
            self._suspicions.cancel(id)
