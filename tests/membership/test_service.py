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
    """Virtual clock with a datagram service in memory."""

    def __init__(self):
        super().__init__()
        self.ports = {}

    def listenUDP(self, port, protocol, interface):  # noqa: D102, N802
        made = Port(self, (interface, port), protocol)
        self.ports[interface, port] = made
        return made


@attrs.define(eq=False)
class Port:
    """A socket of `UdpClock`."""

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
    """Returns a service, its core, its registry and its calls."""
    id = f"i{number}"
    rng = random.Random(number)
    now = reactor.seconds()
    me = record(id, number)
    if port:
        me = attrs.evolve(me, gossip_address=("127.0.0.1", port))
    core = gossip.Gossip(me, rng, now, seeds)
    registry = announce.TargetRegistry(core, now)
    calls = peers.Calls(id, fleet)
    made = service.MembershipService(reactor, core, calls, rng, registry)
    return made, core, registry, calls


def local_target(id) -> announce.LocalTarget:
    """Returns a target as announced."""
    return announce.LocalTarget(id, "ledger", ("127.0.0.1", 9000), 3)


class ServiceTest(unittest.TestCase):
    """Guards against instances that do not find the fleet."""

    def setUp(self):
        self.clock = UdpClock()
        self.fleet = {}
        seed = ("127.0.0.1", 21_000)
        self.parts = [
            build(self.clock, self.fleet, n, [seed]) for n in range(4)
        ]
        self.services = [part[0] for part in self.parts]

    def run_for(self, seconds):
        self.clock.pump([0.02] * round(seconds / 0.02))

    def keep(self, number, id, seconds):
        """Announces a target every second."""
        for _ in range(seconds):
            registry = self.parts[number][2]
            registry.announce(self.clock.seconds(), local_target(id))
            self.run_for(1)

    def test_join_and_see_targets(self):
        for made in self.services:
            made.start()
        self.keep(0, "t", 4)
        for made in self.services:
            self.assertTrue(made.joined)
            self.assertEqual(len(made.directory.instances()), 4)
            (seen,) = made.directory.targets("ledger")
            self.assertEqual((seen.id, seen.instance), ("t", "i0"))
        self.run_for(8)
        for made in self.services:
            self.assertEqual(made.directory.targets("ledger"), [])

    def test_late_instance_gets_all_pages(self):
        _, core, _, _ = self.parts[0]
        for made in self.services[:3]:
            made.start()
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
        late, _, _, calls = self.parts[3]
        # Only the first instance holds the records yet.
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

    def test_failed_transfer_is_tried_again(self):
        late, _, _, calls = self.parts[1]
        calls.broken = {"i0"}
        self.services[0].start()
        late.start()
        self.run_for(5)
        self.assertFalse(late.joined)
        calls.broken = set()
        self.run_for(5)
        self.assertTrue(late.joined)

    def test_planned_stop_is_seen_within_2_s(self):
        for made in self.services:
            made.start()
        self.keep(0, "t", 4)
        self.services[0].leave()
        self.run_for(2)
        for made in self.services:
            (seen,) = made.directory.targets("ledger")
            self.assertIs(seen.state, model.TargetState.LEAVING)
            self.assertTrue(made.directory.instance("i0").leaving)
        self.services[0].stop()
        self.run_for(2)
        for made in self.services[1:]:
            self.assertEqual(made.directory.targets("ledger"), [])
            self.assertFalse(made.directory.instance("i0").alive)

    def test_broadcast_reaches_the_others_once(self):
        got = []
        for number, made in enumerate(self.services):
            made.start()
            made.broadcaster.on_broadcast(
                "keys", lambda payload, n=number: got.append((n, payload))
            )
        self.run_for(3)
        self.services[1].broadcaster.broadcast("keys", b"revoked")
        self.run_for(8)
        expected = [(n, b"revoked") for n in (0, 2, 3)]
        self.assertEqual(sorted(got), expected)

    def test_address_made_up_by_a_peer_does_no_harm(self):
        made = self.services[0]
        made.start()
        made._send([gossip.Datagram(b"x", ("", 0))])
        self.assertEqual(made.send_errors, 1)

    def test_failing_tick_is_followed_by_others(self):
        made, _, registry, _ = self.parts[0]
        made.start()
        registry.announce(self.clock.seconds(), local_target("t"))
        with unittest.mock.patch.object(
            registry, "expire", side_effect=OSError
        ):
            self.run_for(0.5)
        self.run_for(6.5)
        self.assertEqual(registry.targets(), [])

    def test_failing_handler_does_not_stop_a_broadcast(self):
        got = []
        for made in self.services:
            made.start()
            made.broadcaster.on_broadcast("x", lambda payload: 1 / 0)
            made.broadcaster.on_broadcast("x", got.append)
        self.run_for(3)
        self.services[0].broadcaster.broadcast("x", b"y")
        self.run_for(2)
        self.assertEqual(got, [b"y"] * 3)

    def test_invalid_page_request_is_refused(self):
        with self.assertRaises(codec.DatagramError):
            self.fleet["i0"].handlers[transfer.METHOD]("i1", b"\xff" * 40)


class SocketTest(unittest.TestCase):
    """Guards against a mistake that the socket in memory hides."""

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
        for made in (first, second):
            made.stop()
        reactor.iterate(0.02)


class DirectoryTest(unittest.TestCase):
    """Guards against a view that lags behind the gossip state."""

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

    def test_target(self):
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

    def test_list_of_the_caller_is_its_own(self):
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
    def test_change(self, _name, target, owner, count):
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

    def test_unchanged_records_are_no_change(self):
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
