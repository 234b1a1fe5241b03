"""Selection of the peers with which an instance exchanges its revision."""

import random

from cicadafront import ports
from cicadafront.config import trust


class Peers:
    """Selects among the live instances of a directory.

    Args:
        directory: Known instances.
        instance: Id of this instance, which is never selected.
        data_centre: Its data centre.
        rng: Random source for the selection.
    """

    def __init__(
        self,
        directory: ports.Directory,
        instance: str,
        data_centre: str,
        rng: random.Random,
    ):
        self._directory = directory
        self._id = instance
        self._data_centre = data_centre
        self._random = rng
        self._cached_ranking: list[str] | None = None
        directory.on_change(self._invalidate_ranking)

    def known(self) -> list[ports.InstanceInfo]:
        """Returns all known instances, including dead ones."""
        return list(self._directory.instances())

    def is_watcher(self) -> bool:
        """Returns whether this instance watches the store."""
        return self._id in trust.watchers(self._ranking())

    def evidence_source(self) -> str | None:
        """Returns the peer to get evidence from; None for watchers."""
        return trust.evidence_source(self._ranking(), self._id)

    def sample(self, count: int) -> list[str]:
        """Returns up to `count` random instances of all data centres."""
        ids = [info.id for info in self._others()]
        return self._random.sample(ids, min(count, len(ids)))

    def sample_nearby(self, count: int) -> list[str]:
        """Returns random local instances and one of another data centre.

        The remote one, which comes last, lets a data centre that cannot reach
        the store learn from others. If there are too few instances of one
        kind, more of the other kind are returned.
        """
        local: list[str] = []
        remote: list[str] = []
        for info in self._others():
            is_local = info.data_centre == self._data_centre
            (local if is_local else remote).append(info.id)
        wanted = max(count - 1, count - len(remote))
        chosen = self._random.sample(local, min(len(local), wanted))
        rest = min(len(remote), count - len(chosen))
        return chosen + self._random.sample(remote, rest)

    def remote_watcher(self) -> list[str]:
        """Returns a watcher of another data centre, or an empty list."""
        others = self._others()
        centres = {info.data_centre for info in others} - {self._data_centre}
        if not centres:
            return []
        centre = self._random.choice(sorted(centres))
        found = trust.watchers(trust.ranking(others, centre))
        return [self._random.choice(found)] if found else []

    def _others(self) -> list[ports.InstanceInfo]:
        return [
            info
            for info in self._directory.instances()
            if info.alive and info.id != self._id
        ]

    def _ranking(self) -> list[str]:
        if self._cached_ranking is None:
            self._cached_ranking = trust.ranking(
                self._directory.instances(), self._data_centre
            )
        return self._cached_ranking

    def _invalidate_ranking(self) -> None:
        self._cached_ranking = None
