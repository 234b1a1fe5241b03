"""Tests of fleet-wide rate limiting without leases."""

import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors, ports
from cicadafront.config import model as config_model
from cicadafront.limits import coordinators, shares
from cicadafront.peer import failures

NAMES = [f"n{number}" for number in range(10)]


class FakeFleet:
    """Instances on virtual time, with simulated network faults."""

    def __init__(
        self,
        rate=50.0,
        burst=20.0,
        limit_of=coordinators.configured_limit,
        names=NAMES,
    ):
        self.clock = task.Clock()
        self.names = names
        self.account = config_model.ClientAccount("a", rate, burst)
        self.isolated = set()
        # Pairs of instances that cannot reach each other.
        self.partitioned = set()
        self.handlers = {}
        self.calls = 0
        self.limit_of = limit_of
        # Instances whose path counts as failing.
        self.unusable = set()
        self.members = {}
        for name in names:
            self.add(name)
        self.coordinator, self.standby = coordinators.select("a", names)

    def add(self, name):
        """Starts an instance, or restarts it."""
        self.members[name] = shares.SharedAdmission(
            name,
            self.clock,
            Calls(self, name),
            Directory(self, name),
            lambda id: self.account,
            lambda: name in self.isolated,
            self.limit_of,
            usable=lambda instance: instance not in self.unusable,
        )

    def ask(self, name, accept):
        """Sends one request to an instance; passes the decision to `accept`."""
        done = self.members[name].admit(self.account)
        done.addCallbacks(
            lambda _: accept(True), self._refused, (), {}, (accept,)
        )

    def _refused(self, reason, accept):
        reason.trap(errors.RateExceededError)
        accept(False)

    def load(self, rng, names, per_second, seconds):
        """Sends requests; returns the numbers of admitted and refused ones."""
        found = []
        step = 1.0 / per_second
        for _ in range(round(per_second * seconds)):
            self.ask(rng.choice(names), found.append)
            self.clock.advance(step)
        self.clock.advance(shares.CALL_SECONDS)
        return found.count(True), found.count(False)


class Directory:
    """Directory that lists all instances of the fleet."""

    def __init__(self, fleet, own_id):
        self.fleet, self.own_id = fleet, own_id

    def instances(self):
        return [
            ports.InstanceInfo(n, 1, "dc", ("", 0)) for n in self.fleet.names
        ]

    def on_change(self, handler):
        pass


class SingleInstanceDirectory:
    """Directory of an instance that has not discovered any other."""

    def __init__(self, own_id):
        self.own_id = own_id

    def instances(self):
        return [ports.InstanceInfo(self.own_id, 1, "dc", ("", 0))]

    def on_change(self, handler):
        pass


class Calls:
    """Peer calls of one instance."""

    def __init__(self, fleet, own_id):
        self.fleet, self.own_id = fleet, own_id

    def register(self, method, handler):
        self.fleet.handlers[self.own_id] = handler

    def call(self, instance, method, body, timeout):
        self.fleet.calls += 1
        done = defer.Deferred()
        partitioned = (
            frozenset((instance, self.own_id)) in self.fleet.partitioned
        )
        if partitioned or {instance, self.own_id} & self.fleet.isolated:
            error = failures.call_error("call_timeout", "isolated")
            self.fleet.clock.callLater(timeout, done.errback, error)
            return done
        answer = defer.maybeDeferred(
            self.fleet.handlers[instance], self.own_id, body
        )
        answer.addCallback(
            lambda found: self.fleet.clock.callLater(
                0.001, done.callback, found
            )
        )
        return done


