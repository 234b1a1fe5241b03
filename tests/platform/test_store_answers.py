"""Tests of answers of the platform's store that are repeated or cut."""

import base64
import json
import unittest

from parameterized import parameterized
from twisted.internet import defer, protocol

from cicadafront import errors, ports
from cicadafront.cli import loop
from cicadafront.platform import store

VALUE = base64.b64encode(b"v").decode()
ITEM = {"key": "k", "value": VALUE, "rev": 4, "created": 4, "lease": 0}
FOUND = ports.Versioned(b"v", 4, "")


def answer(status, document, sized=True):
    """Returns an answer, with a length or with the end of its connection."""
    body = json.dumps(document).encode()
    length = b"Content-Length: %d\r\n" % len(body) if sized else b""
    return b"HTTP/1.1 %d X\r\n" % status + length + b"\r\n" + body


GOOD = answer(200, {**ITEM, "store_revision": 9})
WRITTEN = answer(200, {"rev": 12})
CONFLICT = answer(412, {"items": []})


class Server(protocol.Factory):
    """Answers the requests of each connection by a script.

    Attributes:
        first: Answer to the first request of each connection.
        later: Answer to the further requests of a connection.
        close: Method that closes the connection after an answer, or "".
        count: Connections so far.
    """

    noisy = False

    def __init__(self, first, later=b"", close=""):
        self.first = first
        self.later = later
        self.close = close
        self.count = 0

    def buildProtocol(self, addr):  # noqa: N802
        self.count += 1
        return _Connection(self)


class _Connection(protocol.Protocol):
    def __init__(self, server):
        self.server = server
        self.answered = False

    def dataReceived(self, data):  # noqa: N802
        sent = self.server.later if self.answered else self.server.first
        self.answered = True
        self.transport.write(sent)
        if self.server.close:
            getattr(self.transport, self.server.close)()


class StoreAnswersTest(unittest.TestCase):
    """Base of the tests against a scripted server."""

    def serve(self, server):
        """Serves a script; returns a client of it."""
        reactor = loop.reactor()

        def start():
            port = reactor.listenTCP(0, server, interface="127.0.0.1")
            address = "127.0.0.1", port.getHost().port
            return defer.succeed((port, store.Store(reactor, address)))

        port, client = loop.call(start)

        def stop():
            client.close()
            return defer.maybeDeferred(port.stopListening)

        self.addCleanup(loop.call, stop)
        return client


class RepeatedTest(StoreAnswersTest):
    """Guards against an earlier answer that is taken for that to a call."""

    @parameterized.expand(
        [
            ("conflict", CONFLICT),
            ("no lease", answer(404, {})),
            ("nothing done", answer(503, {})),
            ("an item", GOOD),
        ]
    )
    def test_write_after_a_read(self, _name, repeated):
        server = Server(GOOD, later=repeated)
        client = self.serve(server)
        self.assertEqual(loop.call(lambda: client.get("k")), FOUND)
        server.first = WRITTEN
        self.assertEqual(loop.call(lambda: client.put("k", b"v", 4)), 12)
        self.assertEqual(server.count, 2)

    @parameterized.expand([("no_key", 404), ("too_many", 429), ("busy", 503)])
    def test_no_connection_is_kept_after_a_refusal(self, _name, status):
        server = Server(answer(status, {}), later=answer(status, {}))
        client = self.serve(server)
        if status == 404:
            self.assertIsNone(loop.call(lambda: client.get("k")))
        else:
            with self.assertRaises(errors.StoreUnavailableError):
                loop.call(lambda: client.get("k"))
        server.first = GOOD
        self.assertEqual(loop.call(lambda: client.get("k")), FOUND)

    @parameterized.expand(
        [
            ("before", CONFLICT + WRITTEN),
            ("after", WRITTEN + CONFLICT),
            ("missing_lease", answer(404, {}) + WRITTEN),
        ]
    )
    def test_two_answers_to_a_write(self, _name, sent):
        client = self.serve(Server(sent))
        with self.assertRaises(errors.StoreUnavailableError):
            loop.call(lambda: client.put("k", b"v", 4))

    def test_item_of_another_key(self):
        other = answer(200, {**ITEM, "key": "l", "store_revision": 9})
        client = self.serve(Server(other))
        with self.assertRaises(errors.StoreUnavailableError):
            loop.call(lambda: client.get("k"))


CALLS = (
    ("get", {**ITEM, "store_revision": 9}, lambda it: it.get("k")),
    ("list", {"items": [ITEM], "has_more": False}, lambda it: it.list("k")),
    ("put", {"rev": 12}, lambda it: it.put("k", b"v", 4)),
    (
        "watch",
        {"events": [ITEM], "store_revision": 9},
        lambda it: it.watch("k", 1, 1.0),
    ),
    ("grant", {"lease": 7}, lambda it: it.grant_lease(3.0)),
)


class CutTest(StoreAnswersTest):
    """Guards against a cut answer that is read as a whole document."""

    @parameterized.expand(
        (f"{name} {'sized' if sized else 'unsized'}", document, sized, call)
        for name, document, call in CALLS
        for sized in (True, False)
    )
    def test_cut_anywhere(self, _name, document, sized, call):
        whole = answer(200, document, sized)
        server = Server(whole, close="loseConnection")
        client = self.serve(server)
        loop.call(lambda: call(client))
        for cut in range(len(whole)):
            server.first = whole[:cut]
            with self.assertRaises(errors.StoreUnavailableError):
                loop.call(lambda: call(client))

    @parameterized.expand([("a list", []), ("no fields", {}), ("null", None)])
    def test_other_document(self, _name, document):
        client = self.serve(Server(answer(200, document)))
        for name, _, call in CALLS:
            if name == "watch" and document == {}:
                # It tells of no event.
                continue
            with self.assertRaises(errors.StoreUnavailableError):
                loop.call(lambda made=call: made(client))

    @parameterized.expand([("none", b"", True), ("cut", b'{"ttl', False)])
    def test_renewal_without_a_length(self, _name, body, good):
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        client = self.serve(Server(head + body, close="loseConnection"))
        if good:
            loop.call(lambda: client.renew_lease("7"))
            return
        with self.assertRaises(errors.StoreUnavailableError):
            loop.call(lambda: client.renew_lease("7"))


if __name__ == "__main__":
    unittest.main()
