"""Tests of the capacity floor of ejections and of the ejection states."""

import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from parameterized import parameterized

from cicadafront import model
from cicadafront.health import detector, ejection, permits
from tests.health import permit_world

GRAY = detector.Gray("test")
ANY_TARGET = st.integers(0, permit_world.TARGETS - 1)


class FloorMachine(stateful.RuleBasedStateMachine):
    """Guards against ejections that take capacity below the floor."""

    @stateful.initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.world = permit_world.World(seed)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 6.0, 12.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @stateful.rule(gray=st.sets(ANY_TARGET))
    def turn(self, gray):
        for number, agent in enumerate(self.world.agents):
            agent.gray = number in gray
        self.world.run(1.0)

    @stateful.rule(number=ANY_TARGET)
    def kill(self, number):
        self.world.agents[number].dead = True

    @stateful.rule(number=ANY_TARGET)
    def revive(self, number):
        agent = self.world.agents[number]
        if agent.dead:
            agent.dead = False
            agent.warm_since = self.world.now

    @stateful.rule(number=ANY_TARGET, seconds=st.sampled_from([1.0, 4.0, 8.0]))
    def pause(self, number, seconds):
        self.world.agents[number].paused_until = self.world.now + seconds

    @stateful.rule(crash=st.booleans())
    def change_owner(self, crash):
        self.world.change_owner(crash)

    @stateful.rule(
        delay=st.sampled_from([0.01, 0.3, 3.0, 7.0]),
        loss=st.sampled_from([0.0, 0.3, 0.9]),
    )
    def spoil_network(self, delay, loss):
        self.world.delay = delay
        self.world.loss = loss

    @stateful.invariant()
    def floor_holds(self):
        if hasattr(self, "world"):
            assert not self.world.shortfalls, self.world.shortfalls


FloorTest = FloorMachine.TestCase
FloorTest.settings = hypothesis.settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class _NoFloor(permits.Permits):
    def _remaining_slots(self, now, without):
        return 1e9


class _NoWait(permits.Permits):
    def __init__(self, floor, epoch, former_authority_end):
        super().__init__(floor, epoch, -1e9)

    def update(self, now, targets, reachable):
        # Simulates an owner whose records are older than the ejections.
        fresh = [
            model.Target(t.id, t.service, t.instance, t.slots) for t in targets
        ]
        super().update(now, fresh, reachable)


class _StuckEjection(ejection.Ejection):
    def _check_permit(self, now):
        self._core.now = now


class _StuckAgent(permit_world.Agent):
    def __init__(self, world, number):
        super().__init__(world, number)
        self.ejection = _StuckEjection(world.rng)


class PlantedViolationTest(unittest.TestCase):
    """Guards against a floor check that cannot fail.

    Each faulty owner or agent must violate the floor in the simulation, and
    the correct one must not.
    """

    def _world(self, **planted):
        return type("Planted", (permit_world.World,), planted)(1)

    def _all_gray(self, world):
        world.run(1)
        for agent in world.agents:
            agent.gray = True
        world.run(8)
        return world.shortfalls

    def test_correct_owner_keeps_the_floor(self):
        world = self._world()
        self.assertEqual([], self._all_gray(world))

    def test_correct_owner_allows_ejections(self):
        world = self._world()
        world.agents[0].gray = world.agents[1].gray = True
        world.run(3)
        self.assertEqual(2, world.ejections)

    def test_owner_without_floor_is_detected(self):
        self.assertTrue(self._all_gray(self._world(permits_class=_NoFloor)))

    def _change_owner_with_three_ejected(self, world):
        for agent in world.agents[:3]:
            agent.gray = True
        world.run(3)
        world.change_owner(crash=False)
        world.run(4.9)
        for agent in world.agents:
            agent.gray = True
        world.run(12)
        return world.shortfalls

    def test_change_of_owner_keeps_the_floor(self):
        self.assertEqual(
            [], self._change_owner_with_three_ejected(self._world())
        )

    def test_new_owner_that_does_not_wait_is_detected(self):
        world = self._world(permits_class=_NoWait)
        self.assertTrue(self._change_owner_with_three_ejected(world))

    def _lose_capacity_while_partitioned(self, world):
        for agent in world.agents[:3]:
            agent.gray = True
        world.run(3)
        world.loss = 1.0
        world.agents[5].dead = True
        world.run(15)
        return world.shortfalls

    def test_partitioned_agent_keeps_the_floor(self):
        self.assertEqual(
            [], self._lose_capacity_while_partitioned(self._world())
        )

    def test_agent_that_ignores_permit_expiry_is_detected(self):
        world = self._world(agent_class=_StuckAgent)
        self.assertTrue(self._lose_capacity_while_partitioned(world))


def _targets(**changes):
    found = []
    for number in range(6):
        values = {"state": model.TargetState.SERVING, "weight": 1.0}
        values.update(changes.get(f"t{number}", {}))
        found.append(
            model.Target(f"t{number}", "service", f"i{number}", 3, **values)
        )
    return found


