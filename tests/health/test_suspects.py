"""Tests of requests that crash their targets."""

import json
import random
import unittest

from parameterized import parameterized
from twisted.internet import defer, task

from bench import loop
from cicadafront.agent import observer
from cicadafront.health import crashes, suspects
from cicadafront.membership import handover

KILLER = b"k" * 32
OTHER = b"o" * 32
BROADCAST_SECONDS = 0.2
RUN_SECONDS = 0.01
TARGETS = [f"target-{n}" for n in range(12)]


def _crash(fingerprint, target, alone=False, others=()):
    return suspects.Crash(fingerprint, "amani", target, alone, others)


class _Fleet:
    """Entries and agents that receive crash events after a delay."""

    def __init__(self, seed):
        self.clock = loop.Loop()
        self.rng = random.Random(seed)
        self.known = {name: suspects.Suspects() for name in TARGETS}
        self.entries = [suspects.Suspects() for _ in range(6)]
        self.crashed = []
        self.refused = 0
        self.busy = set()

    def send(self, failed=lambda: None):
        now = self.clock.now
        alive = [name for name in TARGETS if name not in self.crashed]
        entry = self.rng.choice(self.entries)
        found = entry.decide(now, "amani", KILLER, TARGETS)
        target = self.rng.choice(alive)
        if isinstance(found, suspects.RunIsolated):
            target = found.target
        if isinstance(found, suspects.Refuse) or target in self.crashed:
            self.refused += 1
            self.clock.later(RUN_SECONDS, failed)
            return
        agent = self.known[target].decide(now, "amani", KILLER, [target])
        alone = isinstance(agent, suspects.RunIsolated)
        if isinstance(agent, suspects.Refuse) or (
            alone and KILLER in self.busy
        ):
            self.refused += 1
            self.clock.later(RUN_SECONDS, failed)
            return
        if alone:
            self.busy.add(KILLER)
        self.clock.later(
            RUN_SECONDS, lambda: self._crash(target, alone, failed)
        )

    def _crash(self, target, alone, failed):
        self.busy.discard(KILLER)
        if target not in self.crashed:
            self.crashed.append(target)
        event = _crash(KILLER, target, alone)
        self.known[target].learn(self.clock.now, event)
        for store in [*self.known.values(), *self.entries]:
            delay = self.rng.uniform(0.0, BROADCAST_SECONDS)
            self.clock.later(
                delay, lambda s=store: s.learn(self.clock.now, event)
            )
        self.clock.later(suspects.CRASH_HOLD_SECONDS, failed)


class RetriedRequestTest(unittest.TestCase):
    """Guards against a retried request that crashes many targets.

    Each retry may reach an instance that has not received the crash event yet.
    """

    def test_client_that_waits_for_the_failure_crashes_two(self):
        for seed in range(50):
            fleet = _Fleet(seed)

            def again(fleet=fleet):
                if fleet.clock.now < 60:
                    fleet.send(lambda: fleet.clock.later(0.01, again))

            again()
            fleet.clock.run(60)
            self.assertLessEqual(len(fleet.crashed), 2, seed)
            self.assertGreater(fleet.refused, 100)

    def test_client_that_does_not_wait(self):
        # During a broadcast of 200 ms and a run of 10 ms, a client that sends
        # 20 requests/s reaches at most 5 targets whose agents do not know the
        # request.
        for seed in range(50):
            fleet = _Fleet(seed)
            for number in range(400):
                fleet.clock.later(0.05 * number, fleet.send)
            fleet.clock.run(60)
            self.assertLessEqual(len(fleet.crashed), 6, seed)


class DecisionTest(unittest.TestCase):
    """Guards against wrong refusals and against repeated crashes.

    A crash involves all requests that the target was running, most of which
    did not cause it.
    """

    @parameterized.expand(
        [
            ("none", [], suspects.RunNormally),
            ("one shared", [_crash(KILLER, "a", False, (OTHER,))], "alone"),
            ("one alone", [_crash(KILLER, "a", True)], "alone"),
            ("same crash twice", [_crash(KILLER, "a")] * 2, "alone"),
            (
                "second alone",
                [_crash(KILLER, "a"), _crash(KILLER, "b", True)],
                suspects.Refuse,
            ),
            (
                "two shared with different others",
                [
                    _crash(KILLER, "a", False, (OTHER,)),
                    _crash(KILLER, "b", False, (b"x" * 32,)),
                ],
                suspects.Refuse,
            ),
            (
                "two shared with the same other",
                [
                    _crash(KILLER, "a", False, (OTHER,)),
                    _crash(KILLER, "b", False, (OTHER,)),
                ],
                "alone",
            ),
            (
                "cleared",
                [_crash(KILLER, "a"), suspects.Cleared(KILLER, "amani")],
                suspects.RunNormally,
            ),
        ]
    )
    def test_history(self, _name, events, expected):
        known = suspects.Suspects()
        for event in events:
            known.learn(100.0, suspects.decode(suspects.encode(event)))
        found = known.decide(101.0, "amani", KILLER, TARGETS)
        if expected == "alone":
            expected = suspects.RunIsolated
            self.assertEqual(
                suspects.isolated_target(KILLER, TARGETS), found.target
            )
        self.assertIsInstance(found, expected)
        self.assertEqual(
            suspects.RunNormally(),
            known.decide(101.0, "another", KILLER, TARGETS),
        )

    def test_request_runs_alone_after_refusal_ends(self):
        known = suspects.Suspects()
        known.learn(0.0, _crash(KILLER, "a"))
        known.learn(1.0, _crash(KILLER, "b", True))
        kinds = [
            type(known.decide(now, "amani", KILLER, TARGETS))
            for now in (600.0, 602.0, 1202.0)
        ]
        self.assertEqual(
            [suspects.Refuse, suspects.RunIsolated, suspects.RunNormally], kinds
        )

    def test_memory_is_bounded_and_accounts_are_isolated(self):
        known = suspects.Suspects()
        known.learn(0.0, _crash(KILLER, "a"))
        for number in range(10_000):
            print_of = number.to_bytes(32, "big")
            known.learn(0.0, suspects.Crash(print_of, "noisy", "a", True))
        self.assertEqual(1 + suspects.MAX_SUSPECTS_PER_ACCOUNT, len(known))
        self.assertIsInstance(
            known.decide(1.0, "amani", KILLER, TARGETS), suspects.RunIsolated
        )
        for number in range(10_000):
            print_of = number.to_bytes(32, "big")
            event = suspects.Crash(print_of, f"a{number % 50}", "a", True)
            known.learn(0.0, event)
        self.assertLessEqual(len(known), suspects.MAX_SUSPECTS)


