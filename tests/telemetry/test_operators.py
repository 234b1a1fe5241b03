"""Tests of the operators' endpoints over HTTP."""

import json
import unittest

import treq
from parameterized import parameterized
from treq import testing
from twisted.internet import defer

from cicadafront.telemetry import metrics, operators, tracing


def _get(resource, path):
    client = testing.StubTreq(resource)
    result = []

    async def exchange():
        answer = await client.get(f"http://operators{path}")
        result.append((answer.code, await treq.content(answer)))

    defer.ensureDeferred(exchange())
    client.flush()
    return result[0]


class EndpointTest(unittest.TestCase):
    """Guards against a path that serves the content of another one."""

    def setUp(self):
        self.reason = ""
        views = operators.Views(
            ready=lambda: self.reason,
            status=lambda: {"status": 1},
            instances=lambda: [{"id": "dar-a-1"}],
            targets=lambda: [{"id": "ledger-1"}],
            accounts=lambda: [{"id": "amani"}],
        )
        self.tracer = tracing.Tracer("dar-a-1", clock=lambda: 1.0)
        served = operators.OperatorEndpoints(
            views, metrics.Metrics(), self.tracer
        )
        self.resource = served.resource()

    @parameterized.expand(
        [
            ("/live", {"live": True}),
            ("/ready", {"ready": True, "reason": ""}),
            ("/status", {"status": 1}),
            ("/v1/instances", {"items": [{"id": "dar-a-1"}]}),
            ("/v1/targets", {"items": [{"id": "ledger-1"}]}),
            ("/v1/accounts", {"items": [{"id": "amani"}]}),
        ]
    )
    def test_path(self, path, expected):
        status, body = _get(self.resource, path)
        self.assertEqual((status, json.loads(body)), (200, expected))

    def test_not_ready_is_503(self):
        self.reason = "no configuration yet"
        self.assertEqual(_get(self.resource, "/ready")[0], 503)

    def test_trace(self):
        span = self.tracer.start("caller")
        self.tracer.finish(span)
        path = f"/v1/traces/{span.context.trace_id}"
        status, body = _get(self.resource, path)
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(body)["items"][0]["name"], "caller")
        self.assertEqual(_get(self.resource, "/v1/traces/ab")[0], 404)
