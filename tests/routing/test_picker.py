"""Tests of target selection, subsets and retries."""

import collections
import random
import unittest

from parameterized import parameterized

from cicadafront import model
from cicadafront.errors import Executed
from cicadafront.peer import exchange
from cicadafront.routing import picker, retry, subset

CENTRES = ("dar-a", "dar-b", "dar-c")


def _target(number, **changes):
    values = {"data_centre": CENTRES[number % 3], **changes}
    return model.Target(f"t{number}", "desk", f"i{number}", 3, **values)


def _picker(targets, usable=lambda now, instance: True, centre=""):
    return picker.Picker(random.Random(1), lambda _: targets, usable, centre)


def _counts(chooser, count=1000, now=100.0, busy=()):
    counts = collections.Counter()
    for _ in range(count):
        for name in busy:
            chooser.observe(name, exchange.Load(3, 2), now)
        target = chooser.pick("desk", frozenset(), now)
        chooser.observe(target.id, exchange.Load(), now)
        counts[target.id] += 1
    return counts


class PickerTest(unittest.TestCase):
    """Guards against requests to unavailable or overloaded targets."""

    @parameterized.expand(
        [
            ("ejected", {"state": model.TargetState.EJECTED}),
            ("leaving", {"state": model.TargetState.LEAVING}),
            ("starting", {"state": model.TargetState.STARTING}),
            ("no weight", {"weight": 0.0}),
        ]
    )
    def test_unavailable_target_is_not_picked(self, _name, change):
        chooser = _picker([_target(0, **change), _target(1)])
        self.assertEqual({"t1"}, set(_counts(chooser, 50)))

    def test_excluded_and_unreachable_targets(self):
        targets = [_target(n) for n in range(3)]
        chooser = _picker(targets, lambda now, instance: instance != "i0")
        found = chooser.pick("desk", frozenset({"t1"}), 100.0)
        self.assertEqual("t2", found.id)
        excluded = frozenset({"t1", "t2"})
        self.assertIsNone(chooser.pick("desk", excluded, 100.0))
        self.assertEqual(
            "t0", chooser.pick_for_relay("desk", excluded, 100.0).id
        )

    def test_busy_target_is_avoided(self):
        chooser = _picker([_target(n) for n in range(6)])
        counts = _counts(chooser, busy=["t0"])
        self.assertLess(counts["t0"], 10)

    def test_low_weight_gets_few_requests(self):
        targets = [_target(0, weight=0.05), *(_target(n) for n in range(1, 6))]
        counts = _counts(_picker(targets), 5000)
        self.assertLess(counts["t0"], 150)
        self.assertGreater(counts["t0"], 5)

    def test_slow_start(self):
        targets = [
            _target(0, warm_since=100.0),
            *(_target(n) for n in range(1, 6)),
        ]
        cold = _counts(_picker(targets), 3000, 100.0)["t0"]
        warm = _counts(_picker(targets), 3000, 111.0)["t0"]
        self.assertLess(cold, 0.4 * warm)

    def test_local_data_centre_is_preferred_until_busy(self):
        targets = [_target(n) for n in range(6)]
        chooser = _picker(targets, centre="dar-a")
        self.assertEqual({"t0", "t3"}, set(_counts(chooser)))
        counts = _counts(chooser, busy=["t0", "t3"])
        self.assertLess(counts["t0"] + counts["t3"], 100)

    def test_requests_in_flight_count_as_load(self):
        chooser = _picker([_target(n) for n in range(6)])
        counts = collections.Counter(
            chooser.pick("desk", frozenset(), 100.0).id for _ in range(60)
        )
        self.assertLess(max(counts.values()) - min(counts.values()), 8)


class SubsetTest(unittest.TestCase):
    """Guards against entries that use too few or too many targets."""

    def test_preferred_instances_are_spread_over_data_centres(self):
        centres = {f"i{n}": f"dc{n % 6}" for n in range(1300)}
        chosen = subset.preferred_instances("i7", centres)
        spread = collections.Counter(centres[name] for name in chosen)
        self.assertEqual(192, len(chosen))
        self.assertEqual({32}, set(spread.values()))

    @parameterized.expand([(3, 3), (6, 6), (12, 12), (40, 16)])
    def test_small_fleet_uses_all_targets(self, count, expected):
        targets = [_target(n) for n in range(count)]
        preferred = {target.instance for target in targets}
        found = subset.select("i0", targets, preferred)
        self.assertEqual(expected, len({target.id for target in found}))

    def test_every_target_of_a_large_fleet_is_used(self):
        centres = {f"i{n}": f"dc{n % 6}" for n in range(1300)}
        targets = [
            model.Target(f"t{n}", "desk", f"i{n * 77}", 3) for n in range(16)
        ]
        counts = collections.Counter()
        for entry in list(centres)[:200]:
            preferred = subset.preferred_instances(entry, centres)
            found = subset.select(entry, targets, preferred)
            self.assertGreaterEqual(len(found), 4)
            counts.update(target.id for target in found)
        self.assertEqual(16, len(counts))
        self.assertLess(max(counts.values()), 3 * min(counts.values()))


class RetryTest(unittest.TestCase):
    """Guards against retry storms and repeats of non-repeatable requests."""

    @parameterized.expand(
        [
            (Executed.NO, False, False, True, True),
            (Executed.UNKNOWN, False, False, True, False),
            (Executed.UNKNOWN, True, False, True, True),
            (Executed.UNKNOWN, True, True, True, False),
            (Executed.NO, True, False, False, False),
        ]
    )
    def test_may_retry(self, executed, repeatable, answered, held, expected):
        found = retry.may_retry(executed, repeatable, answered, held)
        self.assertEqual(expected, found)

    def test_budget_over_a_minute_of_failures(self):
        budget = retry.RetryBudget(0.0)
        taken = 0
        for number in range(6000):
            now = number / 100
            budget.requested(now)
            taken += budget.take(now)
        self.assertLessEqual(taken, 600 + 180 + retry.MAX_RETRY_TOKENS)
        self.assertGreater(taken, 700)

    def test_hedge_delay_is_p95(self):
        delay = retry.HedgeDelay()
        self.assertIsNone(delay.seconds())
        for number in range(100):
            delay.observe(0.010 + number * 0.001)
        self.assertAlmostEqual(0.104, delay.seconds(), delta=0.002)
