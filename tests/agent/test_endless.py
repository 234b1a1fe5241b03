"""Tests of responses that never end."""

import itertools
import unittest

from parameterized import parameterized

from cicadafront.agent import connection, observer
from cicadafront.peer import exchange
from tests.support.agent import OK, AgentFixture

FAILED = ("target_failed", "unknown")
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
UNSIZED = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE = b"x" * exchange.CHUNK_BYTES
CHUNK = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
# Limit of the bytes that the agent may accept from a target that never stops.
MAX_BYTES = 2 * connection.MAX_UNSIZED_BYTES


class EndlessTest(unittest.TestCase):
    """Guards against targets that send until the connection is closed.

    Without limits, such a response would occupy memory, CPU and a slot until
    the deadline, and would not count as a failure of the target.
    """

    def setUp(self):
        self.fixture = AgentFixture()
        self.sink, self.response = self.fixture.open()
        self.sink.end()

    def stream_until_closed(self, pieces, limit=MAX_BYTES):
        """Sends pieces until the agent closes; returns the bytes sent."""
        sent = 0
        for piece in pieces:
            if self.fixture.transport.aborted:
                return sent
            self.assertLess(sent, limit, "the agent does not close")
            self.fixture.receive(piece)
            self.sink.consumed(len(piece))
            sent += len(piece)
        return sent

    @parameterized.expand(
        [
            ("one line", b"HTTP/1.1 200 ", b"x" * 1000),
            ("no lines", b"HTTP/1.1 200 OK\r\n", b"x" * 1000),
            ("fields", b"HTTP/1.1 200 OK\r\n", b"A: " + b"x" * 95 + b"\r\n"),
            ("trailers", CHUNKED + b"0\r\n", b"A: " + b"x" * 95 + b"\r\n"),
            ("chunk head", CHUNKED + b"5;", b"x" * 1000),
            ("interim heads", INTERIM, INTERIM),
        ]
    )
    def test_head(self, _name, start, piece):
        pieces = itertools.chain([start], itertools.repeat(piece))
        self.stream_until_closed(pieces, limit=2 * connection.MAX_HEAD_BYTES)
        self.assertEqual(
            self.fixture.watcher.outcomes, [observer.Failed("mangled")]
        )
        self.assertEqual(self.response.events[-1], FAILED)

    @parameterized.expand(
        [("until it closes", UNSIZED, PIECE), ("chunks", CHUNKED, CHUNK)]
    )
    def test_body(self, _name, head, piece):
        self.stream_until_closed(
            itertools.chain([head], itertools.repeat(piece))
        )
        self.assertEqual(
            self.fixture.watcher.outcomes[-1], observer.Failed("endless")
        )
        self.assertEqual(self.response.events[-1], FAILED)
        self.assertNotIn("end", self.response.events)
        self.assertEqual(self.fixture.queue.load("t").slots_in_use, 0)

    @parameterized.expand(
        [
            ("until it closes", UNSIZED, b"x"),
            ("chunks", CHUNKED, b"1\r\nx\r\n"),
            (
                "more than it can send",
                b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
                b"x",
            ),
        ]
    )
    def test_slow_body_is_a_failure_of_the_target(self, _name, head, piece):
        self.fixture.receive(head)
        for _ in range(51):
            self.fixture.receive(piece)
            self.fixture.clock.advance(0.1)
        self.assertTrue(self.fixture.transport.aborted)
        self.assertEqual(
            self.fixture.watcher.outcomes[-1], observer.Failed("endless")
        )
        self.assertNotIn("end", self.response.events)

    def test_slow_caller_is_no_failure_of_the_target(self):
        self.fixture.receive(UNSIZED)
        while self.fixture.transport.producerState == "producing":
            self.fixture.receive(PIECE)
        self.fixture.clock.advance(5.0)
        self.assertNotIn(
            observer.Failed("endless"), self.fixture.watcher.outcomes
        )

    @parameterized.expand([(OK,), (b"HTTP/1.1 204 No Content\r\n\r\n",)])
    def test_bytes_after_the_response(self, answer):
        sent = self.stream_until_closed(
            itertools.chain([answer], itertools.repeat(PIECE))
        )
        self.assertLessEqual(sent, len(answer) + len(PIECE))
        self.assertEqual(self.response.events[-1], "end")


if __name__ == "__main__":
    unittest.main()
