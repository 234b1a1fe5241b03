"""Tests of the facts that a process hands over to later processes."""

import json
import random
import unittest

from parameterized import parameterized
from twisted.internet import defer

from cicadafront import errors, fields
from cicadafront.membership import departures, handover

DAY = 1_800_000_000


class Process:
    """The facts of one process, and those that were handed over to it."""

    def __init__(self, time=DAY):
        self.time = time
        self.facts = handover.Handover("n1", lambda: self.time)
        self.learned = []
        self.changes = 0
        self.facts.on_fact("t", self._learned)
        self.facts.on_own_change(self._changed)

    def _learned(self, payload, age):
        if payload == b"bad":
            raise ValueError("malformed")
        self.learned.append((payload, age))

    def _changed(self):
        self.changes += 1

    def entry(self):
        """Returns the entry in the store, as another process reads it."""
        return json.loads(json.dumps({"facts": self.facts.for_store()}))


class HandoverTest(unittest.TestCase):
    """Guards against processes that forget what the one before them knew."""

    def setUp(self):
        self.old = Process()
        self.old.facts.add("t", b"a", b"own", own=True)
        self.old.facts.add("t", b"b", b"other", own=False)

    def test_successor_learns_from_the_entry(self):
        new = Process(DAY + 5)
        new.facts.learn(self.old.entry(), own=True)
        self.assertEqual(new.learned, [(b"own", 5.0)])
        # The successor writes the fact again, with the time of the event.
        self.assertEqual(new.entry(), self.old.entry())

    def test_peer_hands_over_all_facts(self):
        new = Process(DAY + 5)
        new.facts.learn_reply(self.old.facts.for_peer("n1", b""))
        self.assertEqual(new.learned, [(b"own", 5.0), (b"other", 5.0)])
        self.assertEqual(new.entry(), {"facts": []})

    def test_facts_of_others_are_not_stored(self):
        stored = [item["payload"] for item in self.old.entry()["facts"]]
        self.assertEqual(len(stored), 1)

    def test_fact_that_was_learned_becomes_an_own_one(self):
        new = Process()
        new.facts.learn_reply(self.old.facts.for_peer("n1", b""))
        self.assertFalse(new.facts.add("t", b"a", b"own", own=True))
        self.assertEqual(len(new.entry()["facts"]), 1)

    def test_chain_of_handovers_does_not_extend_a_fact(self):
        # Guards against a refusal that lasts as long as processes restart.
        process, seconds = self.old, 0
        while seconds < handover.LIFETIME_SECONDS:
            seconds += 50
            following = Process(DAY + seconds)
            following.facts.learn(process.entry(), own=True)
            process = following
        self.assertEqual(process.learned, [])

    def test_expired_facts_are_not_handed_over(self):
        self.old.time += handover.LIFETIME_SECONDS
        self.assertEqual(self.old.entry(), {"facts": []})
        reply = json.loads(self.old.facts.for_peer("n1", b""))
        self.assertEqual(reply, {"facts": [], "complete": False})

    def test_discarded_fact(self):
        self.old.facts.discard("t", b"a")
        self.assertEqual(self.old.entry(), {"facts": []})
        self.assertEqual(self.old.changes, 2)

    def test_clock_that_was_set_back(self):
        new = Process(DAY - 5)
        new.facts.learn(self.old.entry(), own=True)
        self.assertEqual(new.learned, [(b"own", 0.0)])

    def test_number_and_size_are_bounded(self):
        for number in range(2000):
            payload = b"%04d" % number * 250
            self.old.facts.add("t", b"n", payload, own=number % 2 == 0)
        stored = self.old.entry()["facts"]
        size = len(json.dumps(stored))
        self.assertLess(size, 1.1 * handover.MAX_STORED_BYTES)
        self.assertLess(
            len(self.old.facts.for_peer("n1", b"")),
            1.1 * handover.MAX_REPLY_BYTES,
        )
        new = Process()
        new.facts.learn(self.old.entry(), own=True)
        # The newest facts are kept.
        self.assertEqual(new.learned[-1][0], b"1998" * 250)

    @parameterized.expand(
        [
            ("topic", {"topic": ""}),
            ("no_topic", {"topic": None}),
            ("payload", {"payload": "%"}),
            ("payload_type", {"payload": 3}),
            ("subject", {"subject": "\ud800"}),
            ("time", {"observed": -1}),
            ("time_type", {"observed": "now"}),
            ("malformed", {"payload": "YmFk"}),
            ("unknown", {"topic": "u"}),
        ]
    )
    def test_invalid_fact_hurts_no_other(self, _name, changes):
        first, new = self.old.facts.for_store()[0], Process()
        document = {"facts": [{**first, **changes}, first]}
        new.facts.learn(document, own=True)
        self.assertEqual(new.learned, [(b"own", 0.0)])
        self.assertEqual(len(new.entry()["facts"]), 1)

    def test_fact_that_concerns_one_instance(self):
        self.old.facts.add("t", b"c", b"n3 only", own=True, concerns="n3")
        for instance, expected in (("n1", 0), ("n3", 1)):
            new = Process()
            new.facts.learn_reply(self.old.facts.for_peer(instance, b""))
            payloads = [payload for payload, _ in new.learned]
            self.assertEqual(payloads.count(b"n3 only"), expected)
        new = Process()
        new.facts.learn(self.old.entry(), own=True)
        self.assertEqual(new.entry(), self.old.entry())

    def test_fact_that_only_a_peer_had_is_stored(self):
        # Guards against a fact that is lost with the memory of one peer.
        self.old.facts.add("t", b"c", b"n1 only", own=False, concerns="n1")
        new = Process()
        new.facts.learn_reply(self.old.facts.for_peer("n1", b""))
        self.assertEqual(len(new.entry()["facts"]), 1)

    @parameterized.expand([("read", True, 0), ("not_read", False, 1)])
    def test_process_that_has_not_read_the_store(self, _name, read, expected):
        # Guards against restarts in an outage that end what one process knows.
        self.old.facts.add("t", b"c", b"n3 only", own=False, concerns="n3")
        new = Process()
        if read:
            new.facts.store_read()
        reply = self.old.facts.for_peer("n1", new.facts.request())
        new.facts.learn_reply(reply)
        payloads = [payload for payload, _ in new.learned]
        self.assertEqual(payloads.count(b"n3 only"), expected)

    @parameterized.expand(
        [
            ("peer_has_read_the_store", True, {}, True),
            ("peer_has_not", False, {}, False),
            ("peer_of_an_earlier_version", False, {"complete": None}, True),
        ]
    )
    def test_informed(self, _name, complete, changes, expected):
        # Guards against the word of a peer that may have missed the event.
        if complete:
            self.old.facts.store_read()
        new, informed = Process(), []
        new.facts.on_informed(lambda: informed.append(True))
        self.assertTrue(new.facts.awaits_peer)
        reply = {**json.loads(self.old.facts.for_peer("n1", b"")), **changes}
        if changes:
            del reply["complete"]
        for _ in range(2):
            new.facts.learn_reply(json.dumps(reply).encode())
        self.assertEqual(informed, [True] * expected)
        self.assertEqual(new.facts.awaits_peer, not expected)
        new.facts.store_read()
        self.assertEqual(informed, [True])

    @parameterized.expand([(b"[",), (b'{"facts": 3}',), (b'{"facts": [3]}',)])
    def test_malformed_reply(self, reply):
        with self.assertRaises(fields.FieldError):
            Process().facts.learn_reply(reply)


