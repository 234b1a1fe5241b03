"""Tests of hedged reads."""

import unittest

from parameterized import parameterized
from twisted.internet import task

from cicadafront import errors, model
from cicadafront.edge import attempt, attempts, candidates, forward, policies
from cicadafront.peer import exchange
from cicadafront.routing import hedges, retry
from tests.support import memory

DELAY = 0.02
NO = errors.Executed.NO
UNKNOWN = errors.Executed.UNKNOWN


class Hedges:
    """Hedges after a fixed delay."""

    def __init__(self, delay):
        self.seconds = delay
        self.answers = []

    def delay(self, service):
        return self.seconds

    def answered(self, service, seconds):
        self.answers.append(seconds)


class Budget:
    """Allows a fixed number of retries and hedges."""

    def __init__(self, left):
        self.left = left

    def request(self, service, now, repeated=0.0):
        pass

    def try_retry(self, service, now):
        self.left -= 1
        return self.left >= 0


class Read:
    """One request through an edge in front of the targets t1 and t2."""

    def __init__(
        self, method="GET", path="/open", body=b"", left=9, delay=DELAY, **parts
    ):
        self.clock = task.Clock()
        self.opener = memory.Opener()
        self.hedges = Hedges(delay)
        self.edge_dependencies = memory.edge_dependencies(
            self.clock,
            self.opener,
            hedges=self.hedges,
            budget=Budget(left),
            **parts,
        )
        self.forwarder = forward.Forwarder(self.edge_dependencies)
        self.caller = memory.Response()
        head = model.RequestHead(method, path, ((b"Host", b"h"),))
        self.sink = self.forwarder.begin(head, "", self.caller)
        if body:
            self.sink.body(body)
        self.sink.end()

    @property
    def chosen(self):
        return [request.target for _, request, _, _ in self.opener.opened]

    def cancelled(self, index):
        return self.opener.opened[index][3].cancelled

    def head(self, index, status=200):
        head = model.ResponseHead(status, ())
        self.opener.opened[index][2].head(head, exchange.Load())

    def rest(self, index, body):
        response = self.opener.opened[index][2]
        response.body(body)
        response.end()

    def fail(self, index, executed=UNKNOWN, code="target_failed"):
        error = errors.RequestError("x", executed=executed, code=code)
        self.opener.opened[index][2].fail(error, exchange.Load())


class Suspects:
    """Restricts the request to one target once `isolated_target_id` is set."""

    def __init__(self):
        self.isolated_target_id = None

    def check(self, account, fingerprint):
        pass

    def isolated_target(self, account, fingerprint, service):
        return self.isolated_target_id


class EligibilityTest(unittest.TestCase):
    """Guards against hedges of requests that must run only once."""

    @parameterized.expand(
        [
            ("read", {}, 2),
            ("head", {"method": "HEAD"}, 2),
            ("not a read", {"method": "POST"}, 1),
            ("not repeatable", {"path": "/once"}, 1),
            ("with a body", {"body": b"x"}, 1),
            ("no budget", {"left": 0}, 1),
            ("no delay known", {"delay": None}, 1),
            ("no other target", {"targets": [memory.target("t1")]}, 1),
        ]
    )
    def test_attempts(self, _name, fields, expected):
        read = Read(**fields)
        read.clock.advance(DELAY - 0.001)
        self.assertEqual(len(read.chosen), 1)
        read.clock.advance(0.001)
        self.assertEqual(len(set(read.chosen)), expected)
        read.clock.advance(1)
        self.assertEqual(len(read.chosen), expected)

    def test_suspected_request_is_not_hedged(self):
        suspects = Suspects()
        read = Read(suspects=suspects)
        suspects.isolated_target_id = "t1"
        read.clock.advance(DELAY)
        self.assertEqual(len(read.chosen), 1)

    @parameterized.expand(
        [
            ("read", {}, 2),
            ("not a read", {"method": "POST"}, 1),
            ("no budget", {"left": 0}, 1),
        ]
    )
    def test_read_on_a_suspect_path_is_hedged_at_once(
        self, _name, fields, expected
    ):
        read = Read(**fields)
        for _ in range(2):
            read.opener.opened[0][2].path_suspected()
            self.assertEqual(len(read.chosen), expected)
        read.clock.advance(DELAY)
        self.assertEqual(len(read.chosen), expected)

    def test_no_hedge_after_the_head(self):
        read = Read()
        read.head(0)
        read.clock.advance(1)
        self.assertEqual(len(read.chosen), 1)


