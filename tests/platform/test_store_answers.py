"""Tests of duplicate and truncated responses of the platform's store."""

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


def response(status, document, sized=True):
    """Returns a response, with or without a Content-Length."""
    body = json.dumps(document).encode()
    length = b"Content-Length: %d\r\n" % len(body) if sized else b""
    return b"HTTP/1.1 %d X\r\n" % status + length + b"\r\n" + body


GOOD = response(200, {**ITEM, "store_revision": 9})
WRITTEN = response(200, {"rev": 12})
CONFLICT = response(412, {"items": []})


class ScriptedServer(protocol.Factory):
    """Sends scripted responses to the requests of each connection.

    Attributes:
        first: Response to the first request of each connection.
        later: Response to the further requests of a connection.
        close: Name of the transport method that closes the connection after
            a response, or "".
        count: Number of connections so far.
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
    """Base class of the tests against a scripted server."""

    def serve(self, server):
        """Serves a script and returns a client connected to it."""
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


class DuplicateResponseTest(StoreAnswersTest):
    """Guards against a late or duplicate response to an earlier request.

    Responses carry no id of their request, so on a reused connection such a
    response would be taken for the response to the next request.
    """

    @parameterized.expand(
        [
            ("conflict", CONFLICT),
            ("no lease", response(404, {})),
            ("nothing done", response(503, {})),
            ("an item", GOOD),
        ]
    )
    def test_write_uses_a_new_connection(self, _name, repeated):
        server = ScriptedServer(GOOD, later=repeated)
        client = self.serve(server)
        self.assertEqual(loop.call(lambda: client.get("k")), FOUND)
        server.first = WRITTEN
        self.assertEqual(loop.call(lambda: client.put("k", b"v", 4)), 12)
        self.assertEqual(server.count, 2)

    @parameterized.expand([("no_key", 404), ("too_many", 429), ("busy", 503)])
    def test_connection_is_closed_after_an_error_status(self, _name, status):
        server = ScriptedServer(
            response(status, {}), later=response(status, {})
        )
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
            ("missing_lease", response(404, {}) + WRITTEN),
        ]
    )
    def test_two_responses_to_a_write(self, _name, sent):
        client = self.serve(ScriptedServer(sent))
        with self.assertRaises(errors.StoreUnavailableError):
            loop.call(lambda: client.put("k", b"v", 4))

    def test_item_of_another_key(self):
        other = response(200, {**ITEM, "key": "l", "store_revision": 9})
        client = self.serve(ScriptedServer(other))
        with self.assertRaises(errors.StoreUnavailableError):
            loop.call(lambda: client.get("k"))


CALLS = (
    ("get", {**ITEM, "store_revision": 9}, lambda client: client.get("k")),
    (
        "list",
        {"items": [ITEM], "has_more": False},
        lambda client: client.list("k"),
    ),
    ("put", {"rev": 12}, lambda client: client.put("k", b"v", 4)),
    (
        "watch",
        {"events": [ITEM], "store_revision": 9},
        lambda client: client.watch("k", 1, 1.0),
    ),
    ("grant", {"lease": 7}, lambda client: client.grant_lease(3.0)),
)


class TruncatedResponseTest(StoreAnswersTest):
    """Guards against a truncated response that passes as a whole document.

    The end of the connection ends a response without a Content-Length, so
    such a response may be truncated at any byte.
    """

    @parameterized.expand(
        (f"{name} {'sized' if sized else 'unsized'}", document, sized, call)
        for name, document, call in CALLS
        for sized in (True, False)
    )
    def test_response_truncated_at_any_byte(self, _name, document, sized, call):
        whole = response(200, document, sized)
        server = ScriptedServer(whole, close="loseConnection")
        client = self.serve(server)
        loop.call(lambda: call(client))
        for cut in range(len(whole)):
            server.first = whole[:cut]
            with self.assertRaises(errors.StoreUnavailableError):
                loop.call(lambda: call(client))

    @parameterized.expand([("a list", []), ("no fields", {}), ("null", None)])
    def test_unexpected_document(self, _name, document):
        client = self.serve(ScriptedServer(response(200, document)))
        for name, _, call in CALLS:
            if name == "watch" and document == {}:
                # An empty object is a valid response to a watch: it contains
                # no events.
                continue
            with self.assertRaises(errors.StoreUnavailableError):
                loop.call(lambda made=call: made(client))

    @parameterized.expand([("none", b"", True), ("cut", b'{"ttl', False)])
    def test_lease_renewal_without_content_length(self, _name, body, good):
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        client = self.serve(ScriptedServer(head + body, close="loseConnection"))
        if good:
            loop.call(lambda: client.renew_lease("7"))
            return
        with self.assertRaises(errors.StoreUnavailableError):
            loop.call(lambda: client.renew_lease("7"))


if __name__ == "__main__":
    unittest.main()
