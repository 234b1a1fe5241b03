"""Tests of gray failure detection from request outcomes."""

import unittest

from parameterized import parameterized

from bench import targets
from cicadafront.health import detector, outcomes, reference
from tests.health import harness

WARM_UP_SECONDS = 30.0
# Required worst-case detection time at 20 requests/s. For lower rates, it is
# the time in which the same number of requests arrives.
WORST_SECONDS = 3.0


def _feed(
    tested: detector.Detector, outcome, count: int, start: float
) -> float:
    for number in range(count):
        now = start + 0.05 * number
        request = outcomes.Request(number, "route")
        tested.started(now, request)
        tested.finished(now + 0.02, request, outcome)
    return start + 0.05 * count


def _others(
    now: float, levels=(0.0, 0.0, 0.0, 0.0), slowdown=1.0
) -> reference.Reference:
    found = reference.References()
    route = reference.RouteSummary(reference.route_key("route"), 64, 0.04, 0.08)
    for number in range(5):
        key = reference.target_key(f"other-{number}")
        found.learn(
            now, reference.Summary(key, levels, 20, 20, slowdown, (route,))
        )
    return found.reference(now, "self")


class DetectionTest(unittest.TestCase):
    """Guards against gray targets that remain undetected.

    At a low rate, evidence accumulates slowly, and several gray targets may
    shift the reference with which each of them is compared.
    """

    @parameterized.expand(
        [
            (
                f"{fault.value} at {rate:g}/s, {count} targets",
                fault,
                rate,
                count,
            )
            for fault in targets.Fault
            if fault is not targets.Fault.NONE
            for rate, count in [(20.0, 6), (20.0, 12), (3.0, 6), (3.0, 12)]
        ]
    )
    def test_fault_is_detected(self, _name, fault, rate, count):
        worst = WORST_SECONDS * max(1.0, 20.0 / rate)
        for seed in range(2):
            service = harness.Service(seed, count, rate)
            service.clock.run(WARM_UP_SECONDS)
            service.targets[0].model.fault = fault
            service.clock.run(WARM_UP_SECONDS + worst)
            self.assertEqual(["target-0"], list(service.gray()), seed)

    @parameterized.expand([(fault.value, fault) for fault in targets.Fault][1:])
    def test_two_gray_targets_of_six_are_both_detected(self, _name, fault):
        for seed in range(6):
            service = harness.Service(seed)
            service.clock.run(WARM_UP_SECONDS)
            for target in service.targets[:2]:
                target.model.fault = fault
            service.clock.run(WARM_UP_SECONDS + WORST_SECONDS)
            self.assertEqual({"target-0", "target-1"}, set(service.gray()))


class CancelledRequestTest(unittest.TestCase):
    """Guards against stalls that are missed because requests are cancelled.

    Entries cancel a hedged request before it is old enough to count as a
    stall by itself.
    """

    def _verdict_after_cancellations(self, count, slowdown=1.0, answered=False):
        tested = detector.Detector("self")
        now = _feed(tested, outcomes.Completed(200, 0.02), 40, 0.0)
        tested.verdict(now, _others(now, slowdown=slowdown))
        for number in range(1000, 1000 + count):
            request = outcomes.Request(number, "route")
            tested.started(now, request)
            if answered:
                tested.answered(request)
            now += 1.0
            tested.finished(now, request, outcomes.Cancelled())
        return tested.verdict(now, _others(now, slowdown=slowdown))

    @parameterized.expand(
        [
            ("two consecutive stalls", 2, 1.0, False, True),
            ("one long request", 1, 1.0, False, False),
            ("all targets equally slow", 2, 20.0, False, False),
            ("client reads slowly", 2, 1.0, True, False),
        ]
    )
    def test_verdict(self, _name, count, slowdown, answered, gray):
        found = self._verdict_after_cancellations(count, slowdown, answered)
        self.assertEqual(isinstance(found, detector.Gray), gray, found)

    def test_expired_stalls_do_not_accumulate(self):
        tested = detector.Detector("self")
        now = _feed(tested, outcomes.Completed(200, 0.02), 40, 0.0)
        tested.verdict(now, _others(now))
        for number in (1000, 1001):
            request = outcomes.Request(number, "route")
            tested.started(now, request)
            now += 1.0
            tested.finished(now, request, outcomes.Cancelled())
            now += detector.CANCELLED_SECONDS
        found = tested.verdict(now, _others(now))
        self.assertNotIsInstance(found, detector.Gray)


