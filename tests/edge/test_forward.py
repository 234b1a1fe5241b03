"""Tests of forwarding: refusals, retries, idempotency and relays."""

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


class Edge:
    """The edge in front of the targets t1 and t2."""

    def __init__(self, **fields):
        self.clock = task.Clock()
        self.opener = memory.Opener()
        self.records = memory.Records()
        self.edge_dependencies = memory.edge_dependencies(
            self.clock, self.opener, records=self.records, **fields
        )
        self.forwarder = forward.Forwarder(self.edge_dependencies)

    def begin(self, path="/open", key="", body=b"", end=True, token=""):
        """Starts a request; returns its request sink and its caller."""
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
        """Fails the last attempt, or the one with the given index."""
        error = errors.RequestError("x", executed=executed, code=code)
        load = exchange.Load(1, 2)
        self.opener.opened[index][2].fail(error, load)

    def answer(self, body=b"ok", index=-1):
        """Responds to the last attempt, or the one with the given index."""
        response = self.opener.opened[index][2]
        response.head(model.ResponseHead(200, ()), exchange.Load(1, 0))
        if body:
            response.body(body)
        response.end()

    @property
    def chosen(self):
        """Targets of all attempts so far."""
        return [request.target for _, request, _, _ in self.opener.opened]


class WithdrawnKeyTest(unittest.TestCase):
    """Guards against exchanges that continue after their key is withdrawn."""

    TOKEN = "cf_k1_secret"

    def withdraw(self, edge):
        """Applies a configuration without keys."""
        edge.edge_dependencies.configuration = lambda: attrs.evolve(
            memory.configuration(), keys={}
        )
        edge.forwarder.check_keys()

    @parameterized.expand(
        [
            ("body not handed over", "key", b"x", False, "no", []),
            ("at a target", "", b"x", True, "unknown", []),
            ("at a target, with record", "key", b"x", True, "unknown", ["f"]),
        ]
    )
    def test_refused(self, _name, key, body, end, executed, endings):
        edge = Edge()
        _, caller = edge.begin("/keyed", key, body, end, self.TOKEN)
        self.withdraw(edge)
        self.assertEqual(caller.events, [("key_unknown", executed)])
        if endings:
            edge.answer()
            self.assertEqual(edge.records.endings, ["finish"])
        self.assertEqual(edge.forwarder.running, set())

    def test_download_is_interrupted(self):
        edge = Edge()
        _, caller = edge.begin("/keyed", token=self.TOKEN)
        response = edge.opener.opened[-1][2]
        response.head(model.ResponseHead(200, ()), exchange.Load(1, 0))
        response.body(b"part")
        self.withdraw(edge)
        expected = [200, b"part", ("key_unknown", "unknown")]
        self.assertEqual(caller.events, expected)
        self.assertTrue(edge.opener.opened[-1][3].cancelled)

    def test_valid_key_and_open_route_continue(self):
        edge = Edge()
        _, keyed = edge.begin("/keyed", token=self.TOKEN)
        _, without = edge.begin("/open")
        edge.forwarder.check_keys()
        self.assertEqual(keyed.events, [])
        self.withdraw(edge)
        self.assertEqual(without.events, [])


class RetryTest(unittest.TestCase):
    """Guards against duplicate runs and missing retries.

    A request that may have run is retried only on a repeatable route, and only
    while its whole body is buffered.
    """

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
        edge = Edge()
        _, caller = edge.begin(path, body=body)
        edge.fail(executed)
        if not retried:
            self.assertEqual(edge.chosen, ["t1"])
            expected = [("target_failed", executed.value)]
            self.assertEqual(caller.events, expected)
            return
        self.assertEqual(edge.chosen, ["t1", "t2"])
        self.assertEqual(edge.opener.opened[-1][3].data, body)
        self.assertTrue(edge.opener.opened[-1][3].ended)
        edge.answer()
        self.assertEqual(caller.events, [200, b"ok", "end"])
        self.assertEqual(
            edge.edge_dependencies.picker.loads["t1"], exchange.Load(1, 2)
        )

    def test_partly_consumed_body_is_not_sent_again(self):
        edge = Edge()
        body = b"x" * (buffers.MAX_BUFFERED_BYTES + 1)
        _, caller = edge.begin("/once", body=body, end=False)
        edge.opener.opened[-1][2].consumed(10)
        self.assertEqual(caller.taken, 10)
        edge.fail(NO)
        self.assertEqual(edge.chosen, ["t1"])
        self.assertEqual(caller.events, [("target_failed", "no")])

    def test_consumed_bytes_are_reported_once_over_all_attempts(self):
        edge = Edge()
        _, caller = edge.begin(body=b"x" * 100)
        edge.opener.opened[0][2].consumed(60)
        edge.fail(UNKNOWN)
        edge.opener.opened[1][2].consumed(40)
        self.assertEqual(caller.taken, 60)
        edge.opener.opened[1][2].consumed(60)
        self.assertEqual(caller.taken, 100)

    def test_later_refusal_does_not_hide_a_possible_run(self):
        edge = Edge()
        _, caller = edge.begin()
        edge.fail(UNKNOWN)
        edge.fail(NO, "queue_full")
        self.assertEqual(caller.events, [("queue_full", "unknown")])

    def test_no_retry_after_the_head(self):
        edge = Edge()
        _, caller = edge.begin()
        response = edge.opener.opened[0][2]
        response.head(model.ResponseHead(200, ()), exchange.Load())
        edge.fail(UNKNOWN)
        self.assertEqual(edge.chosen, ["t1"])
        self.assertEqual(caller.events, [200, ("target_failed", "unknown")])

    def test_refusal_before_the_stream_is_returned(self):
        edge = Edge()
        edge.opener.refusals = [
            errors.QueueFullError("Full.") for _ in range(2)
        ]
        _, caller = edge.begin()
        self.assertEqual(edge.chosen, ["t1", "t2"])
        self.assertEqual(caller.events, [("queue_full", "no")])

    def test_retry_budget_limits_retries(self):
        edge = Edge()
        most = int(policies.RatioRetryBudget.PER_SECOND)
        for _ in range(100):
            edge.begin()
            edge.fail(NO)
        retries = edge.edge_dependencies.counts["retries"]
        self.assertGreaterEqual(retries, most)
        self.assertLessEqual(
            retries, most + policies.RatioRetryBudget.RATIO * 100 + 1
        )

    def test_late_events_of_an_earlier_attempt_are_dropped(self):
        edge = Edge()
        _, caller = edge.begin()
        edge.fail(UNKNOWN)
        edge.answer(b"late", index=0)
        edge.answer(b"ok")
        self.assertEqual(caller.events, [200, b"ok", "end"])
        self.assertEqual(edge.edge_dependencies.counts["answers_dropped"], 3)


