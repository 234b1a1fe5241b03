"""Tests of the validation of request heads."""

import unittest

from parameterized import parameterized

from cicadafront import errors
from cicadafront.edge import framing
from tests.support import memory
from tests.support.edge import GET, KEYED, Edge, problem


class RefusedHeadTest(unittest.TestCase):
    """Guards against request smuggling: heads that parsers read differently."""

    @parameterized.expand(
        [
            (
                "two lengths",
                b"POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                b"Content-Length: 2\r\n\r\n",
                400,
            ),
            (
                "length and coding",
                b"POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
                400,
            ),
            (
                "other coding",
                b"POST /open HTTP/1.1\r\nHost: h\r\n"
                b"Transfer-Encoding: gzip, chunked\r\n\r\n",
                501,
            ),
            (
                "coding in 1.0",
                b"POST /open HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
                400,
            ),
            (
                "negative length",
                b"POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
                400,
            ),
            ("no host", b"GET /open HTTP/1.1\r\n\r\n", 400),
            (
                "space before colon",
                b"GET /open HTTP/1.1\r\nHost: h\r\nX : 1\r\n\r\n",
                400,
            ),
            ("not HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
            (
                "connect",
                b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
                405,
            ),
            (
                "dot segments",
                b"GET /open/../keyed HTTP/1.1\r\nHost: h\r\n\r\n",
                400,
            ),
            (
                "encoded dot segments",
                b"GET /open/%2e%2E%2fkeyed HTTP/1.1\r\nHost: h\r\n\r\n",
                400,
            ),
            ("no path", b"GET open HTTP/1.1\r\nHost: h\r\n\r\n", 400),
            (
                "large head at once",
                b"GET /open HTTP/1.1\r\nHost: h\r\nX: "
                + b"x" * framing.MAX_HEAD_BYTES
                + b"\r\n\r\n",
                431,
            ),
            (
                "large head without end",
                b"GET /open HTTP/1.1\r\nX: " + b"x" * framing.MAX_HEAD_BYTES,
                431,
            ),
            ("no route", b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n", 404),
            ("no key", b"GET /keyed HTTP/1.1\r\nHost: h\r\n\r\n", 401),
        ]
    )
    def test_refused(self, _name, head, status):
        edge = Edge()
        got, text, fields = problem(edge.receive(head))
        self.assertEqual((got, fields["executed"]), (status, "no"))
        self.assertIn(b"content-type: application/problem+json", text)
        self.assertEqual(edge.opener.opened, [])

    def test_head_in_single_bytes(self):
        edge = Edge()
        edge.receive(*(GET[i : i + 1] for i in range(len(GET))))
        self.assertEqual(edge.request.head.path, "/open/x")

    def test_retry_after(self):
        admission = memory.Admission()
        admission.hold = True
        edge = Edge(admission=admission)
        edge.receive(KEYED)
        refusal = errors.RateExceededError("Wait.", retry_after=1.2)
        admission.waiting[0].errback(refusal)
        status, head, _ = problem(edge.transport.take())
        self.assertEqual(status, 429)
        self.assertIn(b"retry-after: 2", head)


class ForwardedHeadTest(unittest.TestCase):
    """Guards against forwarded keys and changed end-to-end fields."""

    def test_fields(self):
        edge = Edge()
        edge.receive(
            b"GET http://h/keyed/a?b=%20 HTTP/1.1\r\nHost: h\r\n"
            b"authorization: bearer cf_k1_secret\r\nX-MiXed: 1\r\n"
            b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
            b"Upgrade: websocket\r\nProxy-Authorization: x\r\n"
            b"Accept-Encoding: gzip\r\nX-MiXed: 2\r\n\r\n"
        )
        self.assertEqual(edge.request.head.path, "/keyed/a?b=%20")
        self.assertEqual(edge.request.account, "amani")
        self.assertEqual(
            edge.request.head.headers,
            (
                (b"Host", b"h"),
                (b"X-MiXed", b"1"),
                (b"Accept-Encoding", b"gzip"),
                (b"X-MiXed", b"2"),
            ),
        )

    def test_chunked_body_without_trailers(self):
        edge = Edge()
        edge.receive(
            b"POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n"
        )
        self.assertEqual(edge.sink.data, b"abcde")
        self.assertTrue(edge.sink.ended)
        fields = edge.request.head.headers
        self.assertIn((b"Transfer-Encoding", b"chunked"), fields)
        self.assertNotIn(b"X-Trailer", dict(fields))
