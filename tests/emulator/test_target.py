"""Tests of the emulated target.

A fault without an effect would let the tests that inject it pass.
"""

import hashlib
import json
import unittest

import h11
from parameterized import parameterized
from twisted.internet import task
from twisted.internet.testing import StringTransport

from cicadafront.emulator import faults, target, target_state


def _request(method="GET", path="/x", headers=(), body=b""):
    connection = h11.Connection(h11.CLIENT)
    fields = [("host", "t"), ("content-length", str(len(body))), *headers]
    head = h11.Request(method=method, target=path, headers=fields)
    data = connection.send(head)
    data += connection.send(h11.Data(data=body))
    return connection, data + connection.send(h11.EndOfMessage())


class TargetTest(unittest.TestCase):
    """Guards against faults that have no effect on the response."""

    def setUp(self):
        self.clock = task.Clock()
        self.state = target_state.TargetState("t1", "ledger")
        self.crashes = []
        factory = target.TargetFactory(
            self.state, self.clock, lambda: self.crashes.append(1)
        )
        self.protocol = factory.buildProtocol(None)
        self.transport = StringTransport()
        self.protocol.makeConnection(self.transport)

    def exchange(self, **request):
        """Sends one request.

        Returns:
            Status, headers and body of the response. The status is "broken"
            if it is no valid HTTP and "none" if there is none.
        """
        connection, data = _request(**request)
        self.protocol.dataReceived(data)
        self.clock.advance(10)
        # h11 takes an empty string for the end of the connection.
        if self.transport.value():
            connection.receive_data(self.transport.value())
        self.transport.clear()
        if self.transport.disconnecting or self.transport.disconnected:
            connection.receive_data(b"")
        status, headers, body = 0, {}, b""
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError:
                return "broken", headers, body
            match event:
                case h11.Response():
                    status, headers = event.status_code, dict(event.headers)
                case h11.Data():
                    body += event.data
                case h11.EndOfMessage():
                    return status, headers, body
                case _:
                    return "none", headers, body

    @parameterized.expand(
        [
            ("none", "none", 200),
            ("stall", "stall", "none"),
            ("error", "error", 500),
            ("truncate", "truncate", "broken"),
            ("garbage", "garbage", "broken"),
            ("shed", "shed", 503),
        ]
    )
    def test_fault(self, _name, fault, expected):
        body = json.dumps({"fault": fault}).encode()
        self.exchange(method="PUT", path="/_emulator/fault", body=body)
        self.assertEqual(self.exchange()[0], expected)

    def test_digest_shows_mangled_body(self):
        _, headers, body = self.exchange()
        self.assertEqual(
            headers[b"content-digest"], target.content_digest(body)
        )
        self.state.plan = faults.FaultPlan(faults.Fault.MANGLE)
        _, headers, body = self.exchange()
        self.assertNotEqual(
            headers[b"content-digest"], target.content_digest(body)
        )

    def test_crossed_response_is_the_previous_one(self):
        self.exchange(path="/first")
        self.state.plan = faults.FaultPlan(faults.Fault.CROSS)
        _, headers, body = self.exchange(path="/second")
        self.assertEqual(json.loads(body)["path"], "/first")
        self.assertEqual(headers[b"x-exchange-id"], b"crossed")

    def test_runs_are_logged(self):
        headers = [("idempotency-key", "k1"), ("authorization", "secret")]
        self.exchange(method="POST", headers=headers, body=b"abc")
        _, _, body = self.exchange(path="/_emulator/runs")
        log = json.loads(body)
        run = log["runs"][0]
        self.assertEqual(log["keys_seen"], 1)
        self.assertEqual(run["key"], "k1")
        self.assertEqual(run["digest"], hashlib.sha256(b"abc").hexdigest())

    def test_marked_request_crashes(self):
        self.exchange(headers=[("x-emulator-crash", "1")])
        self.assertEqual(len(self.crashes), 1)


class FlapTest(unittest.TestCase):
    """Guards against a flapping fault that is always on or always off."""

    @parameterized.expand([(0.0, True), (0.9, True), (1.1, False), (2.1, True)])
    def test_period(self, now, on):
        plan = faults.FaultPlan(faults.Fault.STALL, period=2.0)
        expected = faults.Fault.STALL if on else faults.Fault.NONE
        self.assertIs(plan.active(now, 0.5), expected)
