"""Tracks which instances run a newer configuration than this one.

The logic does no I/O.
"""

import random
from collections.abc import Callable

# Maximum number of instances tracked; a few are enough to catch up.
MAX_INSTANCES = 64


Reachable = Callable[[str], bool]


class NewerPeers:
    """Tracks the instances with a newer revision and picks one to query.

    Attributes:
        newest: Highest revision that any instance reported.
        since: Time in seconds at which the first of them reported a newer
            revision, None while there is none.

    Args:
        rng: Random source for picking instances.
    """

    def __init__(self, rng: random.Random):
        self.newest = 0
        self.since: float | None = None
        self._rng = rng
        self._revisions: dict[str, int] = {}
        self._rejected_revision = 0

    def add(self, now: float, instance: str, revision: int) -> bool:
        """Adds an instance that has a newer revision.

        Returns:
            Whether it is the first one.
        """
        self.newest = max(self.newest, revision)
        known = instance in self._revisions
        full = len(self._revisions) >= MAX_INSTANCES
        if revision <= self._rejected_revision or (full and not known):
            return False
        self._revisions[instance] = revision
        first = self.since is None
        if first:
            self.since = now
        return first

    def discard_until(self, revision: int) -> None:
        """Removes the instances that have no newer revision than this one."""
        least = max(revision, self._rejected_revision)
        self._revisions = {
            instance: newer
            for instance, newer in self._revisions.items()
            if newer > least
        }
        if not self._revisions:
            self.since = None

    def reject(self, revision: int) -> None:
        """Ignores revisions up to one whose document is invalid here."""
        self._rejected_revision = max(self._rejected_revision, revision)
        self.discard_until(self._rejected_revision)

    def pop(self, reachable: Reachable) -> tuple[str | None, int]:
        """Removes and returns an instance to query and its revision.

        Instances that are reachable are preferred: one that reports a
        revision may be unreachable, because a path may fail in one direction.

        The instance is added again by its next message, so that one that does
        not answer does not keep the others from being queried.

        Returns:
            The instance and its revision, or None and 0 if there is none.
        """
        if not self._revisions:
            return None, 0
        found = [each for each in self._revisions if reachable(each)]
        instance = self._rng.choice(found or list(self._revisions))
        return instance, self._revisions.pop(instance)
