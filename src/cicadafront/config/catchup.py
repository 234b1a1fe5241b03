"""Which instances run a newer configuration than this one; pure."""

import random
from collections.abc import Callable

# Instances that are remembered; a few are enough to catch up.
MAX_INSTANCES = 64


Reachable = Callable[[str], bool]


class NewerPeers:
    """Keeps the instances that are ahead, and chooses whom to ask.

    Attributes:
        newest: Highest revision that any instance told.
        since: Time at which the first of them told that it is ahead, None
            while none is.

    Args:
        rng: Source of choices.
    """

    def __init__(self, rng: random.Random):
        self.newest = 0
        self.since: float | None = None
        self._rng = rng
        self._revisions: dict[str, int] = {}
        self._rejected_revision = 0

    def add(self, now: float, instance: str, revision: int) -> bool:
        """Notes that an instance is ahead.

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
        """Forgets the instances that are not ahead of a revision."""
        least = max(revision, self._rejected_revision)
        self._revisions = {
            instance: newer
            for instance, newer in self._revisions.items()
            if newer > least
        }
        if not self._revisions:
            self.since = None

    def reject(self, revision: int) -> None:
        """Ignores a revision whose document is not valid here."""
        self._rejected_revision = max(self._rejected_revision, revision)
        self.discard_until(self._rejected_revision)

    def pop(self, reachable: Reachable) -> tuple[str | None, int]:
        """Removes and returns an instance to ask with what it told, or None.

        One that tells may still not be reached: a path may be cut in one
        direction.

        It is ahead again with its next message, so that a silent one does
        not keep the others from being asked.
        """
        if not self._revisions:
            return None, 0
        found = [each for each in self._revisions if reachable(each)]
        instance = self._rng.choice(found or list(self._revisions))
        return instance, self._revisions.pop(instance)
