"""Tests of the port allocation for fleets of processes."""

import socket
import unittest

from parameterized import parameterized

from cicadafront.emulator import processes


class FreePortTest(unittest.TestCase):
    """Guards against an instance that cannot bind its ports.

    A port may be in use for TCP or for UDP only; it must be skipped in both
    cases.
    """

    @parameterized.expand(
        [("stream", socket.SOCK_STREAM), ("datagram", socket.SOCK_DGRAM)]
    )
    def test_port_in_use(self, _name, kind):
        port = processes.free_port() + 1
        with socket.socket(type=kind) as other:
            other.bind((processes.HOST, port))
            self.assertNotEqual(processes.free_port(), port)
