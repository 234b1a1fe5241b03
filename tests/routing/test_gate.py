"""Tests of the admission beside a target, on the loads that it answers."""

import unittest

import attrs
from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import model
from cicadafront.agent import observer, queue
from cicadafront.health import crashes, target_breaker
from cicadafront.peer import exchange
from cicadafront.routing import gate

OBJECTIVE = 1.0
USUAL = OBJECTIVE * target_breaker.PRIOR_SHARE
SLOT, PLACE, ANY = 0, 1, 2


class Broadcaster:
    """Sends nothing."""

    def broadcast(self, topic, payload):
        pass

    def on_broadcast(self, topic, handler):
        pass


class Work:
    """One request at the gate; keeps what became of it."""

    def __init__(self, world, **fields):
        self.world = world
        self.started = False
        self.refusal = ""
        self.token = None
        values = {
            "target": "t1",
            "slots": 2,
            "deadline": world.clock.seconds() + 4.0,
            "objective": OBJECTIVE,
            **fields,
        }
        self.entry = queue.Entry(**values)
        world.gate.submit(self.entry, self._start, self._give_up)

    def _start(self):
        self.started = True
        request = exchange.OpenRequest(
            model.RequestHead("GET", "/", ()),
            "",
            "s",
            "t1",
            4.0,
            objective=OBJECTIVE,
        )
        now = self.world.clock.seconds()
        self.token = self.world.gate.started(now, "t1", request)

    def _give_up(self, error):
        self.refusal = error.code

    def end(self, outcome):
        """Ends the request at the target."""
        now = self.world.clock.seconds()
        self.world.gate.finished(now, self.token, outcome)
        self.world.gate.remove(self.entry)

    def answer(self, status, end=None):
        """Answers the request, as an exchange reports it: head, then end."""
        now = self.world.clock.seconds()
        self.world.gate.answered(now, self.token, status)
        self.end(end or observer.Completed(status, 0.1))

    @property
    def fate(self):
        """What became of the request so far."""
        if self.refusal:
            return self.refusal
        return "started" if self.started else "waits"


class World:
    """A gate on virtual time."""

    def __init__(self, alone=lambda entry: False, may_repeat=lambda: True):
        self.clock = task.Clock()
        self.shed = []
        crashed = crashes.CrashTracker(
            self.clock, None, Broadcaster(), lambda target: defer.succeed(False)
        )
        self.gate = gate.Gate(
            self.clock,
            crashed,
            alone,
            shed=lambda *what: self.shed.append(what),
            may_repeat=may_repeat,
        )

    def work(self, **fields):
        """Submits a request."""
        return Work(self, **fields)

    def suspend(self):
        """Lets the target fail until it is suspended."""
        while not self.gate._place("t1").breaker.suspended:
            self.work(insist=PLACE).end(observer.Failed("closed"))


