"""Tests of how an entry asks agents to take a request."""

import unittest

import attrs
from parameterized import parameterized
from twisted.internet import task

from cicadafront import errors, model
from cicadafront.config import model as config_model
from cicadafront.edge import attempt, buffers, forward, policies
from cicadafront.peer import exchange
from tests.support import memory

NO = errors.Executed.NO
UNKNOWN = errors.Executed.UNKNOWN
DISPATCH = policies.DispatchPolicy(
    (policies.DispatchRound(0, 2), policies.DispatchRound(1, 2)),
    large_body_rounds=(
        policies.DispatchRound(0, 2, local_only=True),
        policies.DispatchRound(1, 2, local_only=True),
    ),
    free_redispatch=True,
    retry_server_errors=True,
    confirm=True,
    finish_with_withdrawn_key=True,
)


class Sink(memory.Request):
    """A request sink that notes whether the request may run."""

    went = False

    def go(self):
        self.went = True


class Opener(memory.Opener):
    """Opens exchanges with sinks that can be confirmed."""

    def open_at(self, instance, request, response):
        sink = Sink()
        self.opened.append((instance, request, response, sink))
        return sink


class Budget:
    """Allows a fixed number of retries."""

    def __init__(self, left):
        self.left = left

    def request(self, service, now, repeated=0.0):
        pass

    def try_retry(self, service, now):
        self.left -= 1
        return self.left >= 0


class Picker(memory.Picker):
    """Notes doubts."""

    def __init__(self, targets):
        super().__init__(targets)
        self.doubts = {}

    def avoid_until(self, target_id, until):
        self.doubts[target_id] = until


class Entry:
    """An entry in front of the targets t1 to t4."""

    def __init__(
        self,
        path="/once",
        left=9,
        attempts=2,
        length=b"0",
        body=b"",
        end=True,
        token="",
    ):
        self.clock = task.Clock()
        self.opener = Opener()
        targets = [
            model.Target(
                f"t{n}", "s", f"n{n}", 2, data_centre="b" if n == 2 else "a"
            )
            for n in range(1, 5)
        ]
        self.picker = Picker(targets)
        self.site = memory.site(
            self.clock,
            self.opener,
            picker=self.picker,
            budget=Budget(left),
            dispatch=DISPATCH,
            instance="n0",
            data_centre="b",
        )
        known = self.site.configuration()
        routes = {
            id: attrs.evolve(route, attempts=attempts)
            for id, route in known.routes.items()
        }
        changed = config_model.Configuration(
            revision=1,
            accounts=known.accounts,
            keys=known.keys,
            services=known.services,
            routes=routes,
        )
        self.site.configuration = lambda: changed
        self.site.targets = lambda service: targets
        self.caller = memory.Response()
        fields = ((b"Host", b"h"), (b"Content-Length", length))
        head = model.RequestHead("POST", path, fields)
        self.forwarder = forward.Forwarder(self.site)
        self.sink = self.forwarder.begin(head, token, self.caller)
        if body:
            self.sink.body(body * (1 if end else buffers.FINGERPRINT_BYTES))
        if end:
            self.sink.end()

    def refuse(self, code, executed=NO, retry_after=None):
        """Refuses the last exchange."""
        error = errors.RequestError(
            "x",
            executed=executed,
            code=code,
            status=503,
            retry_after=retry_after,
        )
        self.last[2].fail(error, exchange.Load(2, 1))

    @property
    def last(self):
        """The last exchange."""
        return self.opener.opened[-1]

    @property
    def asked(self):
        """Target and firmness of all exchanges."""
        return [
            (request.target, request.insist)
            for _, request, _, _ in self.opener.opened
        ]


