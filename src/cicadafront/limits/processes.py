"""Proofs that a process has ended.

A timeout proves nothing: a process that is paused or cut off goes on later.
"""

import math

from cicadafront import ports
from cicadafront.limits import claims

PROBE_SECONDS = 0.5


class ProcessTracker:
    """Processes that certainly no longer run.

    Proof is a newer incarnation of the instance, or a refused connection to
    the peer address; a daemon opens its listener before it claims anything
    and closes it after it has stopped acting.
    """

    def __init__(self):
        self._newest: dict[str, int] = {}
        self._proved: set[tuple[str, int]] = set()
        self._leased: set[tuple[str, int]] = set()
        self._probe_at: dict[tuple[str, int], float] = {}

    def observe(self, info: ports.InstanceInfo) -> None:
        """Notes the incarnation of an instance."""
        known = self._newest.get(info.id, -1)
        self._newest[info.id] = max(known, info.incarnation)

    def mark_ended(self, member: claims.Member) -> None:
        """Notes that a connection to the process was refused."""
        self._proved.add(member.process)

    def set_leased(self, processes: set[tuple[str, int]]) -> None:
        """Notes which processes have a live lease in the store."""
        self._leased = processes

    def has_ended(self, member: claims.Member) -> bool:
        """Tells whether the process has certainly ended."""
        newest = self._newest.get(member.id, -1)
        return newest > member.incarnation or member.process in self._proved

    def has_lease(self, member: claims.Member) -> bool:
        """Tells whether the process had a lease when leases were read."""
        return member.process in self._leased

    def probe_due(self, now: float, member: claims.Member) -> bool:
        """Tells whether to try a connection, and notes the attempt."""
        if not member.port or self.has_ended(member):
            return False
        if now < self._probe_at.get(member.process, -math.inf):
            return False
        self._probe_at[member.process] = now + PROBE_SECONDS
        return True
