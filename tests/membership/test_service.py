"""Tests of the Twisted integration, the state transfer and the directory."""

import random
import unittest
import unittest.mock

import attrs
from parameterized import parameterized
from twisted.internet import selectreactor, task

from cicadafront import model
from cicadafront.membership import (
    announce,
    codec,
    gossip,
    records,
    service,
    transfer,
    view,
)
from tests.membership import peers


class UdpClock(task.Clock):
    """Virtual clock with an in-memory datagram network."""

    def __init__(self):
        super().__init__()
        self.ports = {}

    def listenUDP(self, port, protocol, interface):  # noqa: D102, N802
        opened = Port(self, (interface, port), protocol)
        self.ports[interface, port] = opened
        return opened


@attrs.define(eq=False)
class Port:
    """UDP port of `UdpClock`."""

    clock: UdpClock
    address: tuple[str, int]
    protocol: object

    def write(self, data, address):
        if not address[0]:
            raise ValueError("no host")
        self.clock.callLater(0.001, self._arrive, data, address)

    def stopListening(self):  # noqa: D102, N802
        del self.clock.ports[self.address]

    def _arrive(self, data, address):
        port = self.clock.ports.get(address)
        if port is not None:
            port.protocol.datagramReceived(data, self.address)


def record(id, number, host="127.0.0.1") -> records.InstanceRecord:
    """Returns the record of a new instance."""
    address = host, 21_000 + number
    return records.InstanceRecord(id, 1, 1, "dar-a", address, address)


def build(reactor, fleet, number, seeds, port=0):
    """Returns a membership service, its core, registry and peer calls."""
    id = f"i{number}"
    rng = random.Random(number)
    now = reactor.seconds()
    me = record(id, number)
    if port:
        me = attrs.evolve(me, gossip_address=("127.0.0.1", port))
    core = gossip.Gossip(me, rng, now, seeds)
    registry = announce.TargetRegistry(core, now)
    calls = peers.Calls(id, fleet)
    membership = service.MembershipService(reactor, core, calls, rng, registry)
    return membership, core, registry, calls


def local_target(id) -> announce.LocalTarget:
    """Returns a target as it announces itself."""
    return announce.LocalTarget(id, "ledger", ("127.0.0.1", 9000), 3)


class ServiceTest(unittest.TestCase):
    """Guards against instances that join the fleet late, partly or not at all.

    Calls of the state transfer may fail, a peer may send an invalid address,
    and a tick or a handler may raise an exception.
    """

    def setUp(self):
        self.clock = UdpClock()
        self.fleet = {}
        seed = ("127.0.0.1", 21_000)
        self.built = [
            build(self.clock, self.fleet, n, [seed]) for n in range(4)
        ]
        self.services = [entry[0] for entry in self.built]

    def run_for(self, seconds):
        self.clock.pump([0.02] * round(seconds / 0.02))

    def keep(self, number, id, seconds):
        """Announces a target every second for a number of seconds."""
        for _ in range(seconds):
            registry = self.built[number][2]
            registry.announce(self.clock.seconds(), local_target(id))
            self.run_for(1)

    def test_instances_join_and_see_targets(self):
        for membership in self.services:
            membership.start()
        self.keep(0, "t", 4)
        for membership in self.services:
            self.assertTrue(membership.joined)
            self.assertEqual(len(membership.directory.instances()), 4)
            (seen,) = membership.directory.targets("ledger")
            self.assertEqual((seen.id, seen.instance), ("t", "i0"))
        self.run_for(8)
        for membership in self.services:
            self.assertEqual(membership.directory.targets("ledger"), [])

    def test_late_instance_gets_all_pages(self):
        _, core, _, _ = self.built[0]
        for membership in self.services[:3]:
            membership.start()
        items = []
        for number in range(300):
            other = record(f"x{number:03d}", number, "127.0.1.1")
            items.append(other)
            items += [
                records.TargetRecord(
                    f"x{number}-{n}", "desk", ("", 9), 3, other.id, 1, 2 + n
                )
                for n in range(12)
            ]
        self.run_for(2)
        core.load(self.clock.seconds(), items)
        late, _, _, calls = self.built[3]
        # Only the first instance has received all records so far.
        calls.broken = {"i1", "i2"}
        late.start()
        joined = []
        late.when_joined().addCallback(
            lambda _: joined.append(len(late.directory.targets("desk")))
        )
        self.run_for(12)
        self.assertEqual(joined, [3600])
        self.assertGreater(len(calls.sizes), 5)
        self.assertLess(max(calls.sizes), 512 * 1024)

    def test_failed_transfer_is_retried(self):
        late, _, _, calls = self.built[1]
        calls.broken = {"i0"}
        self.services[0].start()
        late.start()
        self.run_for(5)
        self.assertFalse(late.joined)
        calls.broken = set()
        self.run_for(5)
        self.assertTrue(late.joined)

    def test_planned_stop_is_seen_within_2_s(self):
        for membership in self.services:
            membership.start()
        self.keep(0, "t", 4)
        self.services[0].leave()
        self.run_for(2)
        for membership in self.services:
            (seen,) = membership.directory.targets("ledger")
            self.assertIs(seen.state, model.TargetState.LEAVING)
            self.assertTrue(membership.directory.instance("i0").leaving)
        self.services[0].stop()
        self.run_for(2)
        for membership in self.services[1:]:
            self.assertEqual(membership.directory.targets("ledger"), [])
            self.assertFalse(membership.directory.instance("i0").alive)

    def test_broadcast_reaches_each_other_instance_once(self):
        received = []
        for number, membership in enumerate(self.services):
            membership.start()
            membership.broadcaster.on_broadcast(
                "keys", lambda payload, n=number: received.append((n, payload))
            )
        self.run_for(3)
        self.services[1].broadcaster.broadcast("keys", b"revoked")
        self.run_for(8)
        expected = [(n, b"revoked") for n in (0, 2, 3)]
        self.assertEqual(sorted(received), expected)

    def test_invalid_address_from_a_peer_is_counted(self):
        membership = self.services[0]
        membership.start()
        membership._send([gossip.Datagram(b"x", ("", 0))])
        self.assertEqual(membership.send_errors, 1)

    def test_failing_tick_does_not_stop_the_loop(self):
        membership, _, registry, _ = self.built[0]
        membership.start()
        registry.announce(self.clock.seconds(), local_target("t"))
        with unittest.mock.patch.object(
            registry, "expire", side_effect=OSError
        ):
            self.run_for(0.5)
        self.run_for(6.5)
        self.assertEqual(registry.targets(), [])

    def test_failing_handler_does_not_stop_a_broadcast(self):
        received = []
        for membership in self.services:
            membership.start()
            membership.broadcaster.on_broadcast("x", lambda payload: 1 / 0)
            membership.broadcaster.on_broadcast("x", received.append)
        self.run_for(3)
        self.services[0].broadcaster.broadcast("x", b"y")
        self.run_for(2)
        self.assertEqual(received, [b"y"] * 3)

    def test_invalid_page_request_is_refused(self):
        with self.assertRaises(codec.DatagramError):
            self.fleet["i0"].handlers[transfer.METHOD]("i1", b"\xff" * 40)