class AskingTest(unittest.TestCase):
    """Guards against requests that fail while a target has room."""

    def test_rounds(self):
        entry = Entry(left=0)
        for _ in range(4):
            entry.refuse("target_busy")
        self.assertEqual(
            entry.asked, [("t1", 0), ("t2", 0), ("t1", 1), ("t2", 1)]
        )
        self.assertEqual(entry.caller.events, [("target_busy", "no")])

    @parameterized.expand(
        [("target_leaving",), ("no_target",), ("target_failed",)]
    )
    def test_shut_target_is_not_asked_again(self, code):
        entry = Entry(left=0)
        entry.refuse(code)
        entry.refuse("target_busy")
        self.assertEqual(entry.asked[2:], [("t2", 1)])

    def test_doubted_target_is_avoided(self):
        entry = Entry()
        entry.clock.advance(0.1)
        entry.refuse("target_doubted", retry_after=0.5)
        self.assertEqual(entry.picker.doubts, {"t1": 0.6})

    @parameterized.expand([("within", 1, 2), ("used_up", 0, 1)])
    def test_shed_request_uses_the_budget(self, _name, left, expected):
        entry = Entry(left=left)
        entry.last[3].go()
        entry.refuse("target_shed")
        self.assertEqual(len(entry.asked), expected)

    def test_attempts_count_only_what_reached_a_target(self):
        entry = Entry(attempts=2)
        entry.refuse("target_busy")
        entry.refuse("target_shed")
        entry.refuse("target_shed")
        self.assertEqual(len(entry.asked), 3)

    def test_server_error_of_a_repeatable_request(self):
        entry = Entry(path="/open")
        entry.last[2].granted()
        entry.last[2].head(model.ResponseHead(500, ()), exchange.Load())
        self.assertEqual(len(entry.asked), 2)

    def test_server_error_of_a_payment_is_passed_on(self):
        entry = Entry()
        entry.last[2].granted()
        entry.last[2].head(model.ResponseHead(500, ()), exchange.Load())
        self.assertEqual(entry.caller.events, [500])


class ConfirmTest(unittest.TestCase):
    """Guards against payments that are lost with the path to an agent."""

    def test_granted_request_goes(self):
        entry = Entry()
        self.assertFalse(entry.last[3].went)
        entry.last[2].granted()
        self.assertTrue(entry.last[3].went)

    def test_body_waits_for_the_grant(self):
        entry = Entry(body=b"abc", end=False)
        entry.refuse("target_busy")
        self.assertEqual(
            [each[3].data for each in entry.opener.opened], [b"", b""]
        )
        entry.last[2].granted()
        entry.sink.body(b"def")
        entry.sink.end()
        whole = b"abc" * buffers.FINGERPRINT_BYTES + b"def"
        self.assertEqual(entry.last[3].data, whole)
        self.assertTrue(entry.last[3].ended)

    def test_silent_agent_is_left(self):
        entry = Entry()
        silent = entry.last
        entry.clock.advance(attempt.GRANT_TIMEOUT_SECONDS)
        self.assertTrue(silent[3].cancelled)
        self.assertEqual([target for target, _ in entry.asked], ["t1", "t2"])
        silent[2].granted()
        self.assertFalse(silent[3].went)

    @parameterized.expand([("before", False, 2), ("after", True, 1)])
    def test_link_lost(self, _name, granted, expected):
        entry = Entry(left=0)
        if granted:
            entry.last[2].granted()
        entry.refuse("link_lost", UNKNOWN)
        self.assertEqual(len(entry.asked), expected)

    def test_queued_request_is_not_given_up(self):
        entry = Entry()
        for _ in range(2):
            entry.refuse("target_busy")
        entry.clock.advance(10 * attempt.GRANT_TIMEOUT_SECONDS)
        self.assertEqual(len(entry.asked), 3)

    @parameterized.expand([("waits", False, "no"), ("runs", True, "unknown")])
    def test_time_limit(self, _name, granted, expected):
        entry = Entry()
        for _ in range(2):
            entry.refuse("target_busy")
        if granted:
            entry.last[2].granted()
        entry.clock.advance(99)
        entry.clock.advance(1)
        self.assertEqual(entry.caller.events, [("deadline_exceeded", expected)])


class WithdrawnTest(unittest.TestCase):
    """Guards against running requests that a change of the keys cuts."""

    @parameterized.expand(
        [
            ("waits", False, [("key_unknown", "no")]),
            ("runs", True, []),
        ]
    )
    def test_withdrawn_key(self, _name, granted, expected):
        entry = Entry(path="/keyed", token="cf_k1_secret")
        if granted:
            entry.last[2].granted()
        known = entry.site.configuration()
        withdrawn = attrs.evolve(known, keys={})
        entry.site.configuration = lambda: withdrawn
        entry.forwarder.check_keys()
        self.assertEqual(entry.caller.events, expected)


class NearTest(unittest.TestCase):
    """Guards against large bodies that are carried far without need."""

    @parameterized.expand(
        [
            ("small", b"100", ["t1", "t2"]),
            ("large", b"100000", ["t2", "t2", "t1", "t3"]),
        ]
    )
    def test_large_body(self, _name, length, expected):
        entry = Entry(length=length)
        while entry.caller.events == []:
            entry.refuse("target_busy")
        self.assertEqual(
            [target for target, _ in entry.asked][: len(expected)], expected
        )
