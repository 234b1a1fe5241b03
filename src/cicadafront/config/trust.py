"""Rules for who watches the store and when keys may be honoured.

Evidence is a time at which the store held no revision newer than the one in
force here. Watchers get it from the store; others get its age from peers. An
instance honours keys while its evidence is younger than 4 s, so that a key
revoked at time T is refused everywhere by T + 4 s.
"""

import hashlib
from collections.abc import Iterable

from cicadafront import ports

MAX_EVIDENCE_SECONDS = 4.0
WATCHERS_PER_DATA_CENTRE = 3
# A tree of width 16 reaches the 217 instances of a data centre in 2 steps
# below the watchers, each of which adds about 1.1 s to the evidence's age.
TREE_WIDTH = 16
# Longer than gossip needs to notice a partition, so that an instance that is
# being cut off does not shrink the set whose majority it must hear.
KNOWN_INSTANCE_SECONDS = 60.0
# Answers needed, if there are that many peers, to estimate how many are heard.
MIN_QUERIES = 8


def ranking(
    instances: Iterable[ports.InstanceInfo], data_centre: str
) -> list[str]:
    """Returns the live instances of a data centre by hash of their id."""
    ids = [
        info.id
        for info in instances
        if info.alive and not info.leaving and info.data_centre == data_centre
    ]
    return sorted(ids, key=lambda id: (_hash(data_centre, id), id))


def _hash(data_centre: str, id: str) -> bytes:
    return hashlib.sha256(f"{data_centre}/{id}".encode()).digest()


def watchers(ranked: list[str]) -> list[str]:
    """Returns the instances of a ranking that watch the store."""
    return ranked[:WATCHERS_PER_DATA_CENTRE]


def evidence_source(ranked: list[str], id: str) -> str | None:
    """Returns whom an instance asks for evidence; None for watchers."""
    rank = ranked.index(id) if id in ranked else len(ranked)
    if rank < WATCHERS_PER_DATA_CENTRE:
        return None
    return ranked[(rank - WATCHERS_PER_DATA_CENTRE) // TREE_WIDTH]


class Trust:
    """Decides whether the keys of the configuration may be honoured."""

    def __init__(self) -> None:
        self._evidence: float | None = None
        self._newest_revision = 0
        # Time and result of the last question to each peer.
        self._query_results: dict[str, tuple[float, bool]] = {}
        # Time at which each known instance was last seen alive.
        self._last_alive: dict[str, float] = {}
        self._majority = False

    def add_evidence(self, at: float) -> None:
        """Notes that no newer revision existed at a time."""
        if self._evidence is None or at > self._evidence:
            self._evidence = at

    def record_query(self, now: float, peer: str, answered: bool) -> None:
        """Notes whether a peer has answered."""
        self._query_results[peer] = now, answered

    def least_recently_asked(self, peers: list[str], count: int) -> list[str]:
        """Returns the peers whose last question is longest ago."""
        never = (float("-inf"), False)
        return sorted(
            peers, key=lambda p: self._query_results.get(p, never)[0]
        )[:count]

    def observe_revision(self, revision: int) -> None:
        """Notes that a revision exists somewhere."""
        self._newest_revision = max(self._newest_revision, revision)

    def age(self, now: float) -> float:
        """Returns the age of the evidence in seconds; infinite if none."""
        if self._evidence is None:
            return float("inf")
        return max(0.0, now - self._evidence)

    def is_fresh(self, now: float) -> bool:
        """Tells whether the evidence is young enough by itself."""
        return self.age(now) < MAX_EVIDENCE_SECONDS

    def observe_instances(
        self, now: float, revision: int, instances: list[ports.InstanceInfo]
    ) -> None:
        """Notes which instances live.

        The set of known instances follows only while this instance is
        trusted: a minority keeps the set from before it was cut off.
        """
        alive = {info.id for info in instances if info.alive}
        leaving = {info.id for info in instances if info.leaving}
        self._query_results = {
            id: result
            for id, result in self._query_results.items()
            if result[0] > now - MAX_EVIDENCE_SECONDS
        }
        self._update_majority(alive, leaving)
        if not self.confirmed(now, revision):
            return
        self._last_alive |= dict.fromkeys(alive, now)
        self._last_alive = {
            id: seen
            for id, seen in self._last_alive.items()
            if seen >= now - KNOWN_INSTANCE_SECONDS
        }
        self._update_majority(alive, leaving)

    def _update_majority(self, alive: set[str], leaving: set[str]) -> None:
        """Estimates whether a majority of the known instances is heard.

        Gossip may need longer than 4 s to notice a partition. So the number
        of those it holds for alive is multiplied by the share of recently
        asked peers that have answered; in a small fleet these are all.
        """
        known = self._last_alive.keys() - leaving
        known_alive = known & alive
        results = [
            answered
            for id, (_, answered) in self._query_results.items()
            if id in known_alive
        ]
        enough = len(results) >= min(len(known_alive) - 1, MIN_QUERIES)
        # This instance hears itself.
        answered_share = (sum(results) + 1) / (len(results) + 1)
        self._majority = enough and 2 * len(known_alive) * answered_share > len(
            known
        )

    def adopt_known_instances(self, now: float, known: Iterable[str]) -> None:
        """Takes over the known instances from a trusted peer at the start.

        Instances that start during an outage of the store have no evidence
        of their own and would otherwise refuse until its end.
        """
        if not self._last_alive:
            self._last_alive = dict.fromkeys(known, now)

    def confirmed(self, now: float, revision: int) -> bool:
        """Tells whether keys of the revision in force may be honoured."""
        if revision <= 0:
            return False
        if self.is_fresh(now):
            return True
        return revision >= self._newest_revision and self._majority
