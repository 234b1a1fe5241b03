"""In-memory connection of a caller to the edge."""

import json

from twisted.internet import interfaces, task
from zope import interface

from cicadafront import model
from cicadafront.edge import server
from cicadafront.peer import exchange
from tests.support import agent, memory

GET = b"GET /open/x HTTP/1.1\r\nHost: h\r\n\r\n"
KEYED = (
    b"GET /keyed HTTP/1.1\r\nHost: h\r\n"
    b"Authorization: Bearer cf_k1_secret\r\n\r\n"
)


class SocketTransport(memory.Transport):
    """Transport whose socket may contain unread bytes."""

    def __init__(self, unread):
        super().__init__()
        self.socket = agent.Socket()
        self.socket.unread = unread
        interface.alsoProvides(self, interfaces.ISystemHandle)

    def getHandle(self):  # noqa: N802
        return self.socket


class Edge:
    """Connection of a caller to the edge with the real forwarding logic."""

    def __init__(self, transport=None, **fields):
        self.clock = task.Clock()
        self.opener = memory.Opener()
        forwarder = memory.forwarder(self.clock, self.opener, **fields)
        self.site = server.Site(forwarder, self.clock)
        self.connection = server.Connection(self.site)
        self.transport = transport or memory.Transport()
        self.connection.makeConnection(self.transport)

    def receive(self, *pieces):
        for piece in pieces:
            self.connection.dataReceived(piece)
        return self.transport.take()

    def answer(self, status=200, fields=(), body=b"", index=-1):
        _, _, response, _ = self.opener.opened[index]
        response.head(model.ResponseHead(status, fields), exchange.Load())
        if body:
            response.body(body)
        response.end()
        return self.transport.take()

    @property
    def request(self):
        return self.opener.opened[-1][1]

    @property
    def sink(self):
        return self.opener.opened[-1][3]


def problem(data):
    """Returns status, lower-case head and fields of an error response."""
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), head.lower(), json.loads(body)
