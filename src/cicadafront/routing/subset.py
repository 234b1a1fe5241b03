"""Subsetting: the instances and targets an entry uses, by rendezvous hash."""

import hashlib
from collections.abc import Iterable, Mapping, Sequence

from cicadafront import model

# Links that an entry keeps to preferred instances; the limit of links is 256.
PREFERRED_INSTANCES = 192
MIN_TARGETS = 4
MAX_TARGETS = 16


def score(entry: str, name: str) -> bytes:
    """Returns the rendezvous hash of a name; the highest ranks first."""
    return hashlib.blake2b(
        name.encode(), key=entry.encode()[:64], digest_size=8
    ).digest()


def preferred_instances(
    entry: str,
    data_centres: Mapping[str, str],
    count: int = PREFERRED_INSTANCES,
) -> frozenset[str]:
    """Returns the highest-ranked instances, taken in turn by data centre.

    Args:
        entry: Id of the instance that acts as entry.
        data_centres: Data centre of each instance.
        count: Maximum number of instances.
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

    These are the targets on preferred instances, at most `MAX_TARGETS`. If
    they are fewer than `MIN_TARGETS`, others are added by rendezvous hash.
    """
    preferred_set = frozenset(preferred)
    ranked = sorted(
        targets,
        key=lambda target: (
            target.instance in preferred_set,
            score(entry, target.id),
        ),
        reverse=True,
    )
    preferred_count = sum(
        target.instance in preferred_set for target in targets
    )
    return ranked[: min(MAX_TARGETS, max(MIN_TARGETS, preferred_count))]