class GateTest(unittest.TestCase):
    """Guards against work at targets that cannot take it."""

    def setUp(self):
        self.world = World()

    @parameterized.expand(
        [(SLOT, "target_busy"), (PLACE, "waits"), (ANY, "waits")]
    )
    def test_full_target(self, insist, expected):
        for _ in range(2):
            self.assertEqual(self.world.work().fate, "started")
        self.assertEqual(self.world.work(insist=insist).fate, expected)

    def test_freed_slot_goes_to_the_most_urgent(self):
        first = self.world.work()
        self.world.work()
        low = self.world.work(priority=2)
        high = self.world.work(priority=1)
        first.end(observer.Completed(200, 0.1))
        self.assertEqual((low.fate, high.fate), ("waits", "started"))

    def test_queue_is_short_and_refuses_the_least_urgent(self):
        works = [self.world.work(priority=1) for _ in range(2)]
        limit = gate.WAITING_PER_SLOT * 2
        works += [
            self.world.work(priority=2, deadline=99.0) for _ in range(limit)
        ]
        urgent = self.world.work(priority=0, deadline=99.0)
        self.assertEqual(urgent.fate, "waits")
        refused = [work for work in works if work.refusal]
        self.assertEqual([work.refusal for work in refused], ["target_busy"])

    def test_what_would_be_late_is_refused_at_once(self):
        for _ in range(2):
            self.world.work()
        hopeless = self.world.work(deadline=1.2 * USUAL)
        self.assertEqual(hopeless.fate, "target_busy")

    def test_what_becomes_late_is_refused_before_its_deadline(self):
        for _ in range(2):
            self.world.work(deadline=99.0)
        waiting = self.world.work(deadline=2.0)
        while waiting.fate == "waits":
            self.world.clock.advance(gate.TICK_SECONDS)
        self.assertEqual(waiting.refusal, "target_busy")
        self.assertLess(self.world.clock.seconds(), 2.0)

    def test_leaving_target_refuses_what_waits(self):
        for _ in range(2):
            self.world.work()
        waiting = self.world.work()
        self.world.gate.empty("t1")
        self.assertEqual(waiting.fate, "target_leaving")

    @parameterized.expand(
        [(SLOT, "target_doubted"), (PLACE, "started"), (ANY, "started")]
    )
    def test_doubted_target(self, insist, expected):
        self.world.work()
        self.world.clock.advance(1.1 * target_breaker.LATE_FACTOR * USUAL)
        self.assertEqual(self.world.work(insist=insist).fate, expected)

    @parameterized.expand(
        [(SLOT, "target_doubted"), (PLACE, "target_doubted"), (ANY, "started")]
    )
    def test_suspended_target(self, insist, expected):
        self.world.suspend()
        self.assertEqual(self.world.work(insist=insist).fate, expected)

    @parameterized.expand(
        [
            ("repeatable", True, SLOT, "started"),
            ("payment", False, SLOT, "target_doubted"),
            ("insisting_payment", False, PLACE, "started"),
        ]
    )
    def test_trial(self, _name, repeatable, insist, expected):
        self.world.suspend()
        self.world.clock.advance(target_breaker.MAX_TRIAL_DELAY_SECONDS)
        work = self.world.work(repeatable=repeatable, insist=insist)
        self.assertEqual(work.fate, expected)

    def test_stalled_target_takes_few_payments(self):
        fates = []
        for _ in range(40):
            fates.append(self.world.work(insist=SLOT, slots=9).fate)
            self.world.clock.advance(0.1)
        # None of them ends; without a judgement nine would be lost.
        self.assertLessEqual(
            fates.count("started"), 2 + target_breaker.LATE_FACTOR * USUAL / 0.1
        )

    def test_target_that_begins_to_stall_holds_few_payments(self):
        works = []
        for _ in range(10):
            works.append(self.world.work(insist=SLOT, slots=5))
            self.world.clock.advance(0.02)
        fates = [work.fate for work in works]
        self.assertEqual(fates.count("started"), 3)
        self.assertEqual(self.world.work(insist=PLACE, slots=5).fate, "started")
        self.assertEqual(
            self.world.work(slots=5, repeatable=True).fate, "started"
        )

    def test_payments_follow_those_that_ended(self):
        running = []
        for _ in range(20):
            running.append(self.world.work(insist=SLOT, slots=5))
            self.world.clock.advance(0.05)
            if len(running) == 3:
                running.pop(0).answer(200)
        self.assertEqual(
            [work.fate for work in running], ["started", "started"]
        )

    def test_target_that_fails_fast_takes_few_payments(self):
        started = 0
        for _ in range(40):
            work = self.world.work(insist=SLOT)
            self.world.clock.advance(0.01)
            if work.fate == "started":
                started += 1
                work.answer(500)
            self.world.clock.advance(0.1)
        self.assertLessEqual(started, 3)

    @parameterized.expand(
        [
            ("good", 200, None, False),
            ("one_error_in_four", 500, None, False),
            ("broken_off", 200, observer.Failed("short"), True),
            ("slow_caller", 200, observer.Stalled(1.0), False),
            ("gone_caller", 200, observer.Cancelled(), False),
        ]
    )
    def test_judged_by_head_and_end(self, _name, status, end, suspended):
        breaker = self.world.gate._place("t1").breaker
        for number in range(8):
            work = self.world.work(insist=ANY)
            self.world.clock.advance(0.05)
            wrong = end is not None or number % 4 == 0
            work.answer(status if wrong else 200, end)
        self.assertEqual(breaker.suspended, suspended)

    def test_suspect_runs_alone(self):
        print_ = b"x"
        world = World(alone=lambda entry: entry.fingerprint == print_)
        usual = world.work()
        self.assertEqual(world.work(fingerprint=print_).fate, "target_busy")
        usual.end(observer.Completed(200, 0.1))
        suspect = world.work(fingerprint=print_)
        self.assertEqual(suspect.fate, "started")
        self.assertEqual(world.work(insist=SLOT).fate, "target_busy")
        suspect.end(observer.Completed(200, 0.1))
        self.assertEqual(world.work().fate, "started")

    def test_shed_request_is_reported(self):
        self.world.work().end(observer.Shed(421))
        self.assertEqual(self.world.shed, [("t1", 421)])

    def test_load(self):
        for _ in range(3):
            self.world.work()
        self.assertEqual(attrs.astuple(self.world.gate.load("t1")), (2, 1))


class RepeatedTest(unittest.TestCase):
    """Guards against calls of repeated requests that nobody notices."""

    @parameterized.expand(
        [
            (False, True, ""),
            (False, False, ""),
            (True, True, ""),
            (True, False, "call_budget_used"),
        ]
    )
    def test_second_run_waits_for_the_budget_of_its_calls(
        self, repeated, allowed, refusal
    ):
        world = World(may_repeat=lambda: allowed)
        for insist in (SLOT, PLACE, ANY):
            work = Work(world, repeated=repeated, insist=insist)
            self.assertEqual(work.refusal, refusal)

    @parameterized.expand(
        [([], 0.0), ([False], 0.0), ([True], 1.0), ([True, False], 0.5)]
    )
    def test_share_of_the_running_requests(self, repeated, share):
        world = World()
        for each in repeated:
            Work(world, repeated=each)
        self.assertEqual(world.gate.repeated_share(), share)