class SharesTest(unittest.TestCase):
    """Guards against admissions beyond the rate, and refusals within it."""

    def setUp(self):
        self.rng = random.Random(1)

    def test_no_refusal_within_the_rate(self):
        fleet = FakeFleet()
        admitted, refused = fleet.load(self.rng, NAMES, 45, 20)
        self.assertEqual((admitted, refused), (900, 0))

    @parameterized.expand([("spread", NAMES), ("one", NAMES[:1])])
    def test_hot_account_gets_its_rate(self, _name, names):
        fleet = FakeFleet()
        admitted, _ = fleet.load(self.rng, names, 400, 10)
        self.assertLessEqual(admitted, 50 * 10 + 20)
        self.assertGreaterEqual(admitted, 0.95 * 50 * 10)

    @parameterized.expand([("within", 45), ("hot", 400)])
    def test_isolated_coordinator(self, _name, per_second):
        fleet = FakeFleet()
        fleet.isolated = {fleet.coordinator}
        admitted, refused = fleet.load(self.rng, NAMES, per_second, 10)
        self.assertLessEqual(admitted, (50 * 10 + 20) * 1.1 + 20)
        if per_second < 50:
            # Only the isolated instance refuses some of its requests.
            counts = fleet.members[fleet.coordinator].counts
            self.assertEqual(refused, counts["share_refused"])

    @parameterized.expand(
        [("both paths work", 0), ("path to the first one fails", 1)]
    )
    def test_coordinator_behind_a_failing_path_is_asked_last(
        self, _name, failing
    ):
        fleet = FakeFleet()
        ranked = [fleet.coordinator, fleet.standby]
        other = next(name for name in NAMES if name not in ranked)
        fleet.partitioned = {
            frozenset((other, name)) for name in ranked[:failing]
        }
        fleet.unusable = set(ranked[:failing])
        found = []
        fleet.ask(other, found.append)
        fleet.clock.advance(0.01)
        self.assertEqual(found, [True])

    @parameterized.expand([("path still fails", False), ("path works", True)])
    def test_backoff_ends_when_the_path_works(self, _name, works):
        fleet = FakeFleet()
        other = next(
            name
            for name in NAMES
            if name not in (fleet.coordinator, fleet.standby)
        )
        fleet.isolated = {fleet.coordinator, fleet.standby}
        fleet.ask(other, lambda _: None)
        fleet.clock.pump([0.05] * 9)
        fleet.isolated = set()
        if works:
            fleet.members[other].path_works(fleet.coordinator)
        calls = fleet.calls
        fleet.ask(other, lambda _: None)
        self.assertEqual(fleet.calls - calls, works)

    def test_fifth_of_the_instances_isolated(self):
        fleet = FakeFleet()
        coordinating = {fleet.coordinator, fleet.standby}
        fleet.isolated = set(
            [name for name in NAMES if name not in coordinating][:2]
        )
        admitted, _ = fleet.load(self.rng, NAMES, 400, 10)
        self.assertLessEqual(admitted, (50 * 10 + 20) * 1.1 + 20)

    def test_no_coordinator_answers(self):
        fleet = FakeFleet()
        fleet.isolated = {fleet.coordinator, fleet.standby}
        admitted, _ = fleet.load(self.rng, NAMES, 400, 10)
        self.assertLessEqual(admitted, 50 * 10)
        self.assertGreater(admitted, 0.5 * 50 * 10)

    def test_new_coordinator_starts_with_part_of_the_burst(self):
        coordinator = coordinators.Coordinator()
        account = config_model.ClientAccount("a", 1.0, 20.0)
        granted = sum(coordinator.grant(0.0, account, 1)[0] for _ in range(50))
        self.assertEqual(granted, 20 * coordinators.INITIAL_SHARE)

    def test_request_during_a_charge_waits_for_its_own_answer(self):
        """The answer to a charge grants no tokens, which is not a refusal."""
        fleet = FakeFleet()
        other = next(name for name in NAMES if name != fleet.coordinator)
        fleet.members[other].charge(fleet.account, 1.0)
        found = []
        fleet.ask(other, found.append)
        fleet.clock.pump([0.01] * 5)
        self.assertEqual(found, [True])

    def test_charge_is_sent_again_after_a_failed_call(self):
        """The owed tokens must be charged once, neither lost nor doubled."""
        fleet = FakeFleet(rate=0.01, burst=20.0)
        other = next(name for name in NAMES if name != fleet.coordinator)
        fleet.isolated = {fleet.coordinator, fleet.standby}
        fleet.members[other].charge(fleet.account, 4.0)
        fleet.clock.advance(2 * shares.BACKOFF_SECONDS)
        fleet.isolated = set()
        admitted, _ = fleet.load(self.rng, [other], 100, 1)
        self.assertEqual(admitted, 20 * coordinators.INITIAL_SHARE - 4)

    def test_lowered_limit_applies_at_once(self):
        fleet = FakeFleet()
        fleet.load(self.rng, NAMES, 45, 2)
        fleet.account = config_model.ClientAccount("a", 5.0, 5.0)
        admitted, _ = fleet.load(self.rng, NAMES, 45, 10)
        self.assertLessEqual(admitted, 5 * 10 + 5 + 2)

    def test_no_limit(self):
        fleet = FakeFleet(rate=0.0)
        admitted, refused = fleet.load(self.rng, NAMES, 400, 1)
        self.assertEqual((admitted, refused, fleet.calls), (400, 0, 0))

    def test_busy_instance_makes_fewer_calls_than_requests(self):
        fleet = FakeFleet(rate=1000.0, burst=500.0)
        other = next(name for name in NAMES if name != fleet.coordinator)
        fleet.load(self.rng, [other], 400, 5)
        self.assertLess(fleet.calls, 0.6 * 2000)

    def test_coordinators_are_distributed_over_all_instances(self):
        coordinating = {
            coordinators.select(f"a{n}", NAMES)[0] for n in range(200)
        }
        self.assertEqual(coordinating, set(NAMES))

    def test_refusal_returns_the_wait_for_the_next_token(self):
        coordinator = coordinators.Coordinator()
        account = config_model.ClientAccount("a", 2.0, 1.0)
        coordinator.grant(0.0, account, 1)
        self.assertEqual(coordinator.grant(0.0, account, 1), (0, 0.5))