class SocketTest(unittest.TestCase):
    """Guards against faults that the in-memory network does not show."""

    def test_two_instances_on_real_sockets(self):
        reactor = selectreactor.SelectReactor()
        fleet = {}
        ports = peers.free_port(), peers.free_port()
        first, _, registry, _ = build(reactor, fleet, 0, [], ports[0])
        seed = ("127.0.0.1", ports[0])
        second, core, _, _ = build(reactor, fleet, 1, [seed], ports[1])
        first.start()
        second.start()
        registry.announce(reactor.seconds(), local_target("t"))
        end = reactor.seconds() + 10
        while not (second.joined and second.directory.targets("ledger")):
            self.assertLess(reactor.seconds(), end)
            reactor.iterate(0.02)
        second._send([gossip.Datagram(b"x", ("no host", 1))])
        self.assertEqual(second.send_errors, 1)
        self.assertGreater(core.counters.received_bytes, 0)
        for membership in (first, second):
            membership.stop()
        reactor.iterate(0.02)


class DirectoryTest(unittest.TestCase):
    """Guards against cached targets that differ from the gossip state."""

    def setUp(self):
        me = record("me", 0)
        self.core = gossip.Gossip(me, random.Random(1), 0.0)
        self.directory = view.GossipDirectory(self.core)
        self.changes = []
        self.directory.on_change(lambda: self.changes.append(None))
        self.other = record("other", 1)
        self.target = records.TargetRecord(
            "t", "ledger", ("", 1), 3, "other", 1, 5, weight=0.5, warm_since=3.0
        )
        self.core.load(10.0, [self.other, self.target])

    def test_target_conversion(self):
        expected = model.Target(
            "t",
            "ledger",
            "other",
            3,
            model.TargetState.SERVING,
            3.0,
            0.5,
            "dar-a",
        )
        self.assertEqual(self.directory.targets("ledger"), [expected])
        self.assertEqual(self.directory.targets("unknown"), [])

    def test_returned_list_is_a_copy(self):
        self.directory.targets("ledger").clear()
        self.assertEqual(len(self.directory.targets("ledger")), 1)

    @parameterized.expand(
        [
            ("ejected", {"state": model.TargetState.EJECTED}, {}, 1),
            ("gone", {"gone": True}, {}, 0),
            ("moved", {"service": "desk"}, {}, 0),
            ("owner leaves", {}, {"leaving": True}, 1),
            (
                "owner departed",
                {},
                {"leaving": True, "liveness": records.Liveness.DEAD},
                0,
            ),
            ("owner restarted", {}, {"incarnation": 2}, 0),
        ]
    )
    def test_change_updates_the_targets(self, _name, target, owner, count):
        before = self.directory.targets("ledger")
        items: list[records.Record] = []
        if target:
            items.append(attrs.evolve(self.target, version=6, **target))
        if owner:
            items.append(attrs.evolve(self.other, version=2, **owner))
        self.changes.clear()
        self.core.load(11.0, items)
        self.assertEqual(len(self.changes), 1)
        after = self.directory.targets("ledger")
        self.assertEqual(len(after), count)
        self.assertNotEqual(after, before)

    def test_reachable(self):
        self.assertTrue(self.directory.reachable("other"))
        self.assertFalse(self.directory.reachable("nobody"))

    @parameterized.expand(
        [("above", 3.0, 1.0), ("below", -1.0, 0.0), ("fine", 0.123, 0.12)]
    )
    def test_weight_is_bounded(self, _name, weight, expected):
        own = records.TargetRecord("o", "desk", ("", 1), 3, weight=weight)
        self.core.announce_target(1.0, own)
        (seen,) = self.directory.targets("desk")
        self.assertEqual(seen.weight, expected)
        self.core.tick(2.0)

    def test_unchanged_records_cause_no_notification(self):
        self.changes.clear()
        self.core.load(12.0, [self.other, self.target])
        self.assertEqual(self.changes, [])

    def test_instances(self):
        infos = {info.id: info for info in self.directory.instances()}
        self.assertEqual(set(infos), {"me", "other"})
        self.assertTrue(infos["other"].alive)
        self.assertIsNone(self.directory.instance("nobody"))


if __name__ == "__main__":
    unittest.main()
