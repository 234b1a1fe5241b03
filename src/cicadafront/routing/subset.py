"""Which instances and targets an entry prefers, by rendezvous hash."""

import hashlib
from collections.abc import Iterable, Mapping, Sequence

from cicadafront import model

# Links that an entry keeps for its preferred targets; 256 is the limit.
PREFERRED_INSTANCES = 192
MIN_TARGETS = 4
MAX_TARGETS = 16


def score(entry: str, name: str) -> bytes:
    """Returns the rank of a name for an entry; the highest comes first."""
    return hashlib.blake2b(
        name.encode(), key=entry.encode()[:64], digest_size=8
    ).digest()


def preferred_instances(
    entry: str,
    data_centres: Mapping[str, str],
    count: int = PREFERRED_INSTANCES,
) -> frozenset[str]:
    """Returns instances in turn from each data centre, highest rank first.

    Args:
        entry: Id of the instance that routes.
        data_centres: Data centre of each instance.
        count: Number of instances.
    """
    by_centre: dict[str, list[str]] = {}
    ranked = sorted(data_centres, key=lambda name: score(entry, name))
    for name in ranked:
        by_centre.setdefault(data_centres[name], []).append(name)
    chosen: list[str] = []
    while by_centre and len(chosen) < count:
        for centre in sorted(by_centre):
            chosen.append(by_centre[centre].pop())
            if not by_centre[centre]:
                del by_centre[centre]
    return frozenset(chosen[:count])


def select(
    entry: str,
    targets: Sequence[model.Target],
    preferred: Iterable[str],
) -> list[model.Target]:
    """Returns the targets of one service that an entry uses.

    These are the targets on preferred instances, at most `MAX_TARGETS`, and
    others by rendezvous hash until there are `MIN_TARGETS`.
    """
    wanted = frozenset(preferred)
    ranked = sorted(
        targets,
        key=lambda target: (target.instance in wanted, score(entry, target.id)),
        reverse=True,
    )
    inside = sum(target.instance in wanted for target in targets)
    return ranked[: min(MAX_TARGETS, max(MIN_TARGETS, inside))]