class WindowTest(unittest.TestCase):
    """Guards against refusals of requests that fit the operators' window.

    Covers two kinds of load: an account above its rate whose requests still
    fit the window, and one that sends many times what the window allows.
    """

    TOLERANCE = coordinators.Tolerance(seconds=5.0, share=0.1, extra=20.0)

    def fleet(self, rate, burst, names=NAMES):
        return FakeFleet(rate, burst, self.TOLERANCE.limit, names)

    def most_in_a_window(self, fleet, names, per_second, seconds):
        """Returns the highest number of admissions in any window of 5 s."""
        rng = random.Random(1)
        admitted = []

        def accept(good):
            if good:
                admitted.append(fleet.clock.seconds())

        for _ in range(round(per_second * seconds)):
            fleet.ask(rng.choice(names), accept)
            fleet.clock.advance(1 / per_second)
        return max(
            sum(time <= other < time + 5.0 for other in admitted)
            for time in admitted
        )

    def test_steady_load_that_fits_the_window(self):
        fleet = self.fleet(5.0, 5.0)
        fleet.load(random.Random(1), NAMES, 5, 10)
        admitted, refused = fleet.load(random.Random(2), NAMES, 7, 20)
        self.assertEqual((admitted, refused), (140, 0))

    @parameterized.expand(
        [
            ("small", 5.0, 5.0, []),
            ("large", 50.0, 20.0, []),
            ("a fifth isolated", 50.0, 20.0, [7, 8]),
            ("coordinator isolated", 50.0, 20.0, [0]),
        ]
    )
    def test_hot_account_stays_within_the_tolerance(
        self, _name, rate, burst, isolated
    ):
        fleet = self.fleet(rate, burst)
        ranked = coordinators.ranked("a", NAMES)
        fleet.isolated = {ranked[rank] for rank in isolated}
        most = self.most_in_a_window(fleet, NAMES, 400, 12)
        self.assertLessEqual(most, (rate * 5 + burst) * 1.1 + 20)
        self.assertGreaterEqual(most, 0.9 * (rate * 5 + burst))

    @parameterized.expand(
        [(30, 30.0, 30), (30, 60.0, 30), (73, 49.0, 60), (73, 200.0, 200)]
    )
    def test_credit_held_by_many_instances_stays_in_the_window(
        self, size, rate, usual
    ):
        names = [f"n{number}" for number in range(size)]
        fleet = self.fleet(rate, rate, names)
        admitted = []

        def accept(good):
            if good:
                admitted.append(fleet.clock.seconds())

        for number in range(usual * 3 + 400 * 6):
            fleet.ask(names[number * 7 % size], accept)
            fleet.clock.advance(1 / (usual if number < usual * 3 else 400))
        most = max(
            sum(time <= other < time + 5.0 for other in admitted)
            for time in admitted[::7]
        )
        self.assertLessEqual(most, (rate * 5 + rate) * 1.1 + 20)

    def test_some_instances_do_not_reach_the_coordinator(self):
        fleet = self.fleet(49.0, 49.0)
        ranked = coordinators.ranked("a", NAMES)
        fleet.partitioned = {
            frozenset((ranked[0], name)) for name in ranked[6:]
        }
        most = self.most_in_a_window(fleet, NAMES, 400, 12)
        self.assertLessEqual(most, (49 * 5 + 49) * 1.1 + 20)
        counts = [member.counts for member in fleet.members.values()]
        self.assertEqual(sum(count["shared"] for count in counts), 0)

    @parameterized.expand([(seed,) for seed in range(1, 9)])
    def test_replaced_coordinators(self, seed):
        rng = random.Random(seed)
        fleet = self.fleet(10.0, 10.0)

        def replace():
            name = rng.choice((fleet.coordinator, fleet.standby))
            fleet.add(name)
            fleet.clock.callLater(rng.uniform(2.0, 6.0), replace)

        fleet.clock.callLater(rng.uniform(0.5, 3.0), replace)
        most = self.most_in_a_window(fleet, NAMES, 100, 20)
        self.assertLessEqual(most, (10 * 5 + 10) * 1.1 + 20)

    def test_standby_does_not_grant_accumulated_tokens(self):
        """The primary has granted the tokens of that time already."""
        limit = self.TOLERANCE.limit
        account = config_model.ClientAccount("a", 10.0, 10.0)
        coordinator = coordinators.Coordinator(limit)
        coordinator.grant(0.0, account, 1)
        granted = [
            coordinator.grant(60.0, account, 1, standby=True)[0]
            for _ in range(9)
        ]
        self.assertEqual(sum(granted), int(max(1, limit(account).initial)))

    def test_instances_that_start_isolated(self):
        fleet = self.fleet(10.0, 10.0)
        alone = [
            shares.SharedAdmission(
                name,
                fleet.clock,
                Calls(fleet, f"new-{name}"),
                SingleInstanceDirectory(name),
                lambda id: fleet.account,
                lambda: True,
                self.TOLERANCE.limit,
                lambda: len(NAMES),
            )
            for name in NAMES
        ]
        for _ in range(100):
            for member in alone:
                member.admit(fleet.account).addErrback(lambda reason: None)
            fleet.clock.advance(0.01)
        shared = sum(member.counts["shared"] for member in alone)
        self.assertLessEqual(shared, len(NAMES) + 0.6 * 10.0 + 1)

    def test_hot_account_is_served_evenly(self):
        fleet = self.fleet(50.0, 50.0)
        fleet.load(random.Random(1), NAMES, 400, 10)
        for _ in range(10):
            admitted, _ = fleet.load(random.Random(2), NAMES, 400, 0.5)
            self.assertGreaterEqual(admitted, 0.5 * 0.8 * 50)
