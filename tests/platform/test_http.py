"""Tests of the connections to the platform's store."""

import unittest

from parameterized import parameterized
from twisted.internet import error, task
from twisted.python import failure

from cicadafront import errors
from cicadafront.platform import http
from tests.support import agent

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class Socket(agent.Socket):
    """Socket that accepts all options."""

    def setsockopt(self, *_):
        pass


class Reactor(task.Clock):
    """Opens connections in memory.

    Attributes:
        connections: The connections, in the order of their opening.
    """

    def __init__(self):
        super().__init__()
        self.connections = []

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        made = factory.buildProtocol(None)
        transport = agent.TargetTransport()
        transport.handle = Socket()
        self.connections.append(made)
        made.makeConnection(transport)


class IdleConnectionTest(unittest.TestCase):
    """Guards against calls on connections that failed with an earlier one."""

    def setUp(self):
        self.reactor = Reactor()
        self.client = http.Client(self.reactor, ("store", 1))
        for _ in range(2):
            self._get()
        for made in self.reactor.connections:
            made.dataReceived(REPLY)

    def _get(self):
        done = self.client.call("GET", "/x", b"", 1.0)
        done.addErrback(lambda reason: reason.trap(errors.CicadafrontError))

    @parameterized.expand([("silent", False), ("reset", True)])
    def test_next_call_opens_a_connection(self, _name, reset):
        self._get()
        self.assertEqual(len(self.reactor.connections), 2)
        if reset:
            lost = failure.Failure(error.ConnectionLost())
            self.reactor.connections[1].connectionLost(lost)
        self.reactor.advance(1.0)
        self._get()
        self.assertEqual(len(self.reactor.connections), 3)
        self.assertTrue(self.reactor.connections[0].transport.aborted)


class TimeLimitTest(unittest.TestCase):
    """Guards against responses that are cut off although they arrive.

    A response that does not go on must still fail.
    """

    @parameterized.expand(
        [
            # Name, number of pieces, seconds between them, whether it ends.
            ("at once", 1, 0.0, True),
            ("slowly", 8, 0.9, True),
            ("with a pause", 3, 1.1, False),
            ("too slowly", 40, 0.9, False),
        ]
    )
    def test_response_arrives(self, _name, pieces, pause, ends):
        reactor = Reactor()
        client = http.Client(reactor, ("store", 1))
        results = []
        client.call("GET", "/x", b"", 0.5).addBoth(results.append)
        [made] = reactor.connections
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % pieces
        made.dataReceived(head)
        for _ in range(pieces):
            reactor.advance(pause)
            if made.transport.aborted:
                break
            made.dataReceived(b"x")
        [result] = results
        self.assertEqual(isinstance(result, http.Reply), ends)
        self.assertEqual(reactor.getDelayedCalls(), [])

    def test_response_does_not_begin(self):
        reactor = Reactor()
        client = http.Client(reactor, ("store", 1))
        results = []
        client.call("GET", "/x", b"", 0.5).addBoth(results.append)
        reactor.advance(0.5)
        [result] = results
        self.assertIsNotNone(result.check(errors.StoreUnavailableError))
