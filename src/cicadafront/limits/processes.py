"""Proofs that a process has ended.

A timeout is no proof: a paused or partitioned process may resume later.
"""

import math

from cicadafront import ports
from cicadafront.limits import claims

# Shortest interval between two probes of a process.
PROBE_SECONDS = 0.5


class ProcessTracker:
    """Tracks which processes are proven to have ended.

    A newer incarnation of the instance or a refused connection to the peer
    address is a proof: a daemon opens its listener before it claims any shard
    and closes it only after it has stopped acting as owner.
    """

    def __init__(self):
        self._newest: dict[str, int] = {}
        self._proved: set[tuple[str, int]] = set()
        self._leased: set[tuple[str, int]] = set()
        self._probe_at: dict[tuple[str, int], float] = {}

    def observe(self, info: ports.InstanceInfo) -> None:
        """Records the incarnation of an instance."""
        known = self._newest.get(info.id, -1)
        self._newest[info.id] = max(known, info.incarnation)

    def mark_ended(self, member: claims.Member) -> None:
        """Records that a connection to the process was refused."""
        self._proved.add(member.process)

    def set_leased(self, processes: set[tuple[str, int]]) -> None:
        """Records which processes have a live lease in the store."""
        self._leased = processes

    def has_ended(self, member: claims.Member) -> bool:
        """Returns whether the process is proven to have ended."""
        newest = self._newest.get(member.id, -1)
        return newest > member.incarnation or member.process in self._proved

    def has_lease(self, member: claims.Member) -> bool:
        """Returns whether the last read of leases found one of the process."""
        return member.process in self._leased

    def probe_due(self, now: float, member: claims.Member) -> bool:
        """Returns whether a probe is due; if so, schedules the next one."""
        if not member.port or self.has_ended(member):
            return False
        if now < self._probe_at.get(member.process, -math.inf):
            return False
        self._probe_at[member.process] = now + PROBE_SECONDS
        return True
