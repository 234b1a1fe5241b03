"""Tests of the entry: refusals, retries, idempotency and relays."""

import unittest

import attrs
from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors, model, ports
from cicadafront.edge import buffers, forward, policies
from cicadafront.peer import exchange
from tests.support import memory

NO = errors.Executed.NO
UNKNOWN = errors.Executed.UNKNOWN


class Suspects:
    """Refuses every request."""

    def check(self, account, fingerprint):
        raise errors.RequestCrashesTargetsError("Crashed two targets.")


class Entry:
    """An entry in front of the targets t1 and t2."""

    def __init__(self, **fields):
        self.clock = task.Clock()
        self.opener = memory.Opener()
        self.records = memory.Records()
        self.site = memory.site(
            self.clock, self.opener, records=self.records, **fields
        )
        self.forwarder = forward.Forwarder(self.site)

    def begin(self, path="/open", key="", body=b"", end=True, token=""):
        """Starts a request; returns its two ends."""
        fields = ((b"Host", b"h"),)
        if key:
            fields += ((b"Idempotency-Key", key.encode()),)
        head = model.RequestHead("POST", path, fields)
        caller = memory.Response()
        sink = self.forwarder.begin(head, token, caller)
        if body:
            sink.body(body)
        if end:
            sink.end()
        return sink, caller

    def fail(self, executed, code="target_failed", index=-1):
        """Fails the last exchange."""
        error = errors.RequestError("x", executed=executed, code=code)
        load = exchange.Load(1, 2)
        self.opener.opened[index][2].fail(error, load)

    def answer(self, body=b"ok", index=-1):
        """Answers the last exchange."""
        response = self.opener.opened[index][2]
        response.head(model.ResponseHead(200, ()), exchange.Load(1, 0))
        if body:
            response.body(body)
        response.end()

    @property
    def chosen(self):
        """Targets of all exchanges so far."""
        return [request.target for _, request, _, _ in self.opener.opened]


class WithdrawnKeyTest(unittest.TestCase):
    """Guards against open exchanges that outlive their key."""

    TOKEN = "cf_k1_secret"

    def withdraw(self, entry):
        """Puts a configuration without keys in force."""
        entry.site.configuration = lambda: attrs.evolve(
            memory.configuration(), keys={}
        )
        entry.forwarder.check_keys()

    @parameterized.expand(
        [
            ("body not handed over", "key", b"x", False, "no", []),
            ("at a target", "", b"x", True, "unknown", []),
            ("at a target, with record", "key", b"x", True, "unknown", ["f"]),
        ]
    )
    def test_refused(self, _name, key, body, end, executed, endings):
        entry = Entry()
        _, caller = entry.begin("/keyed", key, body, end, self.TOKEN)
        self.withdraw(entry)
        self.assertEqual(caller.events, [("key_unknown", executed)])
        if endings:
            entry.answer()
            self.assertEqual(entry.records.endings, ["finish"])
        self.assertEqual(entry.forwarder.running, set())

    def test_download_is_cut(self):
        entry = Entry()
        _, caller = entry.begin("/keyed", token=self.TOKEN)
        response = entry.opener.opened[-1][2]
        response.head(model.ResponseHead(200, ()), exchange.Load(1, 0))
        response.body(b"part")
        self.withdraw(entry)
        expected = [200, b"part", ("key_unknown", "unknown")]
        self.assertEqual(caller.events, expected)
        self.assertTrue(entry.opener.opened[-1][3].cancelled)

    def test_valid_key_and_open_route_go_on(self):
        entry = Entry()
        _, keyed = entry.begin("/keyed", token=self.TOKEN)
        _, without = entry.begin("/open")
        entry.forwarder.check_keys()
        self.assertEqual(keyed.events, [])
        self.withdraw(entry)
        self.assertEqual(without.events, [])


