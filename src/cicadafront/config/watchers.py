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
# Only a new watch reveals that existing ones have stalled, so the instances
# renew their watches in turn, one of them at this interval.
RENEWAL_SECONDS = 0.8
# Longest and shortest period at which one instance renews its watch. The
# longest is below the store's maximum wait of 30 s.
MAX_PERIOD_SECONDS = 25.0
MIN_PERIOD_SECONDS = 2.0
# A turn is skipped if it comes sooner than this after the start of a watch.
MIN_WATCH_SECONDS = 0.5


def select(instances: Iterable[str]) -> set[str]:
    """Returns the instances that watch, of all instances that are alive.

    The departure of one instance changes at most one other's selection.
    """
    found = set(instances)
    number = max(MIN_WATCHERS, math.ceil(len(found) / INSTANCES_PER_WATCHER))
    if len(found) <= number:
        return found
    return set(sorted(found, key=_rank)[:number])


def seconds_to_turn(
    instance: str, watching: Iterable[str], settled: bool, wall: float
) -> float:
    """Returns the seconds until an instance's turn to renew its watch.

    Turns are based on wall-clock time, since a change of the watched key ends
    the watches of all instances at once.

    Args:
        instance: Id of the instance.
        watching: Ids of the instances that watch.
        settled: Whether the instance has known the fleet for long enough to
            rely on the number of watchers.
        wall: Wall-clock time in seconds.
    """
    ids = sorted({instance, *watching})
    period = MAX_PERIOD_SECONDS
    if settled:
        period = max(MIN_PERIOD_SECONDS, len(ids) * RENEWAL_SECONDS)
        period = min(MAX_PERIOD_SECONDS, period)
    turn = period * ids.index(instance) / len(ids)
    wait = (turn - wall) % period
    return wait if wait >= MIN_WATCH_SECONDS else wait + period


def _rank(instance: str) -> bytes:
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()
