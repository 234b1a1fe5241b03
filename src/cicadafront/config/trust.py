"""Decides which instances watch the store and when keys may be accepted.

Evidence is a time at which the store had no revision newer than the one active
on this instance. Watchers get it from the store; other instances get its age
from peers. An instance accepts keys while its evidence is younger than 4 s, so
that a key revoked at time T is rejected everywhere by T + 4 s.
"""

import hashlib
from collections.abc import Iterable

from cicadafront import ports

MAX_EVIDENCE_SECONDS = 4.0
WATCHERS_PER_DATA_CENTRE = 3
# A tree of width 16 reaches the 217 instances of a data centre in 2 levels
# below the watchers; each level adds about 1.1 s to the age of the evidence.
TREE_WIDTH = 16
# Longer than gossip needs to detect a partition, so that an instance that is
# being partitioned does not shrink the set of which it must reach a majority.
KNOWN_INSTANCE_SECONDS = 60.0
# Minimum number of queries, if there are that many peers, from which the share
# of reachable peers is estimated.
MIN_QUERIES = 8


def ranking(
    instances: Iterable[ports.InstanceInfo], data_centre: str
) -> list[str]:
    """Returns the live instances of a data centre, ordered by hash of id."""
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
    """Returns the peer that an instance gets evidence from.

    Returns None for watchers, which get it from the store.
    """
    rank = ranked.index(id) if id in ranked else len(ranked)
    if rank < WATCHERS_PER_DATA_CENTRE:
        return None
    return ranked[(rank - WATCHERS_PER_DATA_CENTRE) // TREE_WIDTH]


class Trust:
    """Decides whether the keys of the configuration may be accepted.

    All times are in seconds.
    """

    def __init__(self) -> None:
        self._evidence: float | None = None
        self._newest_revision = 0
        # Time of the last query to each peer, and whether it was answered.
        self._query_results: dict[str, tuple[float, bool]] = {}
        # Time at which each known instance was last alive.
        self._last_alive: dict[str, float] = {}
        self._majority = False

    def add_evidence(self, at: float) -> None:
        """Records that no newer revision existed at a time."""
        if self._evidence is None or at > self._evidence:
            self._evidence = at

    def record_query(self, now: float, peer: str, answered: bool) -> None:
        """Records whether a peer answered a query."""
        self._query_results[peer] = now, answered

    def least_recently_asked(self, peers: list[str], count: int) -> list[str]:
        """Returns the peers that have not been queried for the longest time."""
        never = (float("-inf"), False)
        return sorted(
            peers, key=lambda p: self._query_results.get(p, never)[0]
        )[:count]

    def observe_revision(self, revision: int) -> None:
        """Records that a revision exists on some instance or in the store."""
        self._newest_revision = max(self._newest_revision, revision)

    def age(self, now: float) -> float:
        """Returns the age of the evidence in seconds; infinite without any."""
        if self._evidence is None:
            return float("inf")
        return max(0.0, now - self._evidence)

    def is_fresh(self, now: float) -> bool:
        """Returns whether the evidence alone is recent enough."""
        return self.age(now) < MAX_EVIDENCE_SECONDS

    def observe_instances(
        self, now: float, revision: int, instances: list[ports.InstanceInfo]
    ) -> None:
        """Updates the live and the known instances.

        The set of known instances is updated only while this instance may
        accept keys: a partitioned minority keeps the set from before the
        partition.
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
        """Estimates whether a majority of the known instances is reachable.

        Gossip may take longer than 4 s to detect a partition. Therefore the
        number of instances that it considers alive is multiplied by the share
        of recently queried peers that answered; in a small fleet all peers
        are queried.
        """
        known = self._last_alive.keys() - leaving
        known_alive = known & alive
        results = [
            answered
            for id, (_, answered) in self._query_results.items()
            if id in known_alive
        ]
        enough = len(results) >= min(len(known_alive) - 1, MIN_QUERIES)
        # This instance counts as reachable.
        answered_share = (sum(results) + 1) / (len(results) + 1)
        self._majority = enough and 2 * len(known_alive) * answered_share > len(
            known
        )

    def adopt_known_instances(self, now: float, known: Iterable[str]) -> None:
        """Sets the known instances at startup, once a trusted peer answered.

        An instance that starts during an outage of the store has no evidence
        of its own and would otherwise reject keys until the outage ends.
        """
        if not self._last_alive:
            self._last_alive = dict.fromkeys(known, now)

    def confirmed(self, now: float, revision: int) -> bool:
        """Returns whether keys of the active revision may be accepted.

        Without recent evidence they may be if no newer revision is known and
        a majority of the known instances is reachable.
        """
        if revision <= 0:
            return False
        if self.is_fresh(now):
            return True
        return revision >= self._newest_revision and self._majority
