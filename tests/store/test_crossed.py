"""Tests of answers of the store that belong to another call."""

import re
import unittest

from parameterized import parameterized
from twisted.internet import defer, protocol

from cicadafront import errors
from cicadafront.cli import loop
from cicadafront.store import client
from tests.store import support

_ID = re.compile(rb"X-Exchange-Id: (\w+)", re.IGNORECASE)
WRITTEN = b'{"version": 12}'
CONFLICT = b'{"status": 409}'


def answer(status, body, id=b""):
    """Returns an answer, with an id unless it is empty."""
    copied = b"X-Exchange-Id: %s\r\n" % id if id else b""
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        copied,
        len(body),
        body,
    )


class Server(protocol.Factory):
    """Carries writes out, and may write a refusal once more before.

    Attributes:
        copies: Whether answers bear the id of their call.
        refused: Id under which the refusal is repeated on a kept connection.
        count: Connections so far.
    """

    noisy = False

    def __init__(self, copies, refused=b""):
        self.copies = copies
        self.refused = refused
        self.repeats = True
        self.count = 0

    def buildProtocol(self, addr):  # noqa: N802
        self.count += 1
        return _Connection(self)


class _Connection(protocol.Protocol):
    def __init__(self, server):
        self.server = server
        self.answered = False

    def dataReceived(self, data):  # noqa: N802
        found = _ID.search(data)
        if found is None:
            return
        server = self.server
        if self.answered and server.repeats:
            self.transport.write(answer(409, CONFLICT, server.refused))
        self.answered = True
        id = found[1] if server.copies else b""
        self.transport.write(answer(200, WRITTEN, id))


class CrossedTest(unittest.TestCase):
    """Guards against a write that is called refused though it took effect."""

    def serve(self, server):
        """Serves a factory; returns a client of it."""
        reactor = loop.reactor()

        def start():
            port = reactor.listenTCP(0, server, interface="127.0.0.1")
            url = f"http://127.0.0.1:{port.getHost().port}"
            return defer.succeed((port, client.HttpStore(reactor, url)))

        port, made = loop.call(start)
        self.addCleanup(loop.call, made.close)
        self.addCleanup(
            loop.call, lambda: defer.maybeDeferred(port.stopListening)
        )
        return made

    @parameterized.expand([("earlier id", b"a1"), ("no id", b"")])
    def test_refusal_written_once_more(self, _name, refused):
        server = Server(True, refused)
        made = self.serve(server)
        self.assertEqual(loop.call(lambda: made.delete("k")), None)
        with self.assertRaises(errors.StoreUnavailableError) as caught:
            loop.call(lambda: made.put("k", b"v", 4))
        self.assertIn("CrossedAnswerError", str(caught.exception))
        server.repeats = False
        self.assertEqual(loop.call(lambda: made.put("k", b"v", 4)), 12)
        self.assertEqual(server.count, 2)

    def test_store_that_copies_no_ids(self):
        server = Server(False)
        server.repeats = False
        made = self.serve(server)
        for _ in range(2):
            self.assertEqual(loop.call(lambda: made.put("k", b"v", 4)), 12)
        self.assertEqual(server.count, 1)

    def test_emulated_store_copies_ids(self):
        _, port, url = support.serve()
        self.addCleanup(
            loop.call, lambda: defer.maybeDeferred(port.stopListening)
        )
        made = client.HttpStore(loop.reactor(), url)
        self.addCleanup(loop.call, made.close)
        version = loop.call(lambda: made.put("k", b"v", 0))
        self.assertTrue(made._copies_ids)
        with self.assertRaises(errors.StoreConflictError):
            loop.call(lambda: made.put("k", b"v", version + 1))


if __name__ == "__main__":
    unittest.main()
