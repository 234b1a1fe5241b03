"""Tests of store responses that belong to another request."""

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


def http_response(status, body, id=b""):
    """Returns an HTTP response, with an exchange id unless it is empty."""
    copied = b"X-Exchange-Id: %s\r\n" % id if id else b""
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        copied,
        len(body),
        body,
    )


class Server(protocol.Factory):
    """Server that executes writes and may send a stale 409 before a response.

    Attributes:
        echoes: Whether responses echo the exchange id of their request.
        refused: Exchange id of the stale 409; if empty, it has none.
        repeats: Whether a stale 409 precedes the responses on a connection
            that was used before.
        count: Number of connections accepted.
    """

    noisy = False

    def __init__(self, echoes, refused=b""):
        self.echoes = echoes
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
            self.transport.write(http_response(409, CONFLICT, server.refused))
        self.answered = True
        id = found[1] if server.echoes else b""
        self.transport.write(http_response(200, WRITTEN, id))


class MismatchedResponseTest(unittest.TestCase):
    """Guards against a write that is reported as a conflict but took effect.

    This happens when a server sends a stale 409 on a persistent connection
    and the client takes it for the response to its next request.
    """

    def serve(self, server):
        """Listens with a factory and returns a client for it."""
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
    def test_duplicate_conflict_response(self, _name, refused):
        server = Server(True, refused)
        made = self.serve(server)
        self.assertEqual(loop.call(lambda: made.delete("k")), None)
        with self.assertRaises(errors.StoreUnavailableError) as caught:
            loop.call(lambda: made.put("k", b"v", 4))
        self.assertIn("MismatchedResponseError", str(caught.exception))
        server.repeats = False
        self.assertEqual(loop.call(lambda: made.put("k", b"v", 4)), 12)
        self.assertEqual(server.count, 2)

    def test_store_without_echoed_ids(self):
        server = Server(False)
        server.repeats = False
        made = self.serve(server)
        for _ in range(2):
            self.assertEqual(loop.call(lambda: made.put("k", b"v", 4)), 12)
        self.assertEqual(server.count, 1)

    def test_emulated_store_echoes_ids(self):
        _, port, url = support.serve()
        self.addCleanup(
            loop.call, lambda: defer.maybeDeferred(port.stopListening)
        )
        made = client.HttpStore(loop.reactor(), url)
        self.addCleanup(loop.call, made.close)
        version = loop.call(lambda: made.put("k", b"v", 0))
        self.assertTrue(made._echoes_ids)
        with self.assertRaises(errors.StoreConflictError):
            loop.call(lambda: made.put("k", b"v", version + 1))


if __name__ == "__main__":
    unittest.main()
