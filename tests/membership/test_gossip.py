"""Tests of the gossip core on a simulated network."""

import unittest

from parameterized import parameterized

from cicadafront import model
from cicadafront.membership import gossip, records
from tests.membership import network

RELIABLE = network.Conditions
LOSSY = lambda: network.Conditions(  # noqa: E731
    loss=0.1, duplication=0.1, delay=(0.0005, 0.05)
)
CONDITIONS = [("reliable", 1, RELIABLE), ("lossy", 2, LOSSY)]


def target(id: str, **changes) -> records.TargetRecord:
    """Returns a target record."""
    fields = {"service": "ledger", "address": ("", 9000), "slots": 3}
    return records.TargetRecord(id, **(fields | changes))


def liveness(node: gossip.Gossip, id: str) -> records.Liveness | None:
    """Returns the liveness that a node holds for an instance."""
    record = node.instance(id)
    return record.liveness if record else None


def all_see(net: network.Network, id: str, expected, without=()) -> bool:
    """Returns whether all other nodes hold the expected liveness."""
    return all(
        liveness(node, id) is expected
        for name, node in net.nodes.items()
        if name != id and name not in without
    )


def announce(net: network.Network, count: int) -> None:
    """Announces targets of each instance."""
    for id, node in net.nodes.items():
        for number in range(count):
            node.announce_target(net.now, target(f"{id}-t{number}"))


def converged(net: network.Network) -> bool:
    """Returns whether all nodes hold the same records."""
    views = [
        frozenset(
            record.order() + (record.id,)
            for member in node.instances()
            for record in node.records_of(member.id)
        )
        for node in net.nodes.values()
    ]
    return len(set(views)) == 1


class ConvergenceTest(unittest.TestCase):
    """Guards against instances that never receive some records.

    Datagrams are lost, duplicated and reordered. Records that no probe
    delivered must arrive by anti-entropy.
    """

    @parameterized.expand(CONDITIONS)
    def test_targets_reach_all_instances(self, _name, seed, conditions):
        net = network.Network(seed, conditions())
        nodes = net.fleet(30)
        announce(net, 3)
        net.run_until(lambda: converged(net), 60)
        self.assertTrue(all(len(n.targets("ledger")) == 90 for n in nodes))

    @parameterized.expand(CONDITIONS)
    def test_join_through_a_seed(self, _name, seed, conditions):
        net = network.Network(seed, conditions())
        first = net.start("first")
        seeds = [first.me.gossip_address]
        for number in range(9):
            net.start(f"i{number}", seeds=seeds)
        announce(net, 2)
        net.run_until(lambda: converged(net), 60)
        self.assertEqual(len(first.targets("ledger")), 20)

    def test_anti_entropy_repairs_missing_records(self):
        net = network.Network(3)
        nodes = net.fleet(4)
        announce(net, 2)
        net.run_until(lambda: converged(net), 30)
        # All datagrams that carry the new record are dropped.
        others = ["i000", "i001", "i002"]
        net.conditions.block(["i003"], others)
        nodes[3].announce_target(net.now, target("late"))
        net.run(2.5)
        net.conditions.blocked.clear()

        def holders():
            return [
                node.me.id
                for node in nodes
                if any(r.id == "late" for r in node.targets("ledger"))
            ]

        self.assertEqual(holders(), ["i003"])
        interval = nodes[3].parameters.digest_seconds
        net.run_until(lambda: len(holders()) == 4, interval)


class FailureDetectionTest(unittest.TestCase):
    """Guards against crashed instances that stay in use, and false alarms.

    A crashed instance must be marked dead within seconds. Loss and delay of
    datagrams must not get a healthy instance marked dead.
    """

    @parameterized.expand(CONDITIONS)
    def test_crash_is_detected_within_seconds(self, _name, seed, conditions):
        net = network.Network(seed, conditions())
        net.fleet(30)
        net.run(5)
        net.stop("i007")
        dead = records.Liveness.DEAD
        net.run_until(lambda: all_see(net, "i007", dead), 10)

    @parameterized.expand(CONDITIONS)
    def test_no_false_deaths_in_a_healthy_fleet(self, _name, seed, conditions):
        net = network.Network(seed, conditions())
        nodes = net.fleet(30)
        deaths = []

        def check(node):
            for record in node.instances():
                if record.liveness is records.Liveness.DEAD:
                    deaths.append((net.now, node.me.id, record.id))

        for node in nodes:
            node.on_change(lambda node=node: check(node))
        net.run(120)
        self.assertEqual(deaths, [])

    def test_targets_of_a_dead_instance_are_not_listed(self):
        net = network.Network(4)
        nodes = net.fleet(5)
        announce(net, 1)
        net.run(5)
        net.stop("i004")
        net.run_until(lambda: len(nodes[0].targets("ledger")) == 4, 10)


