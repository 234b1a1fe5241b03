"""Mapping of client accounts and services to shards and candidate owners.

All functions are pure. Instances with the same view of the fleet compute the
same result; a different view costs a redirect but never affects correctness.
"""

import hashlib
from collections.abc import Iterable

from cicadafront import ports

SHARDS = 256
CANDIDATES_PER_DATA_CENTRE = 8


def shard_of(name: str) -> int:
    """Returns the shard of an account id or service name."""
    return hashlib.sha256(name.encode()).digest()[0] % SHARDS


def _weight(seed: str, instance: str) -> bytes:
    return hashlib.sha256(f"{seed}\0{instance}".encode()).digest()


def candidates(
    instances: Iterable[ports.InstanceInfo],
) -> list[ports.InstanceInfo]:
    """Returns the instances that may own shards."""
    by_centre: dict[str, list[ports.InstanceInfo]] = {}
    for info in instances:
        if info.alive and not info.leaving:
            by_centre.setdefault(info.data_centre, []).append(info)
    chosen = []
    for centre, members in sorted(by_centre.items()):
        members.sort(key=lambda info: _weight(centre, info.id))
        chosen += members[:CANDIDATES_PER_DATA_CENTRE]
    return chosen


def ranked(
    shard: int, members: Iterable[ports.InstanceInfo]
) -> list[ports.InstanceInfo]:
    """Sorts candidates by rendezvous hash for a shard, best first."""
    return sorted(members, key=lambda info: _weight(str(shard), info.id))


def deputy_for(
    shard: int,
    owner: str,
    data_centre: str,
    members: Iterable[ports.InstanceInfo],
) -> ports.InstanceInfo | None:
    """Returns the highest-ranked deputy, preferring another data centre."""
    others = [info for info in ranked(shard, members) if info.id != owner]
    for info in others:
        if info.data_centre != data_centre:
            return info
    return others[0] if others else None
