"""Addresses through which an instance finds the fleet; pure."""

import random
from collections.abc import Container, Iterable

from cicadafront.membership import records

# Several addresses are asked at once: after a failure of many instances most
# of them are stale.
ASKED_AT_ONCE = 5
# Time between two groups of the first round. Each address is asked even once
# peers are known: they may be no more than those that started together.
NEXT_SECONDS = 1.0
# Longest time between two rounds once peers are known; it doubles up to this.
# Addresses are still asked now and then, so that two halves that have forgotten
# each other meet.
IDLE_SECONDS = 60.0


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
        self._left: list[records.Address] = []
        self._pause = NEXT_SECONDS
        self.replace(addresses)

    def replace(self, addresses: Iterable[records.Address]) -> None:
        """Takes the addresses known now and starts a new round."""
        self.addresses = list(dict.fromkeys(addresses))
        self._pause = NEXT_SECONDS
        self._refill()

    def take(
        self, known: Container[records.Address], alone: bool
    ) -> tuple[list[records.Address], float]:
        """Returns addresses to ask now, and the seconds until the next ones.

        Args:
            known: Addresses of live instances, which need not be asked.
            alone: Whether no other instance is known.
        """
        taken: list[records.Address] = []
        while self._left and len(taken) < ASKED_AT_ONCE:
            address = self._left.pop()
            if address not in known:
                taken.append(address)
        if self._left:
            return taken, NEXT_SECONDS
        self._refill()
        if alone:
            return taken, NEXT_SECONDS
        pause = self._pause
        self._pause = min(IDLE_SECONDS, 2 * pause)
        return taken, pause

    def _refill(self) -> None:
        self._left = list(self.addresses)
        self._rng.shuffle(self._left)
