"""Tests of the slots of local targets."""

import unittest

from twisted.internet import task

from cicadafront import errors
from cicadafront.agent import queue
from cicadafront.peer import exchange
from cicadafront.routing import slots


class SlotsTest(unittest.TestCase):
    """Guards against more running requests than slots, also with suspects."""

    def setUp(self):
        self.clock = task.Clock()
        self.slots = slots.FairSlots(
            self.clock, lambda entry: entry.fingerprint == b"suspect"
        )
        self.started = []
        self.refused = []

    def submit(self, name, fingerprint=b"", deadline=10.0):
        entry = queue.Entry("t", 2, "amani", 1.0, deadline, fingerprint)
        self.slots.submit(
            entry,
            lambda: self.started.append(name),
            lambda error: self.refused.append((name, error.code)),
        )
        return entry

    def test_slots_are_a_hard_limit(self):
        entries = [self.submit(name) for name in "abc"]
        self.assertEqual(self.started, ["a", "b"])
        self.assertEqual(self.slots.load("t"), exchange.Load(2, 1))
        self.slots.remove(entries[0])
        self.assertEqual(self.started, ["a", "b", "c"])
        for entry in entries:
            self.slots.remove(entry)
        self.assertEqual(self.slots.load("t"), exchange.Load(0, 0))

    def test_suspect_runs_alone(self):
        first = [self.submit(name) for name in "ab"]
        suspect = self.submit("suspect", b"suspect")
        late = self.submit("c")
        self.slots.remove(first[0])
        self.assertEqual(self.started, ["a", "b"])
        self.slots.remove(first[1])
        self.assertEqual(self.started, ["a", "b", "suspect"])
        self.slots.remove(suspect)
        self.assertEqual(self.started, ["a", "b", "suspect", "c"])
        self.slots.remove(late)

    def test_refused_request_does_not_wait(self):
        # Guards against a request that is known to crash targets and reaches
        # one more by an entry that does not know it yet.
        error = errors.RequestCrashesTargetsError("Crashed two targets.")
        self.slots = slots.FairSlots(
            self.clock, lambda entry: True, lambda entry: error
        )
        self.submit("a", b"suspect")
        self.assertEqual(self.started, [])
        self.assertEqual(self.refused, [("a", "request_crashes_targets")])

    def test_expired_suspect_is_rejected(self):
        running = self.submit("a")
        self.submit("suspect", b"suspect", deadline=1.0)
        self.clock.advance(1.0)
        waiting = self.submit("b")
        self.slots.tick()
        self.assertEqual(self.refused, [("suspect", "queue_full")])
        self.assertEqual(self.started, ["a", "b"])
        self.slots.remove(running)
        self.slots.remove(waiting)

    def test_waiting_request_can_be_removed(self):
        self.submit("a")
        self.submit("b")
        waiting = self.submit("c")
        self.slots.remove(waiting)
        self.assertEqual(self.slots.load("t"), exchange.Load(2, 0))
