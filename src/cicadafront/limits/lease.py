"""The store lease of a process that owns or may own shards."""

import math
import random

from cicadafront.limits import actions
from cicadafront.limits.schedule import Schedule

RENEW_SECONDS = 1.5


class Lease:
    """Creates and renews a lease and tracks its last confirmation.

    Attributes:
        id: Live lease whose key is in the store, or None.
        confirmed_at: Send time of the latest request that the store
            confirmed, in seconds of this process's clock.
    """

    def __init__(self, schedule: Schedule, rng: random.Random):
        self.id: str | None = None
        self.confirmed_at = -math.inf
        self._schedule = schedule
        self._rng = rng
        self._new: tuple[str, float] | None = None

    def granted(self, now: float, sent: float, lease: str) -> None:
        """Records a new lease; it is used once its key is written."""
        self._schedule.done("lease", now)
        self._new = (lease, sent)

    def key_written(self, now: float, lease: str) -> None:
        """Starts to use the new lease."""
        self._schedule.done("lease", now)
        if self._new is not None and self._new[0] == lease:
            self.id, self.confirmed_at = self._new
            self._new = None

    def renewed(self, sent: float, lease: str) -> bool:
        """Records a renewal; returns whether it was for the current lease."""
        jitter = self._rng.uniform(0.9, 1)
        self._schedule.done("lease", sent + jitter * RENEW_SECONDS)
        if lease != self.id:
            return False
        self.confirmed_at = max(self.confirmed_at, sent)
        return True

    def lost(self, now: float, lease: str) -> None:
        """Drops a lease that has expired in the store."""
        self._schedule.done("lease", now)
        if lease == self.id:
            self.id = None
            self.confirmed_at = -math.inf
        if self._new is not None and self._new[0] == lease:
            self._new = None

    def age(self, now: float) -> float:
        """Returns the seconds since the latest confirmed request was sent."""
        return now - self.confirmed_at

    def due_actions(self, now: float) -> list[actions.Action]:
        """Returns the store call that is due, if any."""
        if not self._schedule.begin(now, "lease"):
            return []
        if self._new is not None:
            return [actions.WriteLeaseKey(self._new[0])]
        if self.id is None:
            return [actions.GrantLease()]
        return [actions.RenewLease(self.id)]
