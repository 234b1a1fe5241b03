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
