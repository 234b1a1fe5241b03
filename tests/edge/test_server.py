"""Tests of the HTTP/1.1 server for callers."""

import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies
from parameterized import parameterized
from twisted.internet import error
from twisted.python import failure

from cicadafront import errors, model
from cicadafront.edge import forward, resolved_request, server
from cicadafront.peer import exchange
from tests.support.edge import GET, KEYED, Edge, SocketTransport, problem

CLOSE_SECONDS = (
    server.HEAD_SECONDS
    + server.IDLE_SECONDS
    + server.FLUSH_SECONDS
    + server.LINGER_SECONDS
)


class WithdrawnKeyTest(unittest.TestCase):
    """Guards against idle connections that stay open after key withdrawal."""

    @parameterized.expand([("withdrawn", False), ("valid", True)])
    def test_idle_connection(self, _name, valid):
        edge = Edge()
        edge.receive(KEYED)
        edge.answer(body=b"ok")
        edge.site.close_withdrawn(lambda token: valid)
        self.assertEqual(edge.transport.half_closed, not valid)


class UnreadRequestTest(unittest.TestCase):
    """Guards against closing a connection whose socket holds a request.

    A busy process runs a due timer before it reads its sockets, so that a
    request may already have arrived when the connection seems idle.
    """

    @parameterized.expand([("quiet", None, True), ("unread", b"G", False)])
    def test_idle_limit(self, _name, unread, closed):
        edge = Edge(transport=SocketTransport(unread))
        edge.receive(KEYED)
        edge.answer(body=b"ok")
        edge.clock.advance(server.IDLE_SECONDS)
        self.assertEqual(edge.transport.half_closed, closed)
        if not closed:
            edge.receive(KEYED)
            self.assertIn(b"200", edge.answer(body=b"ok"))

    def test_withdrawn_key(self):
        edge = Edge(transport=SocketTransport(b"G"))
        edge.receive(KEYED)
        edge.answer(body=b"ok")
        edge.site.close_withdrawn(lambda token: False)
        self.assertFalse(edge.transport.half_closed)


POST = b"POST /open/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"


class HandlerFailureTest(unittest.TestCase):
    """Guards against callers that get no answer because of a defect.

    An unexpected exception must not leave the connection of its request.
    """

    def fail(self, edge, function, pieces):
        """Lets a function of the forwarding logic raise for some input."""
        with unittest.mock.patch.object(
            *function, side_effect=UnicodeEncodeError("utf-8", "", 0, 1, "x")
        ):
            return edge.receive(*pieces)

    @parameterized.expand(
        [
            ("start", (resolved_request, "resolve"), [GET], 0),
            ("route", (forward.Exchange, "_track_downstream"), [GET], 0),
            ("body", (forward.Exchange, "body"), [POST, b"ok"], 0),
            ("end", (forward.Exchange, "end"), [GET], 0),
        ]
    )
    def test_answer(self, _name, function, pieces, opened):
        edge = Edge()
        status, head, fields = problem(self.fail(edge, function, pieces))
        self.assertEqual((status, fields["executed"]), (500, "unknown"))
        self.assertEqual(len(edge.opener.opened), opened)
        self.assertEqual(edge.site.handler.running, set())
        self.assertEqual(edge.site.counts["handlers_failed"], 1)
        # The next request of the connection is served.
        edge.receive(GET)
        self.assertIn(b" 200 ", edge.answer(body=b"ok"))
        edge.clock.advance(60)
        self.assertEqual(edge.transport.take(), b"")

    def test_exchange_that_did_not_start_has_no_deadline(self):
        edge = Edge()
        function = (forward.Exchange, "can_finish_in_time")
        self.fail(edge, function, [GET])
        self.assertEqual(edge.clock.getDelayedCalls(), [edge.connection._timer])


class BlankLineTest(unittest.TestCase):
    """Guards against responses to blank lines between requests.

    A server ignores them (RFC 9112, section 2.2).
    """

    @parameterized.expand(
        [
            ("before the first request", [b"\r\n" + GET], 1),
            ("with the next request", [GET, None, b"\r\n" + GET], 2),
            ("between requests", [GET, None, b"\r", b"\n", GET], 2),
            ("with the request before", [GET + b"\r\n", None, GET], 2),
            ("pipelined", [GET + b"\r\n" + GET, None], 2),
        ]
    )
    def test_ignored(self, _name, pieces, opened):
        edge = Edge()
        for piece in pieces:
            if piece is None:
                edge.answer(fields=((b"Content-Length", b"0"),))
            else:
                self.assertEqual(edge.receive(piece), b"")
        self.assertEqual(len(edge.opener.opened), opened)
        self.assertIn(b" 200 ", edge.answer(body=b"ok"))

    def test_idle_limit_still_holds(self):
        edge = Edge()
        edge.receive(GET + b"\r\n")
        edge.answer(fields=((b"Content-Length", b"0"),))
        edge.clock.advance(server.IDLE_SECONDS - 1)
        edge.receive(b"\r\n")
        edge.clock.advance(1.1)
        self.assertTrue(edge.transport.half_closed)


