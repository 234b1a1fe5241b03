"""Tests of rates that are shared without leases."""

import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors, ports
from cicadafront.config import model as config_model
from cicadafront.limits import keeping, shares
from cicadafront.peer import failures

NAMES = [f"n{number}" for number in range(10)]


class Net:
    """Instances on virtual time whose calls can be cut."""

    def __init__(
        self,
        rate=50.0,
        burst=20.0,
        limit_of=keeping.stated_limit,
        names=NAMES,
    ):
        self.clock = task.Clock()
        self.names = names
        self.account = config_model.ClientAccount("a", rate, burst)
        self.cut = set()
        # Pairs of instances between which nothing passes.
        self.parted = set()
        self.handlers = {}
        self.calls = 0
        self.limit_of = limit_of
        self.members = {}
        for name in names:
            self.add(name)
        self.keeper, self.deputy = keeping.keepers("a", names)

    def add(self, name):
        """Starts an instance, again if it is there."""
        self.members[name] = shares.SharedAdmission(
            name,
            self.clock,
            Calls(self, name),
            Directory(self, name),
            lambda id: self.account,
            lambda: name in self.cut,
            self.limit_of,
        )

    def ask(self, name, accept):
        """Asks for one admission at an instance."""
        done = self.members[name].admit(self.account)
        done.addCallbacks(
            lambda _: accept(True), self._refused, (), {}, (accept,)
        )

    def _refused(self, reason, accept):
        reason.trap(errors.RateExceededError)
        accept(False)

    def load(self, rng, names, per_second, seconds):
        """Offers a load; returns the admitted and the refused requests."""
        found = []
        step = 1.0 / per_second
        for _ in range(round(per_second * seconds)):
            self.ask(rng.choice(names), found.append)
            self.clock.advance(step)
        self.clock.advance(shares.CALL_SECONDS)
        return found.count(True), found.count(False)


class Directory:
    """All instances that are not known to be gone."""

    def __init__(self, net, here):
        self.net, self.here = net, here

    def instances(self):
        return [ports.InstanceInfo(n, 1, "dc", ("", 0)) for n in self.net.names]

    def on_change(self, handler):
        pass


class Lone:
    """Knows no other instance yet."""

    def __init__(self, here):
        self.here = here

    def instances(self):
        return [ports.InstanceInfo(self.here, 1, "dc", ("", 0))]

    def on_change(self, handler):
        pass


class Calls:
    """Calls of one instance."""

    def __init__(self, net, here):
        self.net, self.here = net, here

    def register(self, method, handler):
        self.net.handlers[self.here] = handler

    def call(self, instance, method, body, timeout):
        self.net.calls += 1
        done = defer.Deferred()
        parted = frozenset((instance, self.here)) in self.net.parted
        if parted or {instance, self.here} & self.net.cut:
            error = failures.call_error("call_timeout", "cut")
            self.net.clock.callLater(timeout, done.errback, error)
            return done
        answer = defer.maybeDeferred(
            self.net.handlers[instance], self.here, body
        )
        answer.addCallback(
            lambda found: self.net.clock.callLater(0.001, done.callback, found)
        )
        return done


