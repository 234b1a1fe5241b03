"""Tests of the links that an instance accepts."""

import unittest

from parameterized import parameterized
from twisted.internet import task

from cicadafront import model
from cicadafront.config import model as config_model
from cicadafront.daemon import local, options, root
from cicadafront.peer import codec, exchange, link
from tests.support import memory

REQUEST = exchange.OpenRequest(
    model.RequestHead("GET", "/x", ()), "", "s", "t", 90.0
)


class AcceptedLinkTest(unittest.TestCase):
    """Guards against links that stay open after their peer is gone."""

    def setUp(self):
        self.clock = task.Clock()
        directory = local.StaticDirectory()
        fleet = root.Fleet(
            directory, directory, lambda: config_model.Configuration(1, b"")
        )
        settings = options.DaemonOptions("a", "dc", ("h", 1), ("h", 2))
        self.daemon = root.Daemon(self.clock, settings, lambda _: fleet)
        self.accepted = self.daemon.peer_links.buildProtocol(None)
        self.accepted.makeConnection(memory.Transport())
        self._receive(codec.Hello("b", 1, link.PROTOCOL_VERSION))

    def _receive(self, frame):
        self.accepted.stringReceived(codec.encode(frame))

    @parameterized.expand(
        [
            ("nothing arrives", None, True),
            ("pings arrive", lambda: codec.Ping(1), False),
        ]
    )
    def test_idle_link(self, _name, frame, closed):
        for _ in range(10):
            self.clock.advance(root.ACCEPTED_IDLE_SECONDS / 8)
            if frame is not None:
                self._receive(frame())
            self.daemon.close_idle_links()
        self.assertEqual(self.accepted.closed, closed)
