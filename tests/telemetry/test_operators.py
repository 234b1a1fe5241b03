"""Tests of the operators' endpoints over HTTP."""

import json
import unittest

import treq
from parameterized import parameterized
from treq import testing
from twisted.internet import defer

from cicadafront.limits import release
from cicadafront.telemetry import metrics, operators, tracing


def _get(resource, path, method="get"):
    client = testing.StubTreq(resource)
    result = []

    async def exchange():
        answer = await getattr(client, method)(f"http://operators{path}")
        result.append((answer.code, await treq.content(answer)))

    defer.ensureDeferred(exchange())
    client.flush()
    return result[0]


class EndpointTest(unittest.TestCase):
    """Guards against a path that serves the wrong content or status."""

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
        changes = operators.Changes(
            release=lambda shard: defer.succeed({"released": shard}),
            clear=lambda shard: defer.fail(
                release.ReleaseRefusedError(f"shard {shard}; wait")
            ),
        )
        served = operators.OperatorEndpoints(
            views, metrics.Metrics(), self.tracer, changes
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

    def test_release_of_a_shard(self):
        path = "/v1/shards/17/release"
        status, body = _get(self.resource, path, "post")
        self.assertEqual((status, json.loads(body)), (200, {"released": 17}))
        self.assertEqual(_get(self.resource, path)[0], 405)

    def test_rejected_change_returns_code_and_message(self):
        status, body = _get(self.resource, "/v1/shards/17/clear", "post")
        self.assertEqual(status, 409)
        self.assertEqual(
            json.loads(body),
            {"code": "shard_release_refused", "message": "shard 17; wait"},
        )

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