class OneWayTest(unittest.TestCase):
    """Guards against one-way faults that get a healthy instance marked dead.

    If datagrams pass in one direction only, direct probes fail, while relays
    still reach the instance.
    """

    @parameterized.expand(
        [
            ("cannot send", ("i000", "i001"), False, True),
            ("cannot receive", ("i001", "i000"), True, False),
        ]
    )
    def test_failing_direction_is_identified(
        self, _name, blocked, outbound, inbound
    ):
        net = network.Network(5)
        nodes = net.fleet(10)
        net.conditions.blocked.add(blocked)
        net.run(40)
        path = nodes[0].path("i001")
        self.assertEqual(
            (path.outbound_ok, path.inbound_ok), (outbound, inbound)
        )
        self.assertFalse(nodes[0].reachable("i001"))
        self.assertTrue(nodes[2].reachable("i001"))
        alive = records.Liveness.ALIVE
        self.assertTrue(all_see(net, "i001", alive))
        self.assertTrue(all_see(net, "i000", alive))
        net.conditions.blocked.clear()
        net.run_until(lambda: nodes[0].reachable("i001"), 15)

    def test_instance_without_inbound_marks_no_other_dead(self):
        net = network.Network(6)
        nodes = net.fleet(10)
        net.run(5)
        others = [f"i{n:03d}" for n in range(1, 10)]
        net.conditions.block(others, ["i000"])
        net.run(8)
        self.assertTrue(nodes[0].isolated(net.now))
        self.assertFalse(nodes[0].reachable("i001"))
        alive = records.Liveness.ALIVE
        for id in others:
            self.assertTrue(all_see(net, id, alive), id)


class PauseTest(unittest.TestCase):
    """Guards against a resumed process that marks the others dead.

    Its probes in flight seem to have timed out during the pause, and it has
    received nothing for that time.
    """

    @parameterized.expand([("short", 2.0), ("long", 30.0)])
    def test_resume_marks_no_other_dead(self, _name, seconds):
        net = network.Network(7)
        nodes = net.fleet(20)
        net.run(5)
        net.paused.add("i000")
        net.run(seconds)
        net.resume("i000")
        for _ in range(100):
            net.run(0.1)
            dead = [
                record.id
                for record in nodes[0].instances()
                if record.liveness is records.Liveness.DEAD
            ]
            self.assertEqual(dead, [])
        alive = records.Liveness.ALIVE
        net.run_until(lambda: all_see(net, "i000", alive), 20)


class VersionTest(unittest.TestCase):
    """Guards against stale records that replace newer ones.

    Stale copies come from restarted processes, delayed datagrams and instances
    that were partitioned.
    """

    def test_restart_replaces_the_old_record(self):
        net = network.Network(8)
        nodes = net.fleet(10)
        announce(net, 2)
        net.run(10)
        net.stop("i003")
        seeds = [nodes[0].me.gossip_address]
        new = net.start("i003", incarnation=2, seeds=seeds)
        new.announce_target(net.now, target("other"))
        net.run_until(lambda: converged(net), 40)
        record = nodes[1].instance("i003")
        self.assertEqual(record, new.me)
        ids = {r.id for r in nodes[1].targets("ledger") if r.owner == "i003"}
        self.assertEqual(ids, {"other"})

    def test_superseded_process_detects_its_successor(self):
        net = network.Network(9)
        nodes = net.fleet(3)
        later = records.InstanceRecord(
            "i000", 2, 1, "dar-a", ("10.9.9.9", 1), ("10.9.9.9", 2)
        )
        nodes[1].load(net.now, [later])
        net.run_until(lambda: nodes[0].superseded, 40)

    @parameterized.expand(
        [
            ("same version", {}, True),
            ("old version", {"version": 0}, True),
            ("old incarnation", {"incarnation": 0}, True),
            ("new incarnation", {"incarnation": 2}, False),
        ]
    )
    def test_only_a_new_incarnation_revives_a_dead_instance(
        self, _name, changes, dead
    ):
        net = network.Network(10)
        nodes = net.fleet(4)
        net.run(5)
        old = nodes[3].me
        net.stop("i003")
        net.run_until(lambda: all_see(net, "i003", records.Liveness.DEAD), 15)
        fields = {"version": old.version, "incarnation": old.incarnation}
        fields |= changes
        stale = records.InstanceRecord(
            old.id,
            fields["incarnation"],
            fields["version"],
            old.data_centre,
            old.peer_address,
            old.gossip_address,
        )
        nodes[0].load(net.now, [stale])
        seen = liveness(nodes[0], "i003") is records.Liveness.DEAD
        self.assertEqual(seen, dead)

    def test_stale_record_does_not_restore_a_removed_target(self):
        net = network.Network(11)
        nodes = net.fleet(4)
        announce(net, 1)
        net.run(10)
        stale = [r for r in nodes[1].targets("ledger") if r.owner == "i000"]
        nodes[0].withdraw_target(net.now, "i000-t0")
        net.run(3)
        nodes[1].load(net.now, stale)
        net.run(30)
        for node in nodes:
            owners = {record.owner for record in node.targets("ledger")}
            self.assertNotIn("i000", owners)

    def test_owner_removes_an_unknown_target_of_its_own(self):
        net = network.Network(12)
        nodes = net.fleet(4)
        net.run(1)
        foreign = target("ghost", owner="i000", incarnation=1, version=900)
        nodes[1].load(net.now, [foreign])
        net.run(40)
        self.assertTrue(all(not n.targets("ledger") for n in nodes))


