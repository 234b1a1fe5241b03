"""A fleet of `limits` stacks on a virtual clock, for tests and benchmarks."""

import random
from collections.abc import Callable

from cicadafront import ports
from cicadafront.config import model as config_model
from cicadafront.emulator import virtual, virtual_store, virtual_view
from cicadafront.limits import assembly, shards


class Node:
    """One incarnation of an instance with its `limits` stack."""

    def __init__(self, fleet: "Fleet", info: ports.InstanceInfo, rate: float):
        self.process = process = virtual.Process(fleet.world, info, rate)
        process.peers = virtual.Peers(process)
        self.limits = assembly.Limits(
            info,
            virtual_store.StoreClient(process, fleet.store),
            process.peers,
            virtual_view.View(process),
            process,
            random.Random(f"{fleet.seed}/{info.id}/{info.incarnation}"),
            virtual_view.prober(process),
            fleet.accounts.get,
            unix_offset=1.7e9 - process.seconds() + fleet.world.clock.seconds(),
            **fleet.options,
        )
        self.limits.start()

    def acts(self, shard: int) -> bool:
        """Returns whether the process currently acts as owner of a shard."""
        if not self.process.running:
            return False
        return self.limits.ownership.acts(shard) is not None


class Fleet:
    """Several instances and the store, in virtual time.

    Attributes:
        world: Virtual time and network.
        store: Server of the emulated store.
        nodes: Running or crashed node of each instance.
        accounts: Client accounts configured on all instances.
    """

    def __init__(
        self,
        seed: int,
        instances: int,
        data_centres: int = 3,
        drift: float = 0.0,
        accounts: tuple[config_model.ClientAccount, ...] = (),
        **options,
    ):
        self.seed = seed
        self.world = virtual.World(seed)
        self.store = virtual_store.StoreServer(self.world)
        self.accounts = {account.id: account for account in accounts}
        self.options = options
        self.nodes: dict[str, Node] = {}
        self._drift = drift
        self._incarnations = 0
        for number in range(instances):
            self.boot(f"i{number}", f"dc{number % data_centres}")

    def boot(self, id: str, data_centre: str) -> Node:
        """Starts a process; it replaces a crashed one with the same id."""
        self._incarnations += 1
        info = ports.InstanceInfo(
            id, self._incarnations, data_centre, (id, self._incarnations)
        )
        rate = 1 + self.world.rng.choice([-1, 0, 1]) * self._drift
        node = self.nodes[id] = Node(self, info, rate)
        return node

    def restart(self, id: str) -> Node:
        """Crashes an instance and starts it as a new process."""
        old = self.nodes[id]
        old.process.crash()
        return self.boot(id, old.process.info.data_centre)

    def acting(self, shard: int) -> list[str]:
        """Returns the instances that currently act as owner of a shard."""
        return [id for id, node in self.nodes.items() if node.acts(shard)]

    def owner(self, account: str) -> str | None:
        """Returns the instance that acts as owner for a client account."""
        acting = self.acting(shards.shard_of(account))
        return acting[0] if acting else None

    def advance(
        self, seconds: float, check: Callable[[], None] | None = None
    ) -> None:
        """Advances virtual time and runs all events that become due.

        Args:
            seconds: Span of virtual time.
            check: Called after each event.
        """
        self.world.advance(seconds, check)

    def split(self, some: set[str], others: set[str]) -> None:
        """Blocks all messages from `some` to `others`, in this direction."""
        for source in some:
            for target in others:
                self.world.blocked.add((source, target))

    def heal(self) -> None:
        """Ends all partitions."""
        self.world.blocked.clear()