class RetryTest(unittest.TestCase):
    """Guards against running a request twice, and against giving up early."""

    @parameterized.expand(
        [
            ("not run", "/once", NO, b"x", True),
            ("not run, large", "/once", NO, b"x" * 200_000, True),
            ("may have run", "/once", UNKNOWN, b"x", False),
            ("repeatable", "/open", UNKNOWN, b"x", True),
            (
                "repeatable, too large to hold",
                "/open",
                UNKNOWN,
                b"x" * (buffers.MAX_BUFFERED_BYTES + 1),
                False,
            ),
        ]
    )
    def test_second_target(self, _name, path, executed, body, retried):
        entry = Entry()
        _, caller = entry.begin(path, body=body)
        entry.fail(executed)
        if not retried:
            self.assertEqual(entry.chosen, ["t1"])
            expected = [("target_failed", executed.value)]
            self.assertEqual(caller.events, expected)
            return
        self.assertEqual(entry.chosen, ["t1", "t2"])
        self.assertEqual(entry.opener.opened[-1][3].data, body)
        self.assertTrue(entry.opener.opened[-1][3].ended)
        entry.answer()
        self.assertEqual(caller.events, [200, b"ok", "end"])
        self.assertEqual(entry.site.picker.loads["t1"], exchange.Load(1, 2))

    def test_body_that_is_partly_taken_is_not_sent_again(self):
        entry = Entry()
        body = b"x" * (buffers.MAX_BUFFERED_BYTES + 1)
        _, caller = entry.begin("/once", body=body, end=False)
        entry.opener.opened[-1][2].consumed(10)
        self.assertEqual(caller.taken, 10)
        entry.fail(NO)
        self.assertEqual(entry.chosen, ["t1"])
        self.assertEqual(caller.events, [("target_failed", "no")])

    def test_progress_is_reported_once_over_all_attempts(self):
        entry = Entry()
        _, caller = entry.begin(body=b"x" * 100)
        entry.opener.opened[0][2].consumed(60)
        entry.fail(UNKNOWN)
        entry.opener.opened[1][2].consumed(40)
        self.assertEqual(caller.taken, 60)
        entry.opener.opened[1][2].consumed(60)
        self.assertEqual(caller.taken, 100)

    def test_a_later_refusal_does_not_hide_an_earlier_run(self):
        entry = Entry()
        _, caller = entry.begin()
        entry.fail(UNKNOWN)
        entry.fail(NO, "queue_full")
        self.assertEqual(caller.events, [("queue_full", "unknown")])

    def test_no_retry_after_the_head(self):
        entry = Entry()
        _, caller = entry.begin()
        response = entry.opener.opened[0][2]
        response.head(model.ResponseHead(200, ()), exchange.Load())
        entry.fail(UNKNOWN)
        self.assertEqual(entry.chosen, ["t1"])
        self.assertEqual(caller.events, [200, ("target_failed", "unknown")])

    def test_refusals_before_the_stream_is_returned(self):
        entry = Entry()
        entry.opener.refusals = [
            errors.QueueFullError("Full.") for _ in range(2)
        ]
        _, caller = entry.begin()
        self.assertEqual(entry.chosen, ["t1", "t2"])
        self.assertEqual(caller.events, [("queue_full", "no")])

    def test_budget(self):
        entry = Entry()
        most = int(policies.RatioRetryBudget.PER_SECOND)
        for _ in range(100):
            entry.begin()
            entry.fail(NO)
        retries = entry.site.counts["retries"]
        self.assertGreaterEqual(retries, most)
        self.assertLessEqual(
            retries, most + policies.RatioRetryBudget.RATIO * 100 + 1
        )

    def test_late_frames_of_a_former_attempt(self):
        entry = Entry()
        _, caller = entry.begin()
        entry.fail(UNKNOWN)
        entry.answer(b"late", index=0)
        entry.answer(b"ok")
        self.assertEqual(caller.events, [200, b"ok", "end"])
        self.assertEqual(entry.site.counts["answers_dropped"], 3)


