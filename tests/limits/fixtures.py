"""A small virtual fleet for tests that inject specific faults."""

from collections.abc import Callable
from unittest import mock

from cicadafront.config import model as config_model
from cicadafront.emulator import fleet as fleets
from cicadafront.emulator import virtual
from cicadafront.limits import shards
from tests.limits import checks

ACCOUNT = config_model.ClientAccount("amani", 10, 40)


class FleetFixture:
    """A fleet of six instances with one shard and its current owner."""

    def __init__(self, seed: int):
        self.fleet = fleets.Fleet(seed, 6, 3, 0.0, (ACCOUNT,))
        self.watched = checks.Watched(self.fleet)
        self.watched.advance(6)
        self.owner = self.fleet.nodes[self.fleet.acting(0)[0]]
        claim = self.owner.limits.ownership.core.shards[0].claim
        self.deputy = self.fleet.nodes[claim.deputy.id]
        pair = (self.owner, self.deputy)
        self.others = [
            node for node in self.fleet.nodes.values() if node not in pair
        ]

    def cut_from_store(self, *nodes: fleets.Node) -> None:
        """Blocks all messages between nodes and the store."""
        for node in nodes:
            id = node.process.info.id
            self.fleet.world.blocked |= {
                (id, virtual.STORE),
                (virtual.STORE, id),
            }

    def send_to_others(self, rounds: int, seconds: float) -> None:
        """Sends requests to the nodes that are neither owner nor deputy.

        Args:
            rounds: Number of requests to each of these nodes.
            seconds: Interval between them.
        """
        for _ in range(rounds):
            for node in self.others:
                self.watched.admit(node, "amani")
            self.watched.advance(seconds)

    def begin_in_memory(self) -> None:
        """Cuts the owner off from the store, then begins key `k`.

        The owner keeps the begun request in memory only.
        """
        self.cut_from_store(self.owner)
        self.watched.advance(8)
        self.watched.begin(self.others[0], "amani", "k")
        self.watched.advance(6)
        assert self.watched.runs, self.watched.errors


def run(scenario: Callable[[FleetFixture], None]) -> None:
    """Runs a scenario in a fleet with one shard, for three seeds."""
    with mock.patch.object(shards, "SHARDS", 1):
        for seed in range(3):
            scenario(FleetFixture(seed))