class Broadcaster:
    """Broadcaster that keeps what is sent and delivers what a test sends."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def broadcast(self, topic, payload):
        self.sent.append(payload)

    def on_broadcast(self, topic, handler):
        self.handlers[topic] = handler


class Calls:
    """Calls that peers answer as a test says; each is a peer's `Departures`."""

    def __init__(self):
        self.handlers = {}
        self.peers = {}

    def register(self, method, handler):
        self.handlers[method] = handler

    def call(self, instance, method, body, timeout):
        peer = self.peers[instance]
        if peer is None:
            error = errors.CallFailedError("no answer in time")
            return defer.fail(error)
        return defer.maybeDeferred(peer.handlers[method], "n1", body)


class DeparturesTest(unittest.TestCase):
    """Guards against a target that has left and is used after a restart."""

    def setUp(self):
        self.broadcaster = Broadcaster()
        self.calls = Calls()
        self.process, self.recalled = self.start("n1", self.calls)

    def start(self, instance, calls=None):
        facts, recalled = handover.Handover(instance, lambda: DAY), []
        calls = calls or Calls()
        found = departures.Departures(
            instance,
            peers=lambda: sorted(calls.peers),
            calls=calls,
            broadcaster=self.broadcaster,
            facts=facts,
            recall=lambda id, incarnation: recalled.append((id, incarnation)),
            when_written=lambda timeout: defer.succeed(None),
            rng=random.Random(1),
        )
        return found, recalled

    def facts(self, departures_):
        return departures_._facts

    def tell_peers(self, target):
        """Tells the peers; returns whether one has confirmed."""
        found = []
        told = defer.ensureDeferred(self.process.tell_peers(target))
        told.addCallback(found.append)
        return found[0]

    def test_peers_are_told_on_demand(self):
        self.process.record("t1", 5)
        self.process.record("t2", 6)
        self.assertEqual(self.broadcaster.sent, [])
        self.tell_peers("t1")
        self.assertEqual(
            list(map(departures.decode, self.broadcaster.sent)),
            [("n1", "t1", 5)],
        )

    @parameterized.expand(
        [
            ("no_peer", [], False),
            ("none_answers", [None] * 3, False),
            ("one_answers", [None, None, True], True),
            ("all_answer", [True] * 5, True),
        ]
    )
    def test_confirmation(self, _name, answers, expected):
        # Guards against an acknowledgement that nobody else knows of.
        known = []
        for number, answers_ in enumerate(answers, 2):
            calls = Calls() if answers_ else None
            if calls is not None:
                known.append(self.start(f"n{number}", calls)[0])
            self.calls.peers[f"n{number}"] = calls
        self.process.record("t1", 5)
        self.assertEqual(self.tell_peers("t1"), expected)
        told = [
            peer
            for peer in known
            if b"departures" in self.facts(peer).for_peer("n1", b"")
        ]
        self.assertEqual(len(told), min(len(known), departures.ASKED_PEERS))

    def test_departure_that_was_not_recorded_is_not_confirmed(self):
        calls = Calls()
        self.start("n2", calls)
        self.calls.peers["n2"] = calls
        self.assertFalse(self.tell_peers("t1"))

    def test_next_process_recalls_it(self):
        self.process.record("t1", 5)
        new, recalled = self.start("n1")
        stored = {"facts": self.facts(self.process).for_store()}
        self.facts(new).learn(stored, own=True)
        self.assertEqual(recalled, [("t1", 5)])

    @parameterized.expand(
        [("broadcast", True), ("record_of_the_target", False)]
    )
    def test_next_process_recalls_it_from_a_peer(self, _name, broadcast):
        # The store may be away when a target leaves.
        peer, of_peer = self.start("n2")
        if broadcast:
            self.process.record("t1", 5)
            self.tell_peers("t1")
            received = self.broadcaster.handlers[departures.TOPIC]
            received(self.broadcaster.sent[0])
        else:
            peer.observed("n1", "t1", 5)
        new, recalled = self.start("n1")
        self.facts(new).learn_reply(self.facts(peer).for_peer("n1", b""))
        self.assertEqual((recalled, of_peer), ([("t1", 5)], []))

    @parameterized.expand(
        [(b"",), (b"x" * 9,), (b"x" * 40,), (b"\0" * 8 + b"\1\0\xff",)]
    )
    def test_malformed_departure_is_ignored(self, payload):
        self.broadcaster.handlers[departures.TOPIC](payload)
        with self.assertRaises(ValueError):
            self.calls.handlers[departures.METHOD]("n2", payload)
        reply = json.loads(self.facts(self.process).for_peer("n1", b""))
        self.assertEqual(reply["facts"], [])

    @parameterized.expand([("t" * 256, 1), ("t", 2**64), ("t", -1)])
    def test_departure_that_cannot_be_encoded(self, target, incarnation):
        self.process.record(target, incarnation)
        self.assertFalse(self.tell_peers(target))
        self.assertEqual(self.broadcaster.sent, [])