class RaceTest(unittest.TestCase):
    """Guards against mixed responses and attempts that are never cancelled."""

    def setUp(self):
        self.read = Read()
        self.read.clock.advance(DELAY)

    def _check_end(self, *events):
        self.read.clock.advance(attempt.LOSER_GRACE_SECONDS)
        self.assertEqual(self.read.caller.events, list(events))
        self.assertEqual(self.read.forwarder.running, set())
        # This includes the timer for the time limit of the route.
        self.assertEqual(self.read.clock.getDelayedCalls(), [])

    @parameterized.expand([("first", 0), ("second", 1)])
    def test_both_answer(self, _name, winner):
        loser = 1 - winner
        self.read.clock.advance(0.01)
        self.read.head(winner)
        self.read.head(loser, 203)
        self.read.opener.opened[loser][2].body(b"lost")
        self.read.rest(winner, b"won")
        self.read.rest(loser, b"lost")
        self.assertEqual(
            self.read.edge_dependencies.counts["hedges_won"], winner
        )
        self.assertAlmostEqual(self.read.hedges.answers[0], DELAY + 0.01)
        self._check_end(200, b"won", "end")
        self.assertEqual(
            self.read.edge_dependencies.counts["answers_dropped"], 0
        )

    @parameterized.expand([("first", 0), ("second", 1)])
    def test_slower_attempt_is_cancelled(self, _name, winner):
        self.read.head(winner)
        self.read.rest(winner, b"won")
        left = attempt.LOSER_GRACE_SECONDS - DELAY * winner
        self.read.clock.advance(left - 0.001)
        self.assertFalse(self.read.cancelled(1 - winner))
        self._check_end(200, b"won", "end")
        self.assertTrue(self.read.cancelled(1 - winner))
        self.assertFalse(self.read.cancelled(winner))

    @parameterized.expand([("first", 0), ("second", 1)])
    def test_one_fails(self, _name, failing):
        self.read.fail(failing)
        self.assertEqual(self.read.caller.events, [])
        self.assertEqual(len(self.read.chosen), 2)
        self.read.head(1 - failing)
        self.read.rest(1 - failing, b"ok")
        self._check_end(200, b"ok", "end")

    @parameterized.expand([("first", 0), ("second", 1)])
    def test_both_fail(self, _name, order):
        # The attempt that has not run must not hide the one that may have.
        self.read.fail(order, UNKNOWN)
        self.read.fail(1 - order, NO)
        self._check_end(("target_failed", "unknown"))

    @parameterized.expand([("first", 0), ("second", 1)])
    def test_winner_fails_after_its_head(self, _name, winner):
        self.read.head(winner)
        self.read.fail(winner)
        self.read.head(1 - winner)
        self.read.rest(1 - winner, b"other")
        self._check_end(200, ("target_failed", "unknown"))

    def test_caller_disconnects(self):
        self.read.sink.cancel()
        self.assertTrue(self.read.cancelled(0) and self.read.cancelled(1))
        self._check_end()

    def test_deadline_cancels_both(self):
        self.read.clock.advance(60)
        self.read.clock.advance(forward.DEADLINE_GRACE_SECONDS)
        self.assertTrue(self.read.cancelled(0) and self.read.cancelled(1))
        self._check_end(("deadline_exceeded", "unknown"))


class DelayTest(unittest.TestCase):
    """Guards against a hedge delay that is shared between services."""

    def test_delay_is_the_p95_of_the_service(self):
        delays = hedges.ServiceHedges()
        for index in range(100):
            delays.answered("slow", 1 + index / 100)
            delays.answered("fast", 0.01 + index / 10_000)
        for _ in range(retry.MIN_HEDGE_SAMPLES - 1):
            delays.answered("new", 0.01)
        self.assertAlmostEqual(delays.delay("slow"), 1.94, delta=0.02)
        self.assertAlmostEqual(delays.delay("fast"), 0.0194, delta=0.0002)
        self.assertIsNone(delays.delay("new"))
        self.assertIsNone(delays.delay("unknown"))


class RefusedTest(unittest.TestCase):
    """Guards against reads that stall while another target has a free slot.

    During a gray failure of a small service the first agents that are tried
    for a hedge may refuse it.
    """

    DISPATCH = policies.DispatchPolicy(
        (policies.DispatchRound(exchange.REQUIRE_FREE_SLOT, 7),),
        free_redispatch=True,
    )

    def read(self, count=7, left=1):
        targets = [memory.target(f"t{n}") for n in range(1, count + 1)]
        return Read(dispatch=self.DISPATCH, targets=targets, left=left)

    def test_hedge_skips_the_target_that_refused_the_first_attempt(self):
        read = self.read()
        read.fail(0, NO, "target_busy")
        read.clock.advance(DELAY)
        self.assertEqual(read.chosen, ["t1", "t2", "t3"])

    def test_hedge_tries_further_candidates(self):
        read = self.read()
        read.clock.advance(DELAY)
        for index in range(1, candidates.MAX_HEDGE_CANDIDATES):
            read.fail(index, NO, "target_doubted")
        self.assertEqual(read.chosen, ["t1", "t2", "t3", "t4", "t5"])
        self.assertEqual(read.edge_dependencies.budget.left, 0)

    def test_hedge_pauses_when_all_candidates_refuse(self):
        read = self.read(count=2)
        read.clock.advance(DELAY)
        read.fail(1, NO, "target_busy")
        self.assertEqual(read.chosen, ["t1", "t2"])
        read.clock.advance(attempts.HEDGE_RETRY_SECONDS)
        self.assertEqual(read.chosen, ["t1", "t2", "t2"])
        read.head(2)
        read.rest(2, b"x")
        self.assertEqual(read.caller.events, [200, b"x", "end"])

    def test_hedge_requires_a_free_slot(self):
        dispatch = policies.DispatchPolicy(
            (policies.DispatchRound(exchange.ALLOW_QUEUEING, 2),),
            free_redispatch=True,
        )
        read = Read(dispatch=dispatch)
        read.clock.advance(DELAY)
        asked = [request.insist for _, request, _, _ in read.opener.opened]
        self.assertEqual(
            asked, [exchange.ALLOW_QUEUEING, exchange.REQUIRE_FREE_SLOT]
        )

    def test_hedges_and_retries_stay_within_the_attempts_of_the_route(self):
        read = self.read(left=9)
        read.fail(0, UNKNOWN)
        read.fail(1, UNKNOWN)
        read.fail(2, UNKNOWN)
        read.clock.advance(1.0)
        self.assertLessEqual(len(read.chosen), 4)
