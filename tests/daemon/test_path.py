"""Tests of the request path over sockets between daemon processes."""

import functools
import http.client
import json
import unittest

from parameterized import parameterized

from cicadafront.telemetry import tracing
from tests.support import fleet, traces

TRACE = "0af7651916cd43dd8448eb211c80319c"
SPAN = "b7ad6b7169203331"
BODY_MB = 200
MEMORY_LIMIT_MB = 128
PIECE = b"cicadafront-data" * 4096


def _count_request_body(connection) -> None:
    """Reads a request body and responds with its size."""
    _, fields, rest = fleet.read_head(connection)
    expected = int(fields["content-length"])
    got = len(rest)
    while got < expected:
        got += len(connection.recv(1 << 20))
    text = str(got).encode()
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
    )
    connection.sendall(text)


def _send_large_body(connection) -> None:
    """Responds with a large body."""
    fleet.read_head(connection)
    size = BODY_MB << 20
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    for _ in range(size // len(PIECE)):
        connection.sendall(PIECE)


class PathTest(unittest.TestCase):
    """Guards against requests that are lost or changed between processes.

    Each test sends requests through an entry and an agent to a target.
    """

    def setUp(self):
        self.entry = fleet.Daemon("a")
        self.addCleanup(self.entry.kill)
        self.agent = fleet.Daemon("b")
        self.addCleanup(self.agent.kill)

    def _start(self, script, **fields):
        target = fleet.Target(script)
        self.addCleanup(target.close)
        routes = [fleet.route(**fields)]
        fleet.configure_fleet([self.entry, self.agent], {"t": target}, routes)
        caller = http.client.HTTPConnection(
            fleet.HOST, self.entry.edge, timeout=fleet.CALL_TIMEOUT_SECONDS
        )
        self.addCleanup(caller.close)
        return caller

    def _check_memory(self):
        for daemon in (self.entry, self.agent):
            self.assertLess(daemon.peak_mb(), MEMORY_LIMIT_MB)

    def test_request_and_answer(self):
        caller = self._start(fleet.echo, open=False)
        headers = {"Authorization": "Bearer cf_k1_secret", "X-Own": "kept"}
        for number in range(3):
            caller.request("POST", f"/a?n={number}", b"hello", headers)
            response = caller.getresponse()
            seen = json.loads(response.read())
            self.assertEqual(response.status, 200)
            self.assertEqual(seen["first"], f"POST /a?n={number} HTTP/1.1")
            self.assertEqual(seen["body"], "hello")
            self.assertEqual(seen["fields"]["x-own"], "kept")
            self.assertNotIn("authorization", seen["fields"])
            self.assertLessEqual(int(seen["fields"]["x-deadline-ms"]), 30000)

    def test_large_upload_in_bounded_memory(self):
        caller = self._start(_count_request_body)
        size = BODY_MB << 20
        pieces = (PIECE for _ in range(size // len(PIECE)))
        caller.request("POST", "/u", pieces, {"Content-Length": str(size)})
        self.assertEqual(caller.getresponse().read(), str(size).encode())
        self._check_memory()

    def test_large_download_in_bounded_memory(self):
        caller = self._start(_send_large_body)
        caller.request("GET", "/d")
        response = caller.getresponse()
        got = 0
        while piece := response.read(1 << 20):
            got += len(piece)
        self.assertEqual(got, BODY_MB << 20)
        self._check_memory()

    @parameterized.expand(
        [
            ("continued", f"00-{TRACE}-{SPAN}-01", True, True),
            ("not sampled", f"00-{TRACE}-{SPAN}-00", True, False),
            ("broken", f"00-{TRACE}-{'0' * 16}-01", False, True),
            ("absent", "", False, True),
        ]
    )
    def test_hops_join_into_one_trace(self, _name, given, joins, kept):
        # Guards against a hop that starts a trace of its own.
        caller = self._start(fleet.echo)
        headers = {"tracestate": "v=1"}
        if given:
            headers["traceparent"] = given
        caller.request("GET", "/a", headers=headers)
        fields = json.loads(caller.getresponse().read())["fields"]
        context = tracing.parse_traceparent(fields["traceparent"])
        self.assertEqual(context.trace_id == TRACE, joins)
        self.assertEqual("tracestate" in fields, joins)
        self.assertEqual(context.sampled, kept)
        spans = []
        for daemon, names in (
            (self.entry, {"entry", "link"}),
            (self.agent, {"queue", "run", "target"}),
        ):
            names = names if kept else set()
            read = functools.partial(daemon.spans, context.trace_id)
            found = traces.wait_for(read, names)
            self.assertEqual({span["name"] for span in found}, names)
            spans += found
        if kept:
            found = traces.by_name(spans)
            top = SPAN if joins else ""
            chain = ("entry", "link", "run", "target")
            self.assertTrue(traces.is_chain(found, chain, top))
            self.assertTrue(
                traces.is_chain(found, ("entry", "link", "queue"), top)
            )
            self.assertEqual(found["target"]["span_id"], context.span_id)
            self.assertEqual(found["link"]["target"], "t")
            self.assertEqual(found["run"]["status"], 200)

    def test_metrics_of_both_roles(self):
        # Guards against requests that are missing from the metrics.
        caller = self._start(fleet.echo)
        for path in ("/a", "/b"):
            caller.request("GET", path)
            caller.getresponse().read()
        entry = self.entry.read("/metrics").decode()
        agent = self.agent.read("/metrics").decode()
        for text, line in (
            (entry, 'entry_requests_total{code="ok",service="s"} 2.0'),
            (entry, 'entry_first_byte_seconds_count{service="s"} 2.0'),
            (entry, 'entry_total_seconds_count{service="s"} 2.0'),
            (entry, "links_opened 1.0"),
            (agent, 'agent_requests_total{code="ok",service="s"} 2.0'),
            (agent, 'agent_queue_wait_seconds_count{service="s"} 2.0'),
            (agent, "links_accepted 1.0"),
        ):
            self.assertIn(f"cicadafront_{line}", text)
