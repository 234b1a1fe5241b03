"""Addresses through which an instance finds the fleet; pure."""

import random
from collections.abc import Container, Iterable

from cicadafront.membership import records

# Several addresses are asked at once: after a failure of many instances most
# of them are stale.
BATCH_SIZE = 5
# Time between two groups of the first round. Each address is asked even once
# peers are known: they may be no more than those that started together.
BATCH_INTERVAL_SECONDS = 1.0
# Longest time between two rounds once peers are known; it doubles up to this.
# Addresses are still asked now and then, so that two halves that have forgotten
# each other meet.
MAX_ROUND_INTERVAL_SECONDS = 60.0


class Seeds:
    """Asks addresses in rounds, each round in another order.

    Args:
        addresses: The addresses, without that of this instance.
        rng: Source of the orders.
    """

    def __init__(
        self, addresses: Iterable[records.Address], rng: random.Random
    ):
        self._rng = rng
        self._remaining: list[records.Address] = []
        self._round_interval = BATCH_INTERVAL_SECONDS
        self.replace(addresses)

    def replace(self, addresses: Iterable[records.Address]) -> None:
        """Takes the addresses known now and starts a new round."""
        self.addresses = list(dict.fromkeys(addresses))
        self._round_interval = BATCH_INTERVAL_SECONDS
        self._start_round()

    def next_batch(
        self, known: Container[records.Address], alone: bool
    ) -> tuple[list[records.Address], float]:
        """Returns addresses to ask now, and the seconds until the next ones.

        Args:
            known: Addresses of live instances, which need not be asked.
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