class RefusalTest(unittest.TestCase):
    """Guards against work for requests that must not run."""

    @parameterized.expand(
        [
            ("no configuration", {"configuration": lambda: None}, "not_ready"),
            (
                "keys unconfirmed",
                {"confirmed": lambda: False},
                "configuration_unconfirmed",
            ),
            ("suspect", {"suspects": Suspects()}, "request_crashes_targets"),
            ("no target", {"targets": []}, "no_target"),
        ]
    )
    def test_refused(self, _name, fields, code):
        entry = Entry(**fields)
        _, caller = entry.begin("/keyed", token="cf_k1_secret")
        self.assertEqual(caller.events, [(code, "no")])
        self.assertEqual(entry.chosen, [])
        self.assertEqual(entry.forwarder.running, set())

    def test_admission_that_breaks(self):
        admission = memory.Admission()
        admission.hold = True
        entry = Entry(admission=admission)
        _, caller = entry.begin("/keyed", token="cf_k1_secret")
        admission.waiting[0].errback(errors.CallFailedError("x"))
        self.assertEqual(caller.events, [("call_failed", "no")])

    def test_caller_that_leaves_before_admission(self):
        admission = memory.Admission()
        admission.hold = True
        entry = Entry(admission=admission)
        sink, _ = entry.begin("/keyed", token="cf_k1_secret")
        sink.cancel()
        admission.waiting[0].callback(None)
        self.assertEqual(entry.chosen, [])
        self.assertEqual(entry.clock.getDelayedCalls(), [])


class DeadlineTest(unittest.TestCase):
    """Guards against answers after the deadline and false refusals."""

    def test_the_agent_knows_better(self):
        entry = Entry()
        _, caller = entry.begin("/once")
        entry.clock.advance(30.0)
        entry.fail(NO, "deadline_exceeded")
        self.assertEqual(caller.events, [("deadline_exceeded", "no")])

    def test_silent_agent(self):
        entry = Entry()
        _, caller = entry.begin("/once")
        entry.clock.advance(30.0)
        entry.clock.advance(forward.DEADLINE_GRACE_SECONDS)
        self.assertEqual(caller.events, [("deadline_exceeded", "unknown")])
        self.assertTrue(entry.opener.opened[0][3].cancelled)

    def test_slow_body(self):
        entry = Entry()
        _, caller = entry.begin("/once", end=False)
        entry.clock.advance(30.0)
        self.assertEqual(caller.events, [("deadline_exceeded", "no")])

    def test_remaining_time_goes_to_the_target(self):
        entry = Entry()
        sink, _ = entry.begin("/once", end=False)
        entry.clock.advance(12.0)
        sink.end()
        self.assertEqual(entry.opener.opened[0][1].timeout, 18.0)