class CapacityTest(unittest.TestCase):
    """Guards against counting capacity that is not available.

    Targets that are starting, cold, ejected, unreachable or at a low weight
    must not count as healthy slots.
    """

    @parameterized.expand(
        [
            ("serving", {}, permits.Granted),
            ("ejected", {"state": model.TargetState.EJECTED}, permits.Denied),
            ("leaving", {"state": model.TargetState.LEAVING}, permits.Granted),
            ("starting", {"state": model.TargetState.STARTING}, permits.Denied),
            ("cold", {"warm_since": 95.0}, permits.Denied),
            ("low weight", {"weight": 0.05}, permits.Denied),
        ]
    )
    def test_state_of_two_others(self, _name, change, expected):
        # 9 of 18 slots must remain: three targets other than t0 and t3.
        owner = permits.Permits(0.5, 1, 0.0)
        owner.confirm(200.0)
        targets = _targets(t1=change, t2=change)
        owner.update(100.0, targets, lambda _: True)
        self.assertIsInstance(owner.request(100.0, "t0", 3, 1), permits.Granted)
        # A leaving target does not count as announced: 9 of 12 slots remain.
        found = owner.request(100.0, "t3", 3, 1)
        self.assertIsInstance(found, expected)

    def test_unreachable_targets(self):
        owner = permits.Permits(0.5, 1, 0.0)
        owner.confirm(200.0)
        owner.update(100.0, _targets(), {"i0", "i3", "i4", "i5"}.__contains__)
        self.assertIsInstance(owner.request(100.0, "t0", 3, 1), permits.Granted)
        self.assertIsInstance(owner.request(100.0, "t3", 3, 1), permits.Denied)

    def test_recall_is_newest_first_and_repeated(self):
        owner = permits.Permits(0.5, 1, 0.0)
        owner.confirm(200.0)
        owner.update(100.0, _targets(), lambda _: True)
        for number in range(3):
            owner.request(100.0 + number, f"t{number}", 3, 1)
        owner.update(102.0, _targets(), lambda id: id != "i5")
        self.assertEqual(["t2"], owner.recalls(102.0))
        self.assertEqual(["t2"], owner.recalls(102.1))
        self.assertIsInstance(owner.request(102.2, "t2", 3, 2), permits.Denied)

    def test_unconfirmed_owner_issues_nothing(self):
        owner = permits.Permits(0.5, 1, 0.0)
        owner.confirm(104.0)
        owner.update(100.0, _targets(), lambda _: True)
        self.assertIsInstance(owner.request(104.0, "t0", 3, 1), permits.Denied)

    def test_late_release_does_not_end_a_newer_permit(self):
        owner = permits.Permits(0.5, 1, 0.0)
        owner.confirm(200.0)
        owner.update(100.0, _targets(), lambda _: True)
        owner.request(100.0, "t0", 3, 2)
        owner.release(100.1, "t0", 1)
        self.assertEqual(["t0"], list(owner.running(100.2)))


class LifeCycleTest(unittest.TestCase):
    """Guards against targets that stay ejected too long or return too early.

    Replies may arrive after a recall, permits may expire unnoticed and a
    flapping target may return at once.
    """

    def setUp(self):
        self.cycle = ejection.Ejection(random.Random(1))
        self.now = 100.0

    def _eject(self):
        asked = self.cycle.verdict(self.now, GRAY)
        self.assertEqual("low_weight", self.cycle.state)
        (ask,) = asked
        granted = permits.Granted(self.now + 5, 1)
        self.cycle.answered(self.now + 0.002, ask.serial, granted)
        self.assertEqual("ejected", self.cycle.state)

    def _run(self, until, healthy=True):
        """Renews permits and answers probes; returns the time of slow start."""
        while self.now < until:
            self.now += 0.1
            for action in self.cycle.tick(self.now):
                match action:
                    case ejection.RequestPermit(serial, _):
                        granted = permits.Granted(self.now + 5, 1)
                        self.cycle.answered(self.now, serial, granted)
                    case ejection.Probe():
                        self.cycle.probed(self.now, healthy)
            if self.cycle.state == "slow_start":
                return self.now
        return None

    def test_backoff_of_flapping_target_doubles_up_to_5_min(self):
        expected = 5.0
        for _ in range(9):
            start = self.now
            self._eject()
            back = self._run(start + 1000)
            self.assertAlmostEqual(expected, back - start, delta=2.0)
            expected = min(300.0, 2 * expected)

    def test_backoff_is_reset_after_steady_service(self):
        self._eject()
        self._run(self.now + 100)
        for _ in range(800):
            self.now += 0.1
            self.cycle.tick(self.now)
        self.assertEqual("serving", self.cycle.state)
        start = self.now
        self._eject()
        self.assertAlmostEqual(5.0, self._run(start + 100) - start, delta=2.0)

    def test_failed_probes_keep_the_target_ejected(self):
        self._eject()
        self.assertIsNone(self._run(self.now + 30, healthy=False))
        self.assertEqual("probing", self.cycle.state)

    def test_slow_start_rises_over_10_s(self):
        self._eject()
        back = self._run(self.now + 100)
        weights = [self.cycle.weight(back + n) for n in (0, 5, 10)]
        self.assertAlmostEqual(0.1, weights[0], delta=0.01)
        self.assertAlmostEqual(0.55, weights[1], delta=0.01)
        self.assertEqual(1.0, weights[2])

    def test_target_returns_before_the_permit_expires(self):
        sent = self.now
        self._eject()
        while self.cycle.ejected:
            self.now += 0.1
            self.cycle.tick(self.now)
        self.assertLess(self.now, sent + permits.PERMIT_SECONDS)
        self.assertEqual(ejection.LOW_WEIGHT, self.cycle.weight(self.now))

    def test_reply_to_request_before_recall_does_not_eject(self):
        self._eject()
        (ask,) = self.cycle.tick(self.now + 2)
        self.cycle.recalled(self.now + 2.1)
        granted = permits.Granted(self.now + 7, 1)
        self.cycle.answered(self.now + 2.2, ask.serial, granted)
        self.assertEqual("low_weight", self.cycle.state)

    def test_healthy_target_at_low_weight_recovers_without_permit(self):
        self.cycle.verdict(self.now, GRAY)
        self.cycle.verdict(self.now + 0.1, detector.Healthy())
        self.cycle.tick(self.now + 2.2)
        self.assertEqual("slow_start", self.cycle.state)
