"""Tests of spans, metrics and log lines."""

import collections
import io
import json
import random
import unittest

import eliot
from parameterized import parameterized

from cicadafront.telemetry import logs, metrics, tracing

TRACE = "0af7651916cd43dd8448eb211c80319c"
SPAN = "b7ad6b7169203331"


class TraceparentTest(unittest.TestCase):
    """Guards against accepting an invalid trace context from a caller."""

    @parameterized.expand(
        [
            ("valid", f"00-{TRACE}-{SPAN}-01", True),
            ("other version", f"01-{TRACE}-{SPAN}-00", True),
            ("version ff", f"ff-{TRACE}-{SPAN}-01", False),
            ("zero trace", f"00-{'0' * 32}-{SPAN}-01", False),
            ("zero span", f"00-{TRACE}-{'0' * 16}-01", False),
            ("upper case", f"00-{TRACE.upper()}-{SPAN}-01", False),
            ("short", f"00-{TRACE}-{SPAN}", False),
            ("empty", "", False),
        ]
    )
    def test_parse(self, _name, value, valid):
        context = tracing.parse_traceparent(value)
        self.assertEqual(context is not None, valid)


class TracerTest(unittest.TestCase):
    """Guards against spans that are not linked into one trace."""

    def test_child_span_joins_the_trace_of_its_parent(self):
        times = iter([1.0, 2.0, 5.0, 7.0])
        tracer = tracing.Tracer(
            "dar-a-1",
            clock=lambda: next(times),
            wall=iter([10.0, 11.0]).__next__,
            id_source=random.Random(1),
        )
        parent = tracer.start("caller")
        child = tracer.start("peer", parent.context.traceparent(), target="t1")
        tracer.finish(child)
        tracer.finish(parent, status=200)
        spans = tracer.trace(parent.context.trace_id)
        self.assertEqual([s.name for s in spans], ["caller", "peer"])
        self.assertEqual(spans[1].parent, spans[0].context.span_id)
        self.assertEqual([s.seconds for s in spans], [6.0, 3.0])

    @parameterized.expand(
        [
            ("usual", {"status": 200}, 0.1, False),
            ("failed", {"code": "target_failed"}, 0.1, True),
            ("server error", {"status": 503}, 0.1, True),
            ("slow", {"status": 200}, tracing.SLOW_SECONDS, True),
        ]
    )
    def test_notable_traces_are_evicted_last(
        self, _name, fields, seconds, kept
    ):
        # Guards against normal traffic that evicts the traces of faults, and
        # against memory usage that grows with the traffic.
        now = [0.0]
        tracer = tracing.Tracer(
            "dar-a-1",
            clock=lambda: now[0],
            id_source=random.Random(1),
            limit=10,
        )
        first = tracer.start("entry")
        child = tracer.start("link", first.context)
        tracer.finish(child)
        now[0] = seconds
        tracer.finish(first, **fields)
        for _ in range(100):
            tracer.finish(tracer.start("entry"))
        found = tracer.trace(first.context.trace_id)
        self.assertEqual(len(found), 2 if kept else 0)
        held = [*tracer.usual.values(), *tracer.notable.values()]
        self.assertLessEqual(sum(map(len, held)), 10)

    def test_spans_of_one_trace_are_limited(self):
        # Guards against a caller that keeps reusing one trace id.
        tracer = tracing.Tracer("dar-a-1", clock=lambda: 0.0)
        for _ in range(2 * tracing.MAX_SPANS_PER_TRACE):
            tracer.finish(tracer.start("entry", f"00-{TRACE}-{SPAN}-01"))
        kept = tracer.trace(TRACE)
        self.assertEqual(len(kept), tracing.MAX_SPANS_PER_TRACE)


class MetricsTest(unittest.TestCase):
    """Guards against metrics that scrapers cannot parse or that grow."""

    def test_text(self):
        values = metrics.Metrics()
        values.count("requests", code="ok")
        values.count("requests", 2, code="ok")
        values.gauge("links", lambda: 4)
        for millis in range(1, 101):
            values.observe("request", millis / 1000, role="entry")
        text = values.text().decode()
        self.assertIn('cicadafront_requests_total{code="ok"} 3.0', text)
        self.assertIn("cicadafront_links 4.0", text)
        self.assertIn('cicadafront_request_seconds_count{role="entry"}', text)
        p99 = values.latencies["request"][(("role", "entry"),)].quantile(0.99)
        self.assertAlmostEqual(p99, 0.099, delta=0.002)

    def test_latency_equals_a_plain_histogram(self):
        # Guards against values that are lost, or rounded by more than the
        # histogram does, before a batch is added to it.
        rng = random.Random(1)
        plain, latency = metrics.new_histogram(), metrics.Latency()
        for _ in range(5000):
            micros = int(rng.lognormvariate(9, 2)) + 1
            plain.record_value(micros)
            latency.record((micros + 0.5) / 1e6)
        self.assertEqual(latency.values.get_total_count(), 5000)
        for share in metrics.QUANTILES:
            expected = plain.get_value_at_percentile(share * 100) / 1e6
            self.assertEqual(latency.quantile(share), expected)

    def test_number_of_histograms_is_limited(self):
        values = metrics.Metrics()
        for index in range(metrics.MAX_HISTOGRAMS + 50):
            values.observe("request", 0.1, service=f"s{index}")
        latencies = values.latencies["request"]
        self.assertEqual(len(latencies), metrics.MAX_HISTOGRAMS + 1)
        other = latencies[(("service", metrics.OTHER),)]
        self.assertEqual(other.values.get_total_count(), 50)

    def test_number_of_series_is_limited(self):
        values = metrics.Metrics()
        for index in range(metrics.MAX_SERIES + 50):
            values.count("requests", service=f"s{index}")
        series = values.counters["requests"]
        self.assertEqual(len(series), metrics.MAX_SERIES + 1)
        self.assertEqual(series[(("service", metrics.OTHER),)], 50)

    def test_counters_of_components(self):
        # Guards against counters that keep the value of their registration.
        values, kept = metrics.Metrics(), collections.Counter(retries=1)
        values.total_by("events", "event", lambda: kept)
        values.gauge_by("slots", "service", lambda: {"s": 2})
        kept["retries"] += 1
        text = values.text().decode()
        self.assertIn('cicadafront_events_total{event="retries"} 2.0', text)
        self.assertIn('cicadafront_slots{service="s"} 2.0', text)


class LogTest(unittest.TestCase):
    """Guards against log lines that lack the prefix or contain raw bytes."""

    def test_line(self):
        stream = io.StringIO()
        logs.SETTINGS.level = logs.Level.INFO
        destination = eliot.FileDestination(
            file=stream, json_default=logs._encode
        )
        eliot.add_destinations(destination)
        self.addCleanup(eliot.remove_destination, destination)
        log = logs.Log("edge")
        log.debug("not written")
        log.info("Request refused.", digest=b"\x01\xff")
        line = json.loads(stream.getvalue())
        self.assertEqual(line["text"], "edge: Request refused.")
        self.assertEqual(line["digest"], "01ff")