class FalseAlarmTest(unittest.TestCase):
    """Guards against healthy targets that are found gray.

    Causes are random noise, a slowdown of the whole service and targets of
    different speed.
    """

    @parameterized.expand([(20.0, 6), (20.0, 12), (3.0, 6)])
    def test_noise(self, rate, count):
        for seed in range(2):
            service = harness.Service(seed, count, rate)
            for target in service.targets:
                target.model.noise = 0.005
                target.model.tail = 0.005
            service.clock.run(300.0)
            self.assertEqual({}, service.gray(), seed)

    @parameterized.expand(
        [
            (
                f"{slowdown:g} times at {rate:g}/s, {count}",
                slowdown,
                rate,
                count,
            )
            for slowdown in (2.0, 5.0, 10.0, 40.0)
            for rate, count in [(20.0, 6), (20.0, 12), (3.0, 6)]
        ]
    )
    def test_slowdown_of_whole_service(self, _name, slowdown, rate, count):
        for seed in range(2):
            service = harness.Service(seed, count, rate)
            service.clock.run(WARM_UP_SECONDS)
            for target in service.targets:
                target.model.slowdown = slowdown
            service.clock.run(WARM_UP_SECONDS + 30)
            self.assertEqual({}, service.gray(), seed)

    def test_targets_of_different_speed(self):
        for seed in range(6):
            service = harness.Service(seed)
            for number, target in enumerate(service.targets):
                target.model.median = 0.02 * (0.8 + 0.1 * number)
            service.clock.run(120.0)
            self.assertEqual({}, service.gray(), seed)


class EvidenceTest(unittest.TestCase):
    """Guards against outcomes that are wrongly counted against a target.

    Client errors and cancellations are no evidence. Server errors and
    slowness count only in comparison with other targets.
    """

    @parameterized.expand(
        [
            ("4xx", outcomes.Completed(404, 0.02), True, detector.Healthy()),
            ("cancel", outcomes.Cancelled(), True, detector.Healthy()),
            (
                "5xx",
                outcomes.Completed(500, 0.02),
                True,
                detector.Gray("errors"),
            ),
            (
                "5xx without peers",
                outcomes.Completed(500, 0.02),
                False,
                detector.Healthy(),
            ),
            *(
                (
                    kind.value,
                    outcomes.Failed(kind),
                    peers,
                    detector.Gray("faults"),
                )
                for kind in outcomes.FailureKind
                for peers in (True, False)
            ),
        ]
    )
    def test_kind_of_outcome(self, _name, outcome, peers, expected):
        tested = detector.Detector("self")
        end = _feed(tested, outcome, 20, 100.0)
        tested.verdict(end, reference.Reference())
        others = _others(end) if peers else reference.Reference()
        self.assertEqual(expected, tested.verdict(end, others))

    def test_errors_of_the_whole_service(self):
        tested = detector.Detector("self")
        end = _feed(tested, outcomes.Completed(500, 0.02), 30, 100.0)
        others = _others(end, (0.0, 36.0, 0.0, 0.0))
        self.assertEqual(detector.Healthy(), tested.verdict(end, others))

    def test_old_reports_are_not_compared_with_new_evidence(self):
        tested = detector.Detector("self")
        tested.verdict(99.0, _others(99.0))
        end = _feed(tested, outcomes.Completed(200, 1.0), 30, 100.0)
        found = tested.verdict(end, _others(99.0))
        self.assertEqual(
            detector.Suspicious(0.25, report_window=end - 100.0), found
        )
        self.assertEqual(
            detector.Gray("slow"), tested.verdict(end, _others(end))
        )

    def test_one_long_request_is_not_sufficient(self):
        tested = detector.Detector("self")
        tested.started(100.0, outcomes.Request(1, "route"))
        found = tested.verdict(160.0, _others(160.0))
        self.assertNotIsInstance(found, detector.Gray)

    def test_cold_target_may_be_slow(self):
        tested = detector.Detector("self", warm_since=100.0)
        tested.verdict(100.0, _others(100.0))
        end = _feed(tested, outcomes.Completed(200, 1.0), 100, 100.0)
        self.assertEqual(detector.Healthy(), tested.verdict(end, _others(end)))


class SummaryTest(unittest.TestCase):
    """Guards against summaries that are too large or decoded wrongly."""

    def test_round_trip_and_size(self):
        routes = tuple(
            reference.RouteSummary(
                reference.route_key(f"route-{n}"), 64, 0.01 * 2**n, 0.05 * 2**n
            )
            for n in range(4)
        )
        key = reference.target_key("target")
        summary = reference.Summary(
            key, (0.0, 5.0, 12.0, 36.0), 9, 8, 1.5, routes
        )
        data = summary.encode()
        self.assertLessEqual(len(data), 48)
        found = reference.Summary.decode(data)
        self.assertEqual(
            (key, 9, 8), (found.target, found.recent, found.slowdown_samples)
        )
        self.assertAlmostEqual(1.5, found.slowdown, delta=0.05)
        for level, read in zip(summary.levels, found.levels, strict=True):
            self.assertAlmostEqual(level, read, delta=0.1)
        for route, read in zip(routes, found.routes, strict=True):
            self.assertEqual(route.route, read.route)
            self.assertGreaterEqual(read.p99 * 1.0001, route.p99)
            self.assertLess(read.p99, route.p99 * 1.1)

    @parameterized.expand([(b"",), (b"x" * 15,), (b"x" * 15 + b"\x02",)])
    def test_malformed_bytes_are_rejected(self, data):
        with self.assertRaises(ValueError):
            reference.Summary.decode(data)
