"""Selects the instances that watch the store for new configurations.

Each new revision ends all watches. If every instance watched, each revision
would cost as many calls as there are instances. In a large fleet only some
watch; the others learn of a revision by gossip and fetch it from one of these.
The selection needs no agreement: an instance that knows another set of
instances than its peers may watch needlessly, or may not watch while enough
others do.
"""

import hashlib
import math
from collections.abc import Iterable

# Fleets of up to this size watch as a whole. So many watches are spread over
# all data centres, and enough remain while the store rejects some machines.
MIN_WATCHERS = 32
# A watcher of a larger fleet passes a revision on to about as many instances.
INSTANCES_PER_WATCHER = 8


def select(instances: Iterable[str]) -> set[str]:
    """Returns the instances that watch, of all instances that are alive.

    The departure of one instance changes at most one other's selection.
    """
    found = set(instances)
    number = max(MIN_WATCHERS, math.ceil(len(found) / INSTANCES_PER_WATCHER))
    if len(found) <= number:
        return found
    return set(sorted(found, key=_rank)[:number])


def _rank(instance: str) -> bytes:
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()