class SharesTest(unittest.TestCase):
    """Guards against accounts beyond their rate, and refusals within it."""

    def setUp(self):
        self.rng = random.Random(1)

    def test_no_refusal_within_the_rate(self):
        net = Net()
        admitted, refused = net.load(self.rng, NAMES, 45, 20)
        self.assertEqual((admitted, refused), (900, 0))

    @parameterized.expand([("spread", NAMES), ("one", NAMES[:1])])
    def test_hot_account_gets_its_rate(self, _name, names):
        net = Net()
        admitted, _ = net.load(self.rng, names, 400, 10)
        self.assertLessEqual(admitted, 50 * 10 + 20)
        self.assertGreaterEqual(admitted, 0.95 * 50 * 10)

    @parameterized.expand([("within", 45), ("hot", 400)])
    def test_keeper_cut_off(self, _name, per_second):
        net = Net()
        net.cut = {net.keeper}
        admitted, refused = net.load(self.rng, NAMES, per_second, 10)
        self.assertLessEqual(admitted, (50 * 10 + 20) * 1.1 + 20)
        if per_second < 50:
            # Only the instance that is cut off refuses a part.
            counts = net.members[net.keeper].counts
            self.assertEqual(refused, counts["share_refused"])

    def test_fifth_of_the_instances_cut_off(self):
        net = Net()
        keepers = {net.keeper, net.deputy}
        net.cut = set([name for name in NAMES if name not in keepers][:2])
        admitted, _ = net.load(self.rng, NAMES, 400, 10)
        self.assertLessEqual(admitted, (50 * 10 + 20) * 1.1 + 20)

    def test_no_keeper_answers(self):
        net = Net()
        net.cut = {net.keeper, net.deputy}
        admitted, _ = net.load(self.rng, NAMES, 400, 10)
        self.assertLessEqual(admitted, 50 * 10)
        self.assertGreater(admitted, 0.5 * 50 * 10)

    def test_new_keeper_starts_with_a_part_of_the_burst(self):
        ledger = keeping.Ledger()
        account = config_model.ClientAccount("a", 1.0, 20.0)
        granted = sum(ledger.grant(0.0, account, 1)[0] for _ in range(50))
        self.assertEqual(granted, 20 * keeping.FIRST_SHARE)

    def test_request_beside_a_charge_is_not_refused_unasked(self):
        net = Net()
        other = next(name for name in NAMES if name != net.keeper)
        net.members[other].charge(net.account, 1.0)
        found = []
        net.ask(other, found.append)
        net.clock.pump([0.01] * 5)
        self.assertEqual(found, [True])

    def test_charge_is_told_once_and_again_after_silence(self):
        net = Net(rate=0.01, burst=20.0)
        other = next(name for name in NAMES if name != net.keeper)
        net.cut = {net.keeper, net.deputy}
        net.members[other].charge(net.account, 4.0)
        net.clock.advance(2 * shares.SILENT_SECONDS)
        net.cut = set()
        admitted, _ = net.load(self.rng, [other], 100, 1)
        self.assertEqual(admitted, 20 * keeping.FIRST_SHARE - 4)

    def test_lower_limit_holds_at_once(self):
        net = Net()
        net.load(self.rng, NAMES, 45, 2)
        net.account = config_model.ClientAccount("a", 5.0, 5.0)
        admitted, _ = net.load(self.rng, NAMES, 45, 10)
        self.assertLessEqual(admitted, 5 * 10 + 5 + 2)

    def test_no_limit(self):
        net = Net(rate=0.0)
        admitted, refused = net.load(self.rng, NAMES, 400, 1)
        self.assertEqual((admitted, refused, net.calls), (400, 0, 0))

    def test_busy_instance_asks_less_than_once_a_request(self):
        net = Net(rate=1000.0, burst=500.0)
        other = next(name for name in NAMES if name != net.keeper)
        net.load(self.rng, [other], 400, 5)
        self.assertLess(net.calls, 0.6 * 2000)

    def test_keepers_are_spread(self):
        kept = {keeping.keepers(f"a{n}", NAMES)[0] for n in range(200)}
        self.assertEqual(kept, set(NAMES))

    def test_refusal_tells_when_to_return(self):
        ledger = keeping.Ledger()
        account = config_model.ClientAccount("a", 2.0, 1.0)
        ledger.grant(0.0, account, 1)
        self.assertEqual(ledger.grant(0.0, account, 1), (0, 0.5))


