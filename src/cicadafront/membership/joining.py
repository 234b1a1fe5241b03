"""Selection of the seed addresses that an instance contacts; free of I/O."""

import random
from collections.abc import Container, Iterable

from cicadafront.membership import records

# Number of addresses contacted at once. After a failure of many instances, most
# of the addresses are stale.
BATCH_SIZE = 5
# Time between two batches of a round. Every address is contacted even if peers
# are already known, since these peers may only be instances that started at the
# same time and have not found the rest of the fleet either.
BATCH_INTERVAL_SECONDS = 1.0
# Upper limit of the time between two rounds once peers are known; the time
# doubles with each round. The rounds never stop entirely, so that two parts of
# the fleet that have removed each other's records merge again.
MAX_ROUND_INTERVAL_SECONDS = 60.0


class Seeds:
    """Returns seed addresses in batches, in a new random order each round.

    Args:
        addresses: Seed addresses, without that of this instance.
        rng: Random generator that shuffles the addresses.

    Attributes:
        addresses: The seed addresses without duplicates.
    """

    def __init__(
        self, addresses: Iterable[records.Address], rng: random.Random
    ):
        self._rng = rng
        self._remaining: list[records.Address] = []
        self._round_interval = BATCH_INTERVAL_SECONDS
        self.replace(addresses)

    def replace(self, addresses: Iterable[records.Address]) -> None:
        """Replaces the addresses and starts a new round."""
        self.addresses = list(dict.fromkeys(addresses))
        self._round_interval = BATCH_INTERVAL_SECONDS
        self._start_round()

    def next_batch(
        self, known: Container[records.Address], alone: bool
    ) -> tuple[list[records.Address], float]:
        """Returns the addresses to contact now and the seconds until the next.

        Args:
            known: Addresses of live instances, which are left out.
            alone: Whether no other instance is known.
        """
        batch: list[records.Address] = []
        while self._remaining and len(batch) < BATCH_SIZE:
            address = self._remaining.pop()
            if address not in known:
                batch.append(address)
        if self._remaining:
            return batch, BATCH_INTERVAL_SECONDS
        self._start_round()
        if alone:
            return batch, BATCH_INTERVAL_SECONDS
        interval = self._round_interval
        self._round_interval = min(MAX_ROUND_INTERVAL_SECONDS, 2 * interval)
        return batch, interval

    def _start_round(self) -> None:
        self._remaining = list(self.addresses)
        self._rng.shuffle(self._remaining)