class RefusalTest(unittest.TestCase):
    """Guards against attempts for requests that must not run."""

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
        edge = Edge(**fields)
        _, caller = edge.begin("/keyed", token="cf_k1_secret")
        self.assertEqual(caller.events, [(code, "no")])
        self.assertEqual(edge.chosen, [])
        self.assertEqual(edge.forwarder.running, set())

    def test_admission_that_fails(self):
        admission = memory.Admission()
        admission.hold = True
        edge = Edge(admission=admission)
        _, caller = edge.begin("/keyed", token="cf_k1_secret")
        admission.waiting[0].errback(errors.CallFailedError("x"))
        self.assertEqual(caller.events, [("call_failed", "no")])

    def test_caller_that_disconnects_before_admission(self):
        admission = memory.Admission()
        admission.hold = True
        edge = Edge(admission=admission)
        sink, _ = edge.begin("/keyed", token="cf_k1_secret")
        sink.cancel()
        admission.waiting[0].callback(None)
        self.assertEqual(edge.chosen, [])
        self.assertEqual(edge.clock.getDelayedCalls(), [])


class DownstreamTest(unittest.TestCase):
    """Guards against targets that are blamed for what they depend on."""

    @parameterized.expand(
        [
            ("served", lambda edge, _: edge.answer(), False),
            ("failed", lambda edge, _: edge.fail(UNKNOWN), True),
            ("cancelled", lambda edge, sink: sink.cancel(), True),
            ("still running", lambda edge, _: None, False),
        ]
    )
    def test_outcome_of_a_request_without_a_key(self, _name, end, failed):
        edge = Edge()
        sink, _ = edge.begin("/once")
        end(edge, sink)
        downstream = edge.edge_dependencies.downstream
        self.assertEqual(downstream.explains_failure(0.0, 0.0), failed)

    def test_request_with_a_key_comes_from_a_caller(self):
        edge = Edge()
        edge.begin("/keyed", token=WithdrawnKeyTest.TOKEN)
        edge.fail(UNKNOWN)
        downstream = edge.edge_dependencies.downstream
        self.assertFalse(downstream.explains_failure(0.0, 0.0))


class DeadlineTest(unittest.TestCase):
    """Guards against late responses and a wrong `executed` value.

    Only the agent knows whether the request was handed to the target, so the
    edge waits for its report for a short time after the deadline.
    """

    def test_agent_reports_that_nothing_ran(self):
        edge = Edge()
        _, caller = edge.begin("/once")
        edge.clock.advance(30.0)
        edge.fail(NO, "deadline_exceeded")
        self.assertEqual(caller.events, [("deadline_exceeded", "no")])

    def test_agent_that_does_not_respond(self):
        edge = Edge()
        _, caller = edge.begin("/once")
        edge.clock.advance(30.0)
        edge.clock.advance(forward.DEADLINE_GRACE_SECONDS)
        self.assertEqual(caller.events, [("deadline_exceeded", "unknown")])
        self.assertTrue(edge.opener.opened[0][3].cancelled)

    def test_slow_body(self):
        edge = Edge()
        _, caller = edge.begin("/once", end=False)
        edge.clock.advance(30.0)
        self.assertEqual(caller.events, [("deadline_exceeded", "no")])

    def test_remaining_time_goes_to_the_target(self):
        edge = Edge()
        sink, _ = edge.begin("/once", end=False)
        edge.clock.advance(12.0)
        sink.end()
        self.assertEqual(edge.opener.opened[0][1].timeout, 18.0)


