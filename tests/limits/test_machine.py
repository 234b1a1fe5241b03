"""Random faults in a fleet of several instances, checked after every event.

Guards against two owners of a shard, admissions beyond rate and burst, an
idempotency key that starts twice and a false "not executed".
"""

import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from cicadafront.config import model as config_model
from cicadafront.emulator import fleet as fleets
from cicadafront.emulator import virtual
from cicadafront.limits import claims, shards
from tests.limits import checks

INSTANCES = 4
SHARDS = 2
ACCOUNTS = (
    config_model.ClientAccount("amani", 0.5, 2),
    config_model.ClientAccount("baraka", 30, 40),
)
# Faults of the owner or deputy of a shard reveal more bugs than faults of
# random instances.
ROLES = ("owner0", "deputy0", "owner1", "other")
NODES = st.sampled_from(ROLES)
PLACES = st.sampled_from((*ROLES, virtual.STORE))
NAMES = st.sampled_from([account.id for account in ACCOUNTS])


class FaultMachine(stateful.RuleBasedStateMachine):
    """A small virtual fleet with injected faults."""

    def __init__(self):
        super().__init__()
        patch = mock.patch.object(shards, "SHARDS", SHARDS)
        patch.start()
        self._patch = patch

    def teardown(self):
        self._patch.stop()
        if hasattr(self, "log"):
            self.log.close()

    @stateful.initialize(seed=st.integers(0, 1000))
    def boot(self, seed):
        self.fleet = fleets.Fleet(seed, INSTANCES, 2, checks.DRIFT, ACCOUNTS)
        self.watched = checks.Watched(self.fleet)
        self.log = checks.LogCheck()
        self.watched.advance(5)

    def place(self, role):
        """Returns the instance that has a role by the store's claims."""
        if role == virtual.STORE:
            return role
        if role == "other":
            return self.fleet.world.rng.choice(sorted(self.fleet.nodes))
        item = self.fleet.store.items.get(claims.owner_key(int(role[-1])))
        if item is None:
            return "i0"
        claim = claims.decode(item.value)
        if role.startswith("owner") or claim.deputy is None:
            return claim.owner.id
        return claim.deputy.id

    def node(self, role):
        """Returns the process of the instance that has a role."""
        return self.fleet.nodes[self.place(role)]

    @stateful.rule(seconds=st.sampled_from([0.1, 0.7, 2, 4, 5.5, 8]))
    def advance(self, seconds):
        self.watched.advance(seconds)

    @stateful.rule(account=NAMES, count=st.sampled_from([1, 5, 60]), at=NODES)
    def burst(self, account, count, at):
        for _ in range(count):
            self.watched.admit(self.node(at), account)
        self.watched.advance(0.05)

    @stateful.rule(account=NAMES)
    def spread(self, account):
        for _ in range(4):
            for node in self.fleet.nodes.values():
                for _ in range(3):
                    self.watched.admit(node, account)
            self.watched.advance(0.5)

    @stateful.rule(
        account=NAMES,
        key=st.sampled_from("pqr"),
        at=st.lists(NODES, max_size=3),
    )
    def begin(self, account, key, at):
        for node in at:
            self.watched.begin(self.node(node), account, key)
        self.watched.advance(0.3)

    @stateful.rule(
        data=st.data(), how=st.sampled_from(["finish", "release", "abandon"])
    )
    def end(self, data, how):
        if self.watched.runs:
            run = data.draw(st.sampled_from(self.watched.runs))
            self.watched.end(run, how)

    @stateful.rule(at=NODES, silent=st.booleans())
    def crash(self, at, silent):
        self.node(at).process.crash(silent)

    @stateful.rule(at=NODES)
    def restart(self, at):
        self.fleet.restart(self.place(at))

    @stateful.rule(at=NODES)
    def stop(self, at):
        node = self.node(at)
        node.process.run(node.limits.stop)
        self.watched.advance(1)

    @stateful.rule(
        cut=st.booleans(),
        whole=st.booleans(),
        loss=st.sampled_from([0.0, 0.3]),
        seconds=st.sampled_from([0.1, 0.3, 0.6, 1, 3, 8]),
        account=NAMES,
        key=st.sampled_from("vwx"),
    )
    def stop_all(self, cut, whole, loss, seconds, account, key):
        """All instances stop as planned; all or one owner start again.

        The owner may have kept begins in memory, and stops may be cut short.
        """
        self.heal()
        role = f"owner{shards.shard_of(account)}"
        owner = self.place(role)
        if cut:
            self.cut_from_store(role, True)
            self.watched.advance(9)
        for node in self.fleet.nodes.values():
            self.watched.begin(node, account, key)
        self.spread(account)
        self.fleet.heal()
        self.fleet.world.loss = loss
        for node in self.fleet.nodes.values():
            node.process.run(node.limits.stop)
        self.watched.advance(seconds)
        self.fleet.world.loss = 0.0
        for id in list(self.fleet.nodes) if whole else [owner]:
            self.fleet.restart(id)
        self.spread(account)
        for node in self.fleet.nodes.values():
            self.watched.begin(node, account, key)
        self.spread(account)

    @stateful.rule(at=NODES)
    def pause(self, at):
        self.node(at).process.pause()

    @stateful.rule()
    def resume(self):
        for node in self.fleet.nodes.values():
            node.process.resume()

    @stateful.rule(sender=PLACES, receiver=PLACES)
    def block(self, sender, receiver):
        pair = (self.place(sender), self.place(receiver))
        self.fleet.world.blocked.add(pair)

    @stateful.rule(at=NODES, both=st.booleans())
    def cut_from_store(self, at, both):
        place = self.place(at)
        self.fleet.world.blocked.add((virtual.STORE, place))
        if both:
            self.fleet.world.blocked.add((place, virtual.STORE))

    @stateful.rule()
    def cut_answers_of_store(self):
        for number in range(INSTANCES):
            self.fleet.world.blocked.add((virtual.STORE, f"i{number}"))

    @stateful.rule()
    def heal(self):
        """Ends all faults, so that later ones meet a working fleet."""
        self.fleet.heal()
        self.fleet.store.up = True
        self.network(0.0, 0.0, (0.0005, 0.002))
        for id, node in list(self.fleet.nodes.items()):
            node.process.resume()
            if not node.process.running or node.limits.ownership.core.stopping:
                self.fleet.restart(id)
        self.watched.advance(6)

    @stateful.rule(
        cut=st.booleans(),
        account=NAMES,
        key=st.sampled_from("stu"),
        silent=st.booleans(),
    )
    def lose_owner(self, cut, account, key, silent):
        """An owner is lost after a begin, perhaps cut off from the store."""
        self.heal()
        owner = self.place(f"owner{shards.shard_of(account)}")
        if cut:
            self.cut_from_store(f"owner{shards.shard_of(account)}", True)
            self.watched.advance(9)
        for node in self.fleet.nodes.values():
            self.watched.begin(node, account, key)
        self.spread(account)
        self.fleet.nodes[owner].process.crash(silent)
        self.spread(account)
        self.watched.advance(9)
        for node in self.fleet.nodes.values():
            self.watched.begin(node, account, key)
        self.spread(account)

    @stateful.rule(up=st.booleans())
    def store(self, up):
        self.fleet.store.up = up

    @stateful.rule(data=st.data())
    def lapse(self, data):
        """A lease ends early, as when its renewals came late."""
        leases = sorted(self.fleet.store.leases)
        if leases:
            lease = data.draw(st.sampled_from(leases))
            _, ttl = self.fleet.store.leases[lease]
            now = self.fleet.world.clock.seconds()
            self.fleet.store.leases[lease] = (now + ttl, ttl)
            self.fleet.store.no_renewal.add(lease)

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.05, 0.3]),
        duplication=st.sampled_from([0.0, 0.2]),
        delay=st.sampled_from([(0.0005, 0.002), (0.0, 0.4), (0.5, 3.0)]),
    )
    def network(self, loss, duplication, delay):
        self.fleet.world.loss = loss
        self.fleet.world.duplication = duplication
        self.fleet.world.delay = delay


FaultTest = FaultMachine.TestCase
FaultTest.settings = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

if __name__ == "__main__":
    unittest.main()