class IdempotencyTest(unittest.TestCase):
    """Guards against a second run and against records that never end."""

    def test_replay(self):
        entry = Entry()
        entry.begin("/once", key="k", body=b"pay")
        entry.answer(b"paid")
        _, caller = entry.begin("/once", key="k", body=b"pay")
        self.assertEqual(caller.events, [200, b"paid", "end"])
        self.assertEqual(entry.chosen, ["t1"])

    def test_answer_too_large_to_keep(self):
        entry = Entry()
        entry.begin("/once", key="k")
        entry.answer(b"x" * (buffers.MAX_BUFFERED_BYTES + 1))
        _, caller = entry.begin("/once", key="k")
        self.assertEqual(caller.events, [("outcome_not_kept", "unknown")])

    def test_other_body(self):
        entry = Entry()
        entry.begin("/once", key="k", body=b"pay 1")
        _, caller = entry.begin("/once", key="k", body=b"pay 2")
        self.assertEqual(caller.events, [("idempotency_key_reused", "no")])

    def test_key_on_a_repeatable_route_makes_no_record(self):
        entry = Entry()
        entry.begin("/open", key="k")
        entry.begin("/open", key="k")
        self.assertEqual(entry.chosen, ["t1", "t1"])

    def test_overlong_key(self):
        entry = Entry()
        _, caller = entry.begin("/once", key="k" * 256)
        self.assertEqual(caller.events, [("bad_request", "no")])

    @parameterized.expand(
        [
            ("answered", "answer", ["finish"]),
            ("not run anywhere", "refuse", ["release"]),
            ("link lost", "lose", ["abandon"]),
            ("short answer", "short", ["abandon"]),
            ("deadline", "late", ["abandon"]),
            ("caller gone, answered", "gone", ["finish"]),
            ("caller gone, then lost", "gone, lost", ["abandon"]),
            ("caller gone with half a body", "half", ["abandon"]),
        ]
    )
    def test_ticket(self, _name, ending, expected):
        entry = Entry()
        sink, caller = entry.begin("/once", key="k", end=False)
        sink.body(b"x" * buffers.MAX_BUFFERED_BYTES)
        if ending != "half":
            sink.end()
        response = entry.opener.opened[0][2]
        match ending:
            case "answer":
                entry.answer()
            case "refuse":
                entry.fail(NO)
                entry.fail(NO)
            case "lose":
                entry.fail(UNKNOWN, "link_lost")
            case "short":
                response.head(model.ResponseHead(200, ()), exchange.Load())
                entry.fail(UNKNOWN)
            case "late":
                entry.clock.advance(30.0)
                entry.clock.advance(1.0)
            case "gone":
                response.head(model.ResponseHead(200, ()), exchange.Load())
                response.body(b"abc")
                sink.cancel()
                response.body(b"de")
                self.assertEqual(entry.opener.opened[0][3].granted, 5)
                response.end()
            case "gone, lost":
                sink.cancel()
                entry.fail(UNKNOWN)
            case "half":
                sink.cancel()
        self.assertEqual(entry.records.endings, expected)
        self.assertEqual(entry.forwarder.running, set())
        self.assertEqual(entry.clock.getDelayedCalls(), [])

    def test_ticket_for_a_caller_that_has_left(self):
        entry = Entry()
        entry.records.begin = lambda *_: begun
        begun = defer.Deferred()
        sink, _ = entry.begin("/once", key="k")
        sink.cancel()
        released = []
        entry.records.release = released.append
        ticket = ports.Ticket("", "k", 0, 0, 1)
        begun.callback(ports.Start(ticket))
        self.assertEqual(released, [ticket])
        self.assertEqual(entry.chosen, [])


class RelayTest(unittest.TestCase):
    """Guards against giving up a service behind one broken link."""

    def _entry(self):
        targets = [memory.target("t1", "far"), memory.target("t2", "far")]
        return Entry(targets=targets, relay=lambda instance: "third")

    def test_relay_when_no_other_target_is_left(self):
        entry = self._entry()
        _, caller = entry.begin("/once")
        entry.fail(NO, "link_lost")
        instance, request, _, _ = entry.opener.opened[-1]
        self.assertEqual((instance, request.relay_to), ("third", "far"))
        self.assertEqual(entry.chosen, ["t1", "t1"])
        entry.answer()
        self.assertEqual(caller.events, [200, b"ok", "end"])

    def test_only_one_relay(self):
        entry = self._entry()
        _, caller = entry.begin("/once")
        entry.fail(NO, "link_lost")
        entry.fail(NO, "link_lost")
        self.assertEqual(len(entry.opener.opened), 2)
        self.assertEqual(caller.events, [("link_lost", "no")])

    def test_no_relay_for_what_may_have_run(self):
        entry = self._entry()
        _, caller = entry.begin("/once")
        entry.fail(UNKNOWN, "link_lost")
        self.assertEqual(len(entry.opener.opened), 1)
        self.assertEqual(caller.events, [("link_lost", "unknown")])

    def test_another_target_comes_first(self):
        entry = Entry(relay=lambda instance: "third")
        entry.begin("/once")
        entry.fail(NO, "link_lost")
        instance, request, _, _ = entry.opener.opened[-1]
        self.assertEqual((instance, request.relay_to), ("i-t2", ""))