class PayloadTest(unittest.TestCase):
    """Guards against payloads that are too large or decoded wrongly."""

    def test_largest_event_fits_into_a_broadcast(self):
        others = tuple(bytes([n]) * 32 for n in range(16))
        event = suspects.Crash(KILLER, "a" * 200, "t" * 200, False, others)
        data = suspects.encode(event)
        self.assertLessEqual(len(data), 1000)
        self.assertEqual(event, suspects.decode(data))

    @parameterized.expand([(b"",), (b"\x09" + b"x" * 36,), (b"\x01" * 37,)])
    def test_malformed_bytes_are_rejected(self, data):
        with self.assertRaises(ValueError):
            suspects.decode(data)


class _Broadcaster:
    """Broadcaster that sends nothing."""

    def broadcast(self, topic, payload):
        pass

    def on_broadcast(self, topic, handler):
        pass


class _Process:
    """The crash tracker of one process."""

    def __init__(self, started):
        self.clock = task.Clock()
        self.clock.advance(started)
        self.unix_offset = 1_800_000_000 - started
        self.facts = handover.Handover("n1", self.unix_time)
        self.tracker = crashes.CrashTracker(
            self.clock,
            None,
            _Broadcaster(),
            lambda target: defer.succeed(True),
            self.facts,
        )

    def unix_time(self):
        return self.unix_offset + self.clock.seconds()

    def crash(self, target):
        """Lets the request crash a local target."""
        running = crashes.RunningRequest(target, "amani", KILLER)
        self.tracker.started(running)
        self.tracker.finished(running, observer.Failed("closed"))

    def refuses(self):
        """Returns whether the process refuses the request."""
        return self.tracker.refusal("amani", KILLER) is not None

    def entry(self):
        """Returns the facts in its entry of the store."""
        return json.loads(json.dumps({"facts": self.facts.for_store()}))


class RestartTest(unittest.TestCase):
    """Guards against a request that crashes targets again after a restart.

    Each process that has forgotten the crashes sends it to two more targets.
    """

    def setUp(self):
        self.old = _Process(started=50_000.0)
        self.old.crash("t1")
        self.old.crash("t2")
        self.assertTrue(self.old.refuses())
        # The steady clock of each process has its own origin.
        self.new = _Process(started=3.0)

    def test_new_process_learns_from_the_entries(self):
        self.new.facts.learn(self.old.entry(), own=True)
        self.assertTrue(self.new.refuses())

    def test_new_process_learns_from_a_peer(self):
        self.new.facts.learn_reply(self.old.facts.for_peer("n1", b""))
        self.assertTrue(self.new.refuses())

    def test_all_processes_are_replaced_one_after_the_other(self):
        process = self.old
        for _ in range(6):
            new = _Process(started=3.0)
            new.facts.learn_reply(process.facts.for_peer("n1", b""))
            process = new
        self.assertTrue(process.refuses())

    def test_one_crash_is_remembered_as_well(self):
        old = _Process(started=50_000.0)
        old.crash("t1")
        self.new.facts.learn(old.entry(), own=False)
        self.assertFalse(self.new.refuses())
        self.new.crash("t2")
        self.assertTrue(self.new.refuses())

    def test_refusal_is_not_extended(self):
        self.old.clock.advance(suspects.REFUSE_SECONDS - 10)
        self.new.unix_offset += suspects.REFUSE_SECONDS - 10
        self.new.facts.learn(self.old.entry(), own=True)
        self.assertTrue(self.new.refuses())
        self.new.clock.advance(11)
        self.assertFalse(self.new.refuses())

    def test_fact_that_is_learned_twice_changes_nothing(self):
        entry = self.old.entry()
        self.new.facts.learn(entry, own=True)
        self.new.unix_offset += 100
        self.new.facts.learn(entry, own=False)
        self.new.clock.advance(suspects.REFUSE_SECONDS - 1)
        self.assertTrue(self.new.refuses())

    def test_cleared_request_is_not_handed_over(self):
        old = _Process(started=50_000.0)
        old.crash("t1")
        running = crashes.RunningRequest("t2", "amani", KILLER)
        old.tracker.started(running)
        old.tracker.finished(running, observer.Completed(200, 0.1))
        self.assertEqual(old.entry(), {"facts": []})
