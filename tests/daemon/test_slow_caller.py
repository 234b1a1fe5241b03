"""Tests of callers that read their last response late."""

import http.client
import socket
import time
import unittest

from parameterized import parameterized

from cicadafront.edge import server
from tests.support import fleet

# Fits into the send buffer of the entry's socket, but not into the receive
# buffer of the caller.
BODY = b"x" * (256 * 1024)
RECEIVE_BYTES = 8 * 1024


def _respond(connection):
    fleet.read_head(connection)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
    connection.sendall(head + BODY)


class SlowCallerTest(unittest.TestCase):
    """Guards against responses that are lost after the entry has sent them.

    The end of a response is still in the send buffer of the entry when the
    entry closes the connection. A reset at that time would discard it.
    """

    def _caller(self, entry):
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        caller.settimeout(fleet.CALL_TIMEOUT_SECONDS)
        caller.connect((fleet.HOST, entry.edge))
        return caller

    @parameterized.expand(
        [
            ("after_the_linger", False, False),
            ("after_it_closed_its_half", False, True),
            ("in_a_planned_stop", True, False),
        ]
    )
    def test_last_answer_is_taken_late(self, _name, stops, half_closes):
        entry = fleet.Daemon("a", leave_seconds=1.0, stop_seconds=5.0)
        self.addCleanup(entry.kill)
        target = fleet.Target(_respond)
        self.addCleanup(target.close)
        fleet.configure_fleet(
            [entry], {"t": target}, [fleet.route(objective=0.5)]
        )
        caller = self._caller(entry)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n")
        time.sleep(0.2)
        if stops:
            entry.terminate()
            time.sleep(0.1)
        caller.sendall(b"" if stops else b"Connection: close\r\n")
        caller.sendall(b"\r\n")
        time.sleep(0.5)
        if half_closes:
            caller.shutdown(socket.SHUT_WR)
        time.sleep(server.LINGER_SECONDS + 0.5)
        response = http.client.HTTPResponse(caller)
        response.begin()
        self.assertEqual(response.status, 200)
        self.assertEqual(len(response.read()), len(BODY))
