"""Tests of the charges to the retry budget and of their log lines."""

import unittest
from unittest import mock

import attrs
from parameterized import parameterized
from twisted.internet import defer, task

from cicadafront import errors, model, ports
from cicadafront.edge import forward, resolved_request, retry_charges
from cicadafront.limits import retries, shares
from cicadafront.peer import exchange
from tests.support import memory


class Budget:
    """Grants or refuses a retry when the test says so."""

    def __init__(self):
        self.decision = defer.Deferred()
        self.requests = []

    def request(self, service, now, repeated=0.0):
        self.requests.append((service, repeated))

    def try_retry(self, service, now):
        return self.decision


class RetryChargesTest(unittest.TestCase):
    """Guards against retries and hedges that the log does not explain."""

    def setUp(self):
        self.lines = []
        log = mock.patch.object(
            retry_charges._log.__class__,
            "info",
            lambda _, text, **fields: self.lines.append((text, fields)),
        )
        log.start()
        self.addCleanup(log.stop)
        self.budget = Budget()
        self.edge_dependencies = memory.edge_dependencies(
            task.Clock(), memory.Opener(), budget=self.budget
        )

    def made(self, path="/open"):
        head = model.RequestHead(
            "GET",
            path,
            ((self.edge_dependencies.wire_dialect.exchange_id, b"r1"),),
        )
        resolved = resolved_request.resolve(
            self.edge_dependencies, head, "cf_k1_secret"
        )
        return retry_charges.RetryCharges(self.edge_dependencies, resolved)

    @parameterized.expand(
        [
            (True, "retry budget granted another attempt", ["granted"]),
            (
                False,
                "retry budget refused another attempt",
                ["refused"],
            ),
        ]
    )
    def test_decision_is_logged_with_the_request(
        self, approved, text, expected
    ):
        found = []
        self.made().charge(
            retry_charges.Kind.RETRY,
            lambda: found.append("granted"),
            lambda: found.append("refused"),
        )
        self.budget.decision.callback(approved)
        self.assertEqual(found, expected)
        (line, fields), *rest = self.lines
        self.assertEqual((line, rest), (text, []))
        self.assertEqual(
            (fields["request"], fields["service"], fields["kind"]),
            ("r1", "s", "retry"),
        )

    def test_no_callback_after_cancellation(self):
        made = self.made()
        found = []
        made.charge(
            retry_charges.Kind.RETRY, lambda: found.append(1), found.clear
        )
        made.cancelled = True
        self.budget.decision.callback(True)
        self.assertEqual((found, self.lines), ([], []))

    @parameterized.expand(
        [("/open", 0.5, 1), ("/open", 0.0, 0), ("/keyed", 0.5, 0)]
    )
    def test_requests_sent_by_retried_requests(self, path, share, calls):
        self.edge_dependencies = attrs.evolve(
            self.edge_dependencies, repeated_share=lambda: share
        )
        self.made(path).start()
        self.assertEqual(self.budget.requests, [("s", share * calls)])
        self.assertEqual(
            self.edge_dependencies.counts["calls_of_repeats"], calls
        )
        self.assertEqual(len(self.lines), calls)


class SingleInstance:
    """A fleet of one instance."""

    def instances(self):
        return [ports.InstanceInfo("n1", 1, "dc", ("", 0))]

    def on_change(self, handler):
        pass


class NoPeerCalls:
    """Peer calls without a peer."""

    def register(self, method, handler):
        pass


class DownstreamRequestsTest(unittest.TestCase):
    """Guards against retries that multiply at services that targets call.

    A target that runs a retried request repeats its own requests to other
    services. These count as retries in the budget of the called service.
    """

    ALLOWANCE = retries.Allowance(share=0.2, extra=60.0, window=10.0)

    def setUp(self):
        self.clock = task.Clock()
        self.opener = memory.Opener()
        self.share = 0.0
        admission = shares.SharedAdmission(
            "n1",
            self.clock,
            NoPeerCalls(),
            SingleInstance(),
            lambda id: retries.budget_of(id, self.ALLOWANCE),
            limit_of=lambda _, seen: self.ALLOWANCE.limit(seen),
        )
        self.edge_dependencies = memory.edge_dependencies(
            self.clock,
            self.opener,
            budget=retries.FleetRetryBudget(admission, self.ALLOWANCE),
            repeated_share=lambda: self.share,
        )
        self.forwarder = forward.Forwarder(self.edge_dependencies)

    def play(self, requests, seconds):
        """Sends requests whose first attempt fails; returns the retries."""
        before = len(self.opener.opened)
        head = model.RequestHead("GET", "/open", ((b"Host", b"h"),))
        for _ in range(requests):
            sink = self.forwarder.begin(head, "", memory.Response())
            sink.end()
            error = errors.TargetFailedError(
                "x", executed=errors.Executed.UNKNOWN
            )
            self.opener.opened[-1][2].fail(error, exchange.Load())
            self.clock.advance(seconds / requests)
        return len(self.opener.opened) - before - requests

    def test_requests_of_retried_requests_use_the_budget_of_their_service(self):
        self.share = 1.0
        repeated = 60 + self.play(60, 3.0)
        self.share = 0.0
        repeated += self.play(140, 7.0)
        self.assertLessEqual(repeated, 0.2 * 200 + 60)


if __name__ == "__main__":
    unittest.main()