class IdempotencyTest(unittest.TestCase):
    """Guards against duplicate runs and records that are never closed."""

    def test_replay(self):
        edge = Edge()
        edge.begin("/once", key="k", body=b"pay")
        edge.answer(b"paid")
        _, caller = edge.begin("/once", key="k", body=b"pay")
        self.assertEqual(caller.events, [200, b"paid", "end"])
        self.assertEqual(edge.chosen, ["t1"])

    def test_response_too_large_to_store(self):
        edge = Edge()
        edge.begin("/once", key="k")
        edge.answer(b"x" * (buffers.MAX_BUFFERED_BYTES + 1))
        _, caller = edge.begin("/once", key="k")
        self.assertEqual(caller.events, [("outcome_not_kept", "unknown")])

    def test_other_body(self):
        edge = Edge()
        edge.begin("/once", key="k", body=b"pay 1")
        _, caller = edge.begin("/once", key="k", body=b"pay 2")
        self.assertEqual(caller.events, [("idempotency_key_reused", "no")])

    def test_key_on_a_repeatable_route_makes_no_record(self):
        edge = Edge()
        edge.begin("/open", key="k")
        edge.begin("/open", key="k")
        self.assertEqual(edge.chosen, ["t1", "t1"])

    def test_overlong_key(self):
        edge = Edge()
        _, caller = edge.begin("/once", key="k" * 256)
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
        edge = Edge()
        sink, caller = edge.begin("/once", key="k", end=False)
        sink.body(b"x" * buffers.MAX_BUFFERED_BYTES)
        if ending != "half":
            sink.end()
        response = edge.opener.opened[0][2]
        match ending:
            case "answer":
                edge.answer()
            case "refuse":
                edge.fail(NO)
                edge.fail(NO)
            case "lose":
                edge.fail(UNKNOWN, "link_lost")
            case "short":
                response.head(model.ResponseHead(200, ()), exchange.Load())
                edge.fail(UNKNOWN)
            case "late":
                edge.clock.advance(30.0)
                edge.clock.advance(1.0)
            case "gone":
                response.head(model.ResponseHead(200, ()), exchange.Load())
                response.body(b"abc")
                sink.cancel()
                response.body(b"de")
                self.assertEqual(edge.opener.opened[0][3].granted, 5)
                response.end()
            case "gone, lost":
                sink.cancel()
                edge.fail(UNKNOWN)
            case "half":
                sink.cancel()
        self.assertEqual(edge.records.endings, expected)
        self.assertEqual(edge.forwarder.running, set())
        self.assertEqual(edge.clock.getDelayedCalls(), [])

    def test_ticket_is_released_after_the_caller_disconnects(self):
        edge = Edge()
        edge.records.begin = lambda *_: begun
        begun = defer.Deferred()
        sink, _ = edge.begin("/once", key="k")
        sink.cancel()
        released = []
        edge.records.release = released.append
        ticket = ports.Ticket("", "k", 0, 0, 1)
        begun.callback(ports.Start(ticket))
        self.assertEqual(released, [ticket])
        self.assertEqual(edge.chosen, [])


class RelayTest(unittest.TestCase):
    """Guards against a service that is unavailable because of one lost link.

    Its agent may still be reachable through a third instance.
    """

    def _entry(self):
        targets = [memory.target("t1", "far"), memory.target("t2", "far")]
        return Edge(targets=targets, relay=lambda instance: "third")

    def test_relay_when_no_other_target_is_left(self):
        edge = self._entry()
        _, caller = edge.begin("/once")
        edge.fail(NO, "link_lost")
        instance, request, _, _ = edge.opener.opened[-1]
        self.assertEqual((instance, request.relay_to), ("third", "far"))
        self.assertEqual(edge.chosen, ["t1", "t1"])
        edge.answer()
        self.assertEqual(caller.events, [200, b"ok", "end"])

    def test_each_target_is_relayed_only_once(self):
        edge = self._entry()
        _, caller = edge.begin("/once")
        edge.fail(NO, "link_lost")
        edge.fail(NO, "link_lost")
        self.assertEqual(len(edge.opener.opened), 2)
        self.assertEqual(caller.events, [("link_lost", "no")])

    def test_no_relay_for_a_request_that_may_have_run(self):
        edge = self._entry()
        _, caller = edge.begin("/once")
        edge.fail(UNKNOWN, "link_lost")
        self.assertEqual(len(edge.opener.opened), 1)
        self.assertEqual(caller.events, [("link_lost", "unknown")])

    def test_other_target_is_preferred_to_a_relay(self):
        edge = Edge(relay=lambda instance: "third")
        edge.begin("/once")
        edge.fail(NO, "link_lost")
        instance, request, _, _ = edge.opener.opened[-1]
        self.assertEqual((instance, request.relay_to), ("i-t2", ""))
