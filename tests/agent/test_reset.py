"""Tests of connections that a target resets, over loopback sockets."""

import socket
import struct
import unittest

from twisted.internet import defer, task

from cicadafront import model, tcp
from cicadafront.agent import connection
from cicadafront.cli import loop


class RecordingExchange:
    """An exchange that sends a chunked request and records the response."""

    def __init__(self):
        self.events = []
        self.made = defer.Deferred()
        self.head_received = defer.Deferred()
        self.done = defer.Deferred()

    def connected(self, made):
        fields = ((b"Host", b"h"), (b"Transfer-Encoding", b"chunked"))
        made.send_head(model.RequestHead("POST", "/x", fields))
        self.made.callback(made)

    def response_head(self, head):
        self.events.append(head.status)

    def response_body(self, data):
        self.events.append(data)
        self.head_received.callback(None)

    def response_end(self, reusable, mangled):
        self.events.append("end")
        self.done.callback(None)

    def target_failed(self, kind):
        self.events.append(kind)
        self.done.callback(None)

    def body_consumed(self, count):
        pass


class ResetTest(unittest.TestCase):
    """Guards against a reset that is taken for the end of a body.

    A response without a length ends when the connection closes. If the target
    resets the connection before the agent sends the end of its request, the
    body is truncated and must be reported as such.
    """

    def test_reset_before_the_end_of_the_request_is_sent(self):
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        recording = RecordingExchange()

        async def exchange():
            reactor = loop.reactor()
            made = connection.TargetConnection("t", None, recording)
            tcp.connect(reactor, listening.getsockname(), made, 1.0)
            await recording.made
            target, _ = listening.accept()
            target.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
            await recording.head_received
            # Continue outside the reactor iteration that reads from and writes
            # to this connection.
            await task.deferLater(reactor, 0.01)
            linger = struct.pack("ii", 1, 0)
            target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            target.close()
            # The reset arrives before the reactor polls the socket again.
            made.send_end()
            await recording.done.addTimeout(5.0, reactor)
            await task.deferLater(reactor, 0)

        loop.call(lambda: defer.ensureDeferred(exchange()))
        self.assertEqual(recording.events, [200, b"part", "short"])


if __name__ == "__main__":
    unittest.main()