class UrgentTest(unittest.TestCase):
    """Guards against requests to leaving targets, and lost key revocations.

    Both depend on urgent broadcasts, which must reach all instances within
    seconds and exactly once, also when datagrams are lost or duplicated.
    """

    @parameterized.expand(
        [
            (f"{name} {size}", seed, conditions, size)
            for name, seed, conditions in CONDITIONS
            for size in (30, 150)
        ]
    )
    def test_leaving_is_known_within_2_s(self, _name, seed, conditions, size):
        net = network.Network(seed, conditions())
        nodes = net.fleet(size)
        leaving_node = nodes[0]
        leaving_node.announce_target(net.now, target("a"))
        leaving_node.announce_target(net.now, target("b"))
        net.run_until(lambda: converged(net), 60)
        leaving = model.TargetState.LEAVING
        leaving_node.announce_target(net.now, target("a", state=leaving))
        net.run(2)
        for node in nodes:
            states = {r.id: r.state for r in node.targets("ledger")}
            self.assertIs(states["a"], leaving, node.me.id)
        leaving_node.leave(net.now)
        net.run(2)
        for node in nodes:
            self.assertTrue(node.instance("i000").leaving, node.me.id)

    @parameterized.expand(CONDITIONS)
    def test_broadcast_is_delivered_exactly_once(self, _name, seed, conditions):
        net = network.Network(seed, conditions())
        nodes = net.fleet(50)
        got = {id: [] for id in net.nodes}
        for id, node in net.nodes.items():
            node.on_broadcast("keys", got[id].append)
        net.run(1)
        for number in range(3):
            payload = bytes([number]) * 1000
            net.send("i000", nodes[0].broadcast(net.now, "keys", payload))
            net.run(1)
        net.run(20)
        for id, payloads in got.items():
            expected = [] if id == "i000" else [0, 1, 2]
            self.assertEqual(sorted(p[0] for p in payloads), expected, id)

    @parameterized.expand([("no topic", "", b""), ("long", "x", b"." * 1001)])
    def test_invalid_broadcast_is_rejected(self, _name, topic, payload):
        net = network.Network(13)
        with self.assertRaises(ValueError):
            net.start("a").broadcast(net.now, topic, payload)

    def test_departed_instance_is_dead_at_once(self):
        net = network.Network(14)
        nodes = net.fleet(20)
        net.run(1)
        net.send("i000", nodes[0].depart(net.now))
        net.stop("i000")
        net.run(2)
        self.assertTrue(all_see(net, "i000", records.Liveness.DEAD))


class PartitionRecoveryTest(unittest.TestCase):
    """Guards against halves that stay separate after a partition.

    Each half has marked the other one dead and no longer probes it. Pings to
    dead instances must bring the halves together again.
    """

    def test_halves_converge_after_a_partition(self):
        net = network.Network(15)
        net.fleet(30)
        announce(net, 2)
        net.run_until(lambda: converged(net), 60)
        ids = list(net.nodes)
        net.conditions.block(ids[:15], ids[15:])
        net.conditions.block(ids[15:], ids[:15])
        dead, alive = records.Liveness.DEAD, records.Liveness.ALIVE
        net.run_until(
            lambda: all(all_see(net, id, dead, ids[15:]) for id in ids[15:]),
            60,
        )
        net.nodes["i000"].announce_target(net.now, target("new"))
        net.conditions.blocked.clear()
        net.run_until(
            lambda: (
                all(all_see(net, id, alive) for id in ids) and converged(net)
            ),
            60,
        )


class BudgetTest(unittest.TestCase):
    """Guards against gossip traffic that grows with the rate of changes."""

    def test_mean_traffic_stays_below_the_rate(self):
        net = network.Network(16)
        nodes = net.fleet(20)
        net.run(30)
        before = [node.counters.sent_bytes for node in nodes]
        start = net.now
        for step in range(240):
            for node in nodes:
                slots = 1 + step % 50
                record = target(f"{node.me.id}-x", slots=slots)
                node.announce_target(net.now, record)
            net.run(0.5)
        seconds = net.now - start
        for node, sent in zip(nodes, before, strict=True):
            allowed = 1200 * seconds + 24_000
            self.assertLessEqual(node.counters.sent_bytes - sent, allowed)
        alive = records.Liveness.ALIVE
        self.assertTrue(all(all_see(net, id, alive) for id in net.nodes))


if __name__ == "__main__":
    unittest.main()
