"""Tests of links, streams and calls between two instances."""

import math
import struct
import unittest

import attrs
import hypothesis
from hypothesis import strategies
from parameterized import parameterized
from twisted.internet import defer, error, task
from twisted.python import failure

from cicadafront import errors, model
from cicadafront.peer import codec, exchange, heartbeat, link
from tests.support import memory

HEAD = model.RequestHead("GET", "/x", ((b"Host", b"h"),))
REQUEST = exchange.OpenRequest(HEAD, "amani", "s", "t", 5.0)
OK = model.ResponseHead(200, ((b"X", b"1"),))
STEP_SECONDS = 0.05
DEAD_SECONDS = heartbeat.PING_AFTER_SECONDS + heartbeat.DEAD_AFTER_SECONDS


def _context(clock, id, version=link.PROTOCOL_VERSION, handlers=None):
    hello = codec.Hello(id, 1, version)
    return link.LinkContext(hello, memory.Opener(), handlers or {}, clock)


class Pair:
    """A link from instance a to instance b over in-memory transports."""

    def __init__(
        self,
        version=link.PROTOCOL_VERSION,
        peer="b",
        handlers=None,
        opener=None,
    ):
        self.clock = task.Clock()
        self.path_reports = []
        self.a = attrs.evolve(
            _context(self.clock, "a"),
            report_path=lambda *report: self.path_reports.append(report),
        )
        self.b = _context(self.clock, "b", version, handlers)
        if opener is not None:
            self.b = attrs.evolve(self.b, opener=opener)
        self.client = link.Link(self.a, peer)
        self.server = link.Link(self.b)
        self.partitioned = False
        # Whether bytes from a to b, and from b to a, arrive.
        self.carries = True, True

    def connect(self):
        """Connects both sides."""
        self.server.makeConnection(memory.Transport())
        self.client.makeConnection(memory.Transport())
        self.pump()
        self.path_reports.clear()
        return self

    def pump(self):
        """Transfers bytes until neither side sends any more."""
        moved = self.client.transport is not None
        while moved and not self.partitioned:
            moved = False
            for carries, here, there in (
                (self.carries[0], self.client, self.server),
                (self.carries[1], self.server, self.client),
            ):
                data = here.transport.take()
                if not carries:
                    continue
                if data and not there.closed:
                    there.dataReceived(data)
                    moved = True
                if here.transport.aborted and not there.closed:
                    there.connectionLost(_lost())
                    moved = True

    def advance(self, seconds):
        """Advances the clock in steps of 50 ms and transfers bytes."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self.pump()

    def open(self):
        """Opens a stream; returns the local sinks, then the remote ones."""
        response = memory.Response()
        request = self.client.open(REQUEST, response)
        self.pump()
        if not self.b.opener.opened:
            return request, response, None, None
        _, _, remote_response, remote_request = self.b.opener.opened[-1]
        return request, response, remote_request, remote_response

    def call(self, limit):
        """Makes a call and ignores its result."""
        self.client.call("m", b"", limit).addErrback(lambda _: None)
        self.pump()

    def cancelled(self, after):
        """Opens a stream that is cancelled after some seconds."""
        request, *_ = self.open()
        self.clock.callLater(after, request.cancel)

    def silence_found(self, use, period):
        """Uses the link regularly; returns when its silence was noticed.

        Returns:
            Seconds from the first use until the path was reported as failing
            ("suspected") and until the client closed the link ("closed");
            infinite if it did not.
        """
        found = {"suspected": math.inf, "closed": math.inf}
        every = round(period / STEP_SECONDS)
        for step in range(round(10.0 / STEP_SECONDS)):
            if self.client.closed:
                found["closed"] = step * STEP_SECONDS
                break
            if step % every == 0:
                use(self)
            self.advance(STEP_SECONDS)
            if self.path_reports and math.isinf(found["suspected"]):
                found["suspected"] = (step + 1) * STEP_SECONDS
        return found

    def inject(self, frame):
        """Delivers a frame to the client that the server did not send."""
        self.client.stringReceived(codec.encode(frame))
        self.pump()


def _lost():
    return failure.Failure(error.ConnectionLost())


class StreamTest(unittest.TestCase):
    """Guards against lost, reordered or truncated exchanges.

    Frames can arrive before the hello, for an unknown stream or out of order,
    and an exception can occur while one stream is handled.
    """

    def test_complete_exchange(self):
        pair = Pair().connect()
        request, response, remote_request, remote_response = pair.open()
        self.assertEqual(pair.b.opener.opened[0][1], REQUEST)
        body = bytes(range(256)) * 700
        request.body(body)
        request.end()
        pair.pump()
        self.assertEqual(remote_request.data, body)
        self.assertTrue(remote_request.ended)
        load = exchange.Load(2, 1, 250, 10, ending=True)
        remote_response.head(OK, load)
        remote_response.body(b"abc")
        remote_response.end()
        pair.pump()
        self.assertEqual(response.events, [200, b"abc", "end"])
        self.assertEqual(response.load, load)
        self.assertFalse(pair.client.busy or pair.server.busy)

    def test_open_before_the_connection(self):
        pair = Pair()
        request, response, _, _ = pair.open()
        request.body(b"abc")
        pair.connect()
        self.assertEqual(pair.b.opener.opened[0][3].data, b"abc")

    def test_cancel_and_fail(self):
        pair = Pair().connect()
        request, response, remote_request, _ = pair.open()
        request.cancel()
        pair.pump()
        self.assertTrue(remote_request.cancelled)
        _, response, _, remote_response = pair.open()
        refusal = errors.QueueFullError("Full.", retry_after=0.5)
        remote_response.fail(refusal, exchange.Load(3, 9, 250, 10))
        pair.pump()
        self.assertEqual(response.load, exchange.Load(3, 9, 250, 10))
        self.assertEqual(response.events, [("queue_full", "no")])
        self.assertEqual(response.error.status, 503)
        self.assertEqual(response.error.retry_after, 0.5)

    def test_windows_are_reported_in_steps(self):
        pair = Pair().connect()
        request, response, remote_request, remote_response = pair.open()
        remote_response.head(OK, exchange.Load())
        chunk = b"x" * 1024
        for _ in range(64):
            request.body(chunk)
            remote_response.body(chunk)
            pair.pump()
            remote_response.consumed(1024)
            request.consumed(1024)
        pair.pump()
        self.assertEqual(response.taken, 64 * 1024)
        self.assertEqual(remote_request.granted, 64 * 1024)

    @parameterized.expand(
        [
            ("body before head", [codec.Data(1, b"x")], "link_lost"),
            ("end before head", [codec.End(1)], "link_lost"),
            (
                "beyond the window",
                [codec.Head(1, OK, exchange.Load())]
                + [codec.Data(1, b"x" * exchange.CHUNK_BYTES)] * 6,
                "link_lost",
            ),
        ]
    )
    def test_protocol_violation(self, _name, frames, code):
        pair = Pair().connect()
        _, response, remote_request, _ = pair.open()
        for frame in frames:
            pair.inject(frame)
        self.assertEqual(response.events[-1], (code, "unknown"))
        self.assertNotIn("end", response.events)
        self.assertTrue(remote_request.cancelled)

    @parameterized.expand(
        [
            ("second head", codec.Head(1, OK, exchange.Load())),
            ("unknown stream", codec.Data(99, b"x")),
            ("unknown reply", codec.Reply(98, "", b"x")),
            ("open from the wrong side", codec.Open(5, REQUEST)),
        ]
    )
    def test_unexpected_frames_are_dropped_and_counted(self, _name, frame):
        pair = Pair().connect()
        _, response, _, remote_response = pair.open()
        remote_response.head(OK, exchange.Load())
        pair.pump()
        pair.inject(frame)
        remote_response.body(b"abc")
        remote_response.end()
        pair.pump()
        pair.inject(codec.Data(1, b"late"))
        self.assertEqual(response.events, [200, b"abc", "end"])
        self.assertEqual(pair.a.counts["frames_dropped"], 2)

    def test_reused_stream_id_is_dropped(self):
        pair = Pair().connect()
        pair.open()
        pair.server.stringReceived(codec.encode(codec.Open(1, REQUEST)))
        self.assertEqual(len(pair.b.opener.opened), 1)
        self.assertEqual(pair.b.counts["frames_dropped"], 1)

    def test_exception_in_one_stream_does_not_affect_others(self):
        pair = Pair().connect()
        _, first, remote_request, _ = pair.open()
        _, second, _, second_remote_response = pair.open()
        remote_request.body = None
        pair.server.stringReceived(codec.encode(codec.Data(1, b"x")))
        pair.pump()
        self.assertEqual(first.events, [("internal_error", "unknown")])
        second_remote_response.head(OK, exchange.Load())
        pair.pump()
        self.assertEqual(second.events, [200])


class LossTest(unittest.TestCase):
    """Guards against lost links that report wrongly whether a request ran.

    A request has not run while the hello is outstanding; afterwards this is
    unknown. A peer can be silent, and this process can be paused.
    """

    def test_before_the_hello(self):
        pair = Pair()
        _, response, _, _ = pair.open()
        pair.client.makeConnection(memory.Transport())
        pair.client.connectionLost(_lost())
        self.assertEqual(response.events, [("link_lost", "no")])

    def test_no_hello_in_time(self):
        pair = Pair()
        _, response, _, _ = pair.open()
        pair.client.makeConnection(memory.Transport())
        pair.clock.advance(link.HELLO_TIMEOUT_SECONDS)
        self.assertEqual(response.events, [("link_lost", "no")])

    def test_after_the_open_frame(self):
        pair = Pair().connect()
        _, response, remote_request, _ = pair.open()
        pair.client.connectionLost(_lost())
        pair.server.connectionLost(_lost())
        self.assertEqual(response.events, [("link_lost", "unknown")])
        self.assertTrue(remote_request.cancelled)

    def test_open_on_a_closed_link(self):
        pair = Pair().connect()
        pair.client.close()
        _, response, _, _ = pair.open()
        pair.clock.advance(0)
        self.assertEqual(response.events, [("link_lost", "no")])

    @parameterized.expand(
        [("other instance", {"peer": "c"}), ("other version", {"version": 9})]
    )
    def test_refused_hello(self, _name, fields):
        pair = Pair(**fields)
        _, response, _, _ = pair.open()
        pair.connect()
        self.assertEqual(response.events, [("link_lost", "no")])
        self.assertEqual(pair.b.opener.opened, [])
        self.assertEqual(pair.a.counts["hellos_refused"], 1)

    def test_unresponsive_peer_closes_the_link(self):
        pair = Pair().connect()
        _, response, remote_request, _ = pair.open()
        pair.partitioned = True
        pair.advance(DEAD_SECONDS - 0.1)
        self.assertEqual(response.events, [])
        pair.advance(0.2)
        self.assertEqual(response.events, [("link_lost", "unknown")])
        self.assertTrue(remote_request.cancelled)

    @parameterized.expand(
        [
            ("short calls", lambda pair: pair.call(0.15), 0.1),
            ("rarer calls", lambda pair: pair.call(0.15), 0.3),
            ("rare calls", lambda pair: pair.call(0.15), 1.0),
            ("single call", lambda pair: pair.call(0.15), 60.0),
            ("cancelled streams", lambda pair: pair.cancelled(0.4), 0.6),
            ("rare cancelled streams", lambda pair: pair.cancelled(0.1), 1.0),
            ("single cancelled stream", lambda pair: pair.cancelled(0), 60.0),
            ("long stream", lambda pair: pair.open(), 60.0),
        ]
    )
    def test_silent_link_is_found_however_it_is_used(self, _name, use, period):
        for to_peer, from_peer in (
            (False, False),
            (True, False),
            (False, True),
        ):
            with self.subTest(to_peer=to_peer, from_peer=from_peer):
                pair = Pair().connect()
                pair.advance(10)
                pair.carries = to_peer, from_peer
                found = pair.silence_found(use, period)
                self.assertLessEqual(found["suspected"], 1.0)
                self.assertLessEqual(found["closed"], 2.5)

    @parameterized.expand(
        [
            ("call", lambda pair: pair.call(0.15)),
            ("cancelled stream", lambda pair: pair.cancelled(0.15)),
        ]
    )
    def test_unanswered_use_is_followed_up_at_once(self, _name, use):
        pair = Pair().connect()
        pair.advance(10)
        pair.partitioned = True
        found = pair.silence_found(use, 60.0)
        self.assertLessEqual(found["suspected"], 0.4)

    @parameterized.expand([("calls", 0.15), ("a cancelled stream", None)])
    def test_answered_link_stays_open_and_idle(self, _name, limit):
        pair = Pair().connect()
        if limit is None:
            pair.cancelled(0.1)
        else:
            pair.call(limit)
        pair.advance(1.0)
        pair.client.transport.clear()
        pair.advance(60.0)
        self.assertFalse(pair.client.closed or pair.server.closed)
        self.assertEqual(pair.client.transport.value(), b"")
        self.assertEqual(pair.path_reports, [])

    def test_path_is_reported_failing_before_the_link_is_closed(self):
        pair = Pair().connect()
        pair.open()
        pair.partitioned = True
        pair.advance(0.65)
        self.assertEqual(pair.path_reports, [])
        pair.advance(0.1)
        self.assertEqual(pair.path_reports, [("b", False)])
        self.assertFalse(pair.client.closed)
        pair.partitioned = False
        pair.pump()
        self.assertEqual(pair.path_reports, [("b", False), ("b", True)])

    @parameterized.expand([("quickly", 0.05), ("slowly", 0.4)])
    def test_link_lost_while_a_large_frame_arrives(self, _name, pause):
        document = bytes(400_000)
        pair = Pair(handlers={"document": lambda caller, body: document})
        pair.connect()
        result = pair.client.call("document", b"", 60.0)
        pair.server.dataReceived(pair.client.transport.take())
        data = pair.server.transport.take()
        for start in range(0, len(data), 16_000):
            pair.client.dataReceived(data[start : start + 16_000])
            pair.clock.advance(pause)
        self.assertEqual(result.result, document)
        self.assertEqual(pair.path_reports, [])

    def test_answered_heartbeats_keep_the_link_open(self):
        pair = Pair().connect()
        _, response, _, _ = pair.open()
        pair.advance(10)
        self.assertEqual(response.events, [])
        self.assertFalse(pair.client.closed or pair.server.closed)

    def test_idle_link_needs_no_heartbeat(self):
        pair = Pair().connect()
        pair.partitioned = True
        pair.advance(10)
        self.assertFalse(pair.client.closed)
        self.assertEqual(pair.client.transport.value(), b"")

    def test_process_pause_does_not_close_the_link(self):
        pair = Pair().connect()
        _, response, _, _ = pair.open()
        pair.partitioned = True
        pair.advance(heartbeat.PING_AFTER_SECONDS + 0.1)
        pair.clock.advance(10.0)
        pair.partitioned = False
        pair.advance(1.0)
        self.assertEqual(response.events, [])


class CallTest(unittest.TestCase):
    """Guards against calls that never finish or report a wrong error code."""

    def _call(self, handler, method="m", timeout=1.0):
        pair = Pair(handlers={"m": handler}).connect()
        result = pair.client.call(method, b"in", timeout)
        pair.pump()
        return pair, result

    def _code(self, result):
        seen = []
        result.addErrback(lambda reason: seen.append(reason.value.code))
        return seen

    def test_reply(self):
        pair, result = self._call(lambda peer, body: peer.encode() + body)
        seen = []
        result.addCallback(seen.append)
        self.assertEqual(seen, [b"ain"])
        self.assertFalse(pair.client.busy)

    @parameterized.expand(
        [
            (
                "typed",
                lambda *_: defer.fail(errors.StoreConflictError("x")),
                "m",
                "store_conflict",
            ),
            ("bug", lambda *_: {}["x"], "m", "internal_error"),
            ("unknown", lambda *_: b"", "n", "method_unknown"),
        ]
    )
    def test_error(self, _name, handler, method, code):
        _, result = self._call(handler, method)
        self.assertEqual(self._code(result), [code])

    def test_timeout_and_late_reply(self):
        late = defer.Deferred()
        pair, result = self._call(lambda *_: late)
        seen = self._code(result)
        pair.advance(1.1)
        self.assertEqual(seen, ["call_timeout"])
        late.callback(b"late")
        pair.pump()
        self.assertEqual(pair.a.counts["frames_dropped"], 1)

    def test_lost_link(self):
        pair, result = self._call(lambda *_: defer.Deferred())
        seen = self._code(result)
        pair.client.connectionLost(_lost())
        self.assertEqual(seen, ["call_failed"])


class FrameFuzzTest(unittest.TestCase):
    """Guards against exceptions caused by malformed bytes from a peer."""

    @hypothesis.settings(
        max_examples=500, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(strategies.lists(strategies.binary(max_size=80)))
    def test_arbitrary_frames(self, frames):
        pair = Pair().connect()
        pair.open()
        for frame in frames:
            if not pair.client.closed:
                data = struct.pack("!I", len(frame)) + frame
                pair.client.dataReceived(data)

    def test_overlong_frame(self):
        pair = Pair().connect()
        size = struct.pack("!I", link.MAX_FRAME_BYTES + 1)
        pair.client.dataReceived(size)
        self.assertTrue(pair.client.closed)