class WindowTest(unittest.TestCase):
    """Guards against refusals of what the window of an account allows.

    Answers two loads: an account above its rate whose requests still fit the
    window, and one that sends many times what the window takes.
    """

    TOLERANCE = keeping.Tolerance(seconds=5.0, share=0.1, extra=20.0)

    def net(self, rate, burst, names=NAMES):
        return Net(rate, burst, self.TOLERANCE.limit, names)

    def most_in_a_window(self, net, names, per_second, seconds):
        """Returns the most admissions in any window of 5 s."""
        rng = random.Random(1)
        admitted = []

        def accept(good):
            if good:
                admitted.append(net.clock.seconds())

        for _ in range(round(per_second * seconds)):
            net.ask(rng.choice(names), accept)
            net.clock.advance(1 / per_second)
        return max(
            sum(time <= other < time + 5.0 for other in admitted)
            for time in admitted
        )

    def test_steady_load_that_fits_the_window(self):
        net = self.net(5.0, 5.0)
        net.load(random.Random(1), NAMES, 5, 10)
        admitted, refused = net.load(random.Random(2), NAMES, 7, 20)
        self.assertEqual((admitted, refused), (140, 0))

    @parameterized.expand(
        [
            ("small", 5.0, 5.0, []),
            ("large", 50.0, 20.0, []),
            ("a fifth cut off", 50.0, 20.0, [7, 8]),
            ("keeper cut off", 50.0, 20.0, [0]),
        ]
    )
    def test_hot_account_stays_within_the_tolerance(
        self, _name, rate, burst, cut
    ):
        net = self.net(rate, burst)
        ranked = keeping.ranked("a", NAMES)
        net.cut = {ranked[place] for place in cut}
        most = self.most_in_a_window(net, NAMES, 400, 12)
        self.assertLessEqual(most, (rate * 5 + burst) * 1.1 + 20)
        self.assertGreaterEqual(most, 0.9 * (rate * 5 + burst))

    @parameterized.expand(
        [(30, 30.0, 30), (30, 60.0, 30), (73, 49.0, 60), (73, 200.0, 200)]
    )
    def test_credit_held_by_many_instances_stays_in_the_window(
        self, size, rate, usual
    ):
        names = [f"n{number}" for number in range(size)]
        net = self.net(rate, rate, names)
        admitted = []

        def accept(good):
            if good:
                admitted.append(net.clock.seconds())

        for number in range(usual * 3 + 400 * 6):
            net.ask(names[number * 7 % size], accept)
            net.clock.advance(1 / (usual if number < usual * 3 else 400))
        most = max(
            sum(time <= other < time + 5.0 for other in admitted)
            for time in admitted[::7]
        )
        self.assertLessEqual(most, (rate * 5 + rate) * 1.1 + 20)

    def test_some_instances_do_not_reach_the_keeper(self):
        net = self.net(49.0, 49.0)
        ranked = keeping.ranked("a", NAMES)
        net.parted = {frozenset((ranked[0], name)) for name in ranked[6:]}
        most = self.most_in_a_window(net, NAMES, 400, 12)
        self.assertLessEqual(most, (49 * 5 + 49) * 1.1 + 20)
        counts = [member.counts for member in net.members.values()]
        self.assertEqual(sum(count["shared"] for count in counts), 0)

    @parameterized.expand([(seed,) for seed in range(1, 9)])
    def test_keepers_that_are_replaced(self, seed):
        rng = random.Random(seed)
        net = self.net(10.0, 10.0)

        def replace():
            place = rng.choice((net.keeper, net.deputy))
            net.add(place)
            net.clock.callLater(rng.uniform(2.0, 6.0), replace)

        net.clock.callLater(rng.uniform(0.5, 3.0), replace)
        most = self.most_in_a_window(net, NAMES, 100, 20)
        self.assertLessEqual(most, (10 * 5 + 10) * 1.1 + 20)

    def test_second_keeper_does_not_grant_what_it_has_saved(self):
        limit = self.TOLERANCE.limit
        account = config_model.ClientAccount("a", 10.0, 10.0)
        ledger = keeping.Ledger(limit)
        ledger.grant(0.0, account, 1)
        granted = [
            ledger.grant(60.0, account, 1, second=True)[0] for _ in range(9)
        ]
        self.assertEqual(sum(granted), int(max(1, limit(account).first)))

    def test_instances_that_start_alone(self):
        net = self.net(10.0, 10.0)
        alone = [
            shares.SharedAdmission(
                name,
                net.clock,
                Calls(net, f"new-{name}"),
                Lone(name),
                lambda id: net.account,
                lambda: True,
                self.TOLERANCE.limit,
                lambda: len(NAMES),
            )
            for name in NAMES
        ]
        for _ in range(100):
            for member in alone:
                member.admit(net.account).addErrback(lambda reason: None)
            net.clock.advance(0.01)
        shared = sum(member.counts["shared"] for member in alone)
        self.assertLessEqual(shared, len(NAMES) + 0.6 * 10.0 + 1)

    def test_hot_account_is_served_evenly(self):
        net = self.net(50.0, 50.0)
        net.load(random.Random(1), NAMES, 400, 10)
        for _ in range(10):
            admitted, _ = net.load(random.Random(2), NAMES, 400, 0.5)
            self.assertGreaterEqual(admitted, 0.5 * 0.8 * 50)