class ResponseTest(unittest.TestCase):
    """Guards against responses whose length the caller misreads."""

    @parameterized.expand(
        [
            ("length", b"GET", 200, ((b"Content-Length", b"2"),), b"ok", b"ok"),
            ("chunked", b"GET", 200, (), b"ok", b"2\r\nok\r\n0\r\n\r\n"),
            ("head", b"HEAD", 200, ((b"Content-Length", b"9"),), b"", b""),
            ("no content", b"GET", 204, (), b"", b""),
            ("unchanged", b"GET", 304, ((b"ETag", b"x"),), b"", b""),
            ("redirect", b"GET", 302, ((b"Content-Length", b"0"),), b"", b""),
        ]
    )
    def test_framing(self, _name, method, status, fields, body, expected):
        edge = Edge()
        edge.receive(method + b" /open HTTP/1.1\r\nHost: h\r\n\r\n")
        head, _, rest = edge.answer(status, fields, body).partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 %d " % status))
        self.assertEqual(rest, expected)
        for name, value in fields:
            self.assertIn(name + b": " + value, head)
        self.assertFalse(edge.transport.closed)

    def test_http_1_0_response_ends_with_the_connection(self):
        edge = Edge()
        edge.receive(b"GET /open HTTP/1.0\r\n\r\n", b"\r\n")
        data = edge.answer(body=b"ok")
        self.assertTrue(data.endswith(b"\r\n\r\nok"))
        self.assertTrue(edge.transport.half_closed)

    def test_pipelined_requests_in_order(self):
        edge = Edge()
        edge.receive(GET + GET.replace(b"/x", b"/y"))
        self.assertEqual(len(edge.opener.opened), 1)
        self.assertIn(b"first", edge.answer(body=b"first"))
        self.assertEqual(edge.request.head.path, "/open/y")
        self.assertIn(b"second", edge.answer(body=b"second"))

    def test_pipelined_errors_do_not_recurse(self):
        edge = Edge()
        count = 3000
        data = edge.receive(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n" * count)
        self.assertEqual(data.count(b"HTTP/1.1 404"), count)

    def test_pipelined_bytes_are_limited(self):
        edge = Edge()
        edge.receive(GET, *[GET * 200] * 20)
        self.assertEqual(edge.transport.producerState, "paused")
        for _ in range(1 + 200 * 20):
            edge.answer(body=b"x")
        self.assertEqual(edge.transport.producerState, "producing")

    @parameterized.expand(
        [("length", ((b"Content-Length", b"9"),)), ("chunked", ())]
    )
    def test_truncated_response_aborts_the_connection(self, _name, fields):
        edge = Edge()
        edge.receive(GET)
        response = edge.opener.opened[-1][2]
        response.head(model.ResponseHead(200, fields), exchange.Load())
        response.body(b"part")
        response.fail(errors.TargetFailedError("Short."), exchange.Load())
        self.assertTrue(edge.transport.aborted)
        self.assertNotIn(b"\r\n0\r\n", edge.transport.value())

    def test_response_longer_than_its_content_length(self):
        edge = Edge()
        edge.receive(GET)
        edge.answer(fields=((b"Content-Length", b"1"),), body=b"too long")
        self.assertTrue(edge.transport.aborted)

    def test_late_response_is_dropped_and_counted(self):
        edge = Edge()
        edge.receive(GET)
        edge.answer(body=b"once")
        edge.receive(GET)
        self.assertEqual(edge.answer(body=b"again", index=0), b"")
        forwarder = edge.site.handler
        self.assertEqual(forwarder._deps.counts["answers_dropped"], 3)

    def test_continue_only_after_admission(self):
        expecting = (
            b"POST /keyed HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n%s\r\n"
        )
        edge = Edge()
        got, head, _ = problem(edge.receive(expecting % b""))
        self.assertEqual(got, 401)
        self.assertIn(b"connection: close", head)
        self.assertTrue(edge.transport.half_closed)
        edge = Edge()
        key = b"Authorization: Bearer cf_k1_secret\r\n"
        data = edge.receive(expecting % key)
        self.assertTrue(data.startswith(b"HTTP/1.1 100 "))
        edge.receive(b"ok")
        self.assertEqual(edge.sink.data, b"ok")
        self.assertNotIn(b"Expect", dict(edge.request.head.headers))


class TimeoutTest(unittest.TestCase):
    """Guards against connections that stay open without a request."""

    @parameterized.expand(
        [
            ("silent", [], server.HEAD_SECONDS, b""),
            ("slow head", [b"GET /"], server.HEAD_SECONDS, b"HTTP/1.1 408"),
        ]
    )
    def test_head_limit(self, _name, pieces, seconds, expected):
        edge = Edge()
        edge.receive(*pieces)
        edge.clock.advance(seconds - 0.1)
        self.assertFalse(edge.transport.closed)
        edge.clock.advance(0.2)
        self.assertTrue(edge.transport.value().startswith(expected))
        self.assertTrue(edge.transport.half_closed)

    def test_slow_second_head(self):
        edge = Edge()
        edge.receive(GET)
        edge.answer()
        edge.clock.advance(server.IDLE_SECONDS - 1)
        edge.receive(b"GET")
        edge.clock.advance(server.HEAD_SECONDS + 0.1)
        self.assertIn(b" 408 ", edge.transport.value())

    def test_idle_limit(self):
        edge = Edge()
        edge.receive(GET)
        edge.answer()
        edge.clock.advance(server.IDLE_SECONDS + 0.1)
        self.assertTrue(edge.transport.half_closed)
        edge.connection.writeConnectionLost()
        edge.clock.advance(server.LINGER_SECONDS - 0.1)
        self.assertFalse(edge.transport.disconnecting)
        edge.clock.advance(0.2)
        self.assertTrue(edge.transport.disconnecting)
        self.assertFalse(edge.transport.aborted)

    def test_disconnect_cancels_the_request(self):
        edge = Edge()
        edge.receive(GET)
        edge.connection.connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertTrue(edge.sink.cancelled)

    @parameterized.expand(
        [("idle", [], True), ("head on its way", [GET[:9]], False)]
    )
    def test_draining_closes_idle_connections(self, _name, pieces, closed):
        edge = Edge()
        edge.receive(*pieces)
        edge.site.drain()
        edge.site.close_idle()
        self.assertEqual(edge.transport.closed, closed)

    def test_draining_closes_after_the_response(self):
        edge = Edge()
        edge.receive(GET)
        edge.site.drain()
        edge.site.close_idle()
        self.assertFalse(edge.transport.closed)
        self.assertIn(b"Connection: close", edge.answer(body=b"x"))
        self.assertTrue(edge.transport.half_closed)


class FlowTest(unittest.TestCase):
    """Guards against bodies that accumulate in memory.

    The sending side must pause when the receiving side is slower.
    """

    def test_upload_pauses_the_caller(self):
        edge = Edge()
        size = exchange.WINDOW_BYTES * 4
        head = b"POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        edge.receive(head % size)
        piece = b"x" * exchange.CHUNK_BYTES
        sent = 0
        while edge.transport.producerState == "producing":
            edge.receive(piece)
            sent += len(piece)
        self.assertLessEqual(sent, exchange.WINDOW_BYTES)
        edge.opener.opened[-1][2].consumed(len(piece))
        self.assertEqual(edge.transport.producerState, "producing")

    def test_download_waits_for_the_caller(self):
        edge = Edge()
        edge.receive(GET)
        response = edge.opener.opened[-1][2]
        response.head(model.ResponseHead(200, ()), exchange.Load())
        response.body(b"x" * 10)
        edge.transport.producer.pauseProducing()
        response.body(b"x" * 20)
        self.assertEqual(edge.sink.granted, 10)
        edge.transport.producer.resumeProducing()
        self.assertEqual(edge.sink.granted, 30)


class FuzzTest(unittest.TestCase):
    """Guards against tracebacks and hangs on arbitrary bytes."""

    _pieces = strategies.one_of(
        strategies.binary(max_size=200),
        strategies.sampled_from(
            [
                GET,
                GET[:-2],
                b"POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n",
                b"POST /open HTTP/1.1\r\nHost: h\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"4\r\nabcd\r\n",
                b"0\r\n\r\n",
                b"ffffffffffffffffffff\r\n",
                b"\r\n",
                b"Connection: close\r\n",
                b"GET /open HTTP/1.0\r\n\r\n",
                b"Expect: 100-continue\r\n\r\n",
            ]
        ),
    )

    @hypothesis.settings(
        max_examples=1500, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(strategies.lists(_pieces, max_size=12))
    def test_arbitrary_bytes(self, pieces):
        edge = Edge()
        for piece in pieces:
            edge.receive(piece)
            for _, _, response, sink in edge.opener.opened:
                if sink.ended and not getattr(response, "done", True):
                    response.head(model.ResponseHead(200, ()), exchange.Load())
                    response.end()
        for _ in range(4):
            edge.clock.advance(CLOSE_SECONDS)
        self.assertTrue(edge.transport.closed)
        self.assertEqual(edge.site.handler.running, set())
