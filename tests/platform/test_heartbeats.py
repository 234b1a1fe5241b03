"""Tests of the decoding of heartbeats and of their paths."""

import json
import math
import unittest

from parameterized import parameterized

from cicadafront import model
from cicadafront.platform import heartbeats, wire_names

INFO = {"service": "reads", "version": "v1", "zone": "a", "slots": 5}
STATUS = {"state": "ready", "sequence": 4, "cold_remaining_s": 0.5}
INFINITE = {**STATUS, "sequence": math.inf}
BEAT = {
    "address": "10.0.0.9:8080",
    "info": INFO,
    "status": STATUS,
    "born": 1700000000000,
}


def decode(beat):
    """Decodes a heartbeat of target t1."""
    return heartbeats.decode("t1", json.dumps(beat).encode())


class HeartbeatTest(unittest.TestCase):
    """Guards against heartbeats that do not describe a usable target.

    Each must raise a `HeartbeatError`, whatever its body contains.
    """

    def test_all_fields_are_decoded(self):
        beat = decode(BEAT)
        self.assertEqual(
            (beat.target, beat.service, beat.address, beat.slots),
            ("t1", "reads", ("10.0.0.9", 8080), 5),
        )
        self.assertEqual(
            (beat.number, beat.incarnation),
            (4, 1700000000000),
        )
        self.assertIs(beat.state, model.TargetState.SERVING)

    def test_draining_state(self):
        beat = decode({**BEAT, "status": {**STATUS, "state": "draining"}})
        self.assertIs(beat.state, model.TargetState.LEAVING)

    @parameterized.expand(
        [
            ("no_info", {**BEAT, "info": None}),
            ("no_status", {"address": "1.2.3.4:5", "info": INFO}),
            ("state", {**BEAT, "status": {**STATUS, "state": "odd"}}),
            ("state_type", {**BEAT, "status": {**STATUS, "state": []}}),
            ("slots", {**BEAT, "info": {**INFO, "slots": "5"}}),
            ("slots_range", {**BEAT, "info": {**INFO, "slots": 0}}),
            ("slots_bool", {**BEAT, "info": {**INFO, "slots": True}}),
            ("sequence", {**BEAT, "status": {**STATUS, "sequence": 1.5}}),
            ("born", {**BEAT, "born": "x"}),
            ("address", {**BEAT, "address": "10.0.0.9"}),
            ("port", {**BEAT, "address": "10.0.0.9:http"}),
            ("port_range", {**BEAT, "address": "10.0.0.9:99999999"}),
            ("port_negative", {**BEAT, "address": "10.0.0.9:-1"}),
            ("port_zero", {**BEAT, "address": "10.0.0.9:0"}),
            ("host", {**BEAT, "address": "target.example:80"}),
            ("sequence_infinite", {**BEAT, "status": INFINITE}),
            ("born_negative", {**BEAT, "born": -1}),
            ("born_large", {**BEAT, "born": 10**400}),
            ("service", {**BEAT, "info": {**INFO, "service": 3}}),
            ("list", []),
            ("text", "x"),
        ]
    )
    def test_invalid_fields(self, _name, beat):
        with self.assertRaises(heartbeats.HeartbeatError):
            decode(beat)

    @parameterized.expand([(b"",), (b"\xff",), (b"{",), (b"[" * 100_000,)])
    def test_malformed_body(self, body):
        with self.assertRaises(heartbeats.HeartbeatError):
            heartbeats.decode("t1", body)

    @parameterized.expand(
        [
            (b"", 0),
            (b'{"born": 5}', 5),
            (b'{"born": "5"}', 0),
            (b"[", 0),
            (b'{"a":' * 100_000, 0),
            (b'{"born": 1e999}', 0),
        ]
    )
    def test_incarnation_of_a_deregistration(self, body, expected):
        self.assertEqual(heartbeats.incarnation(body), expected)


class TargetCallTest(unittest.TestCase):
    """Guards against other requests that are handled as heartbeats."""

    @parameterized.expand(
        [
            ("POST", "/-/instances/i-1/heartbeat", ("i-1", False)),
            ("POST", "/-/instances/i-1/deregister", ("i-1", True)),
            ("POST", "/-/instances/a%2Fb/heartbeat", ("a/b", False)),
            ("GET", "/-/instances/i-1/heartbeat", None),
            ("POST", "/-/instances//heartbeat", None),
            ("POST", "/-/instances/i-1/other", None),
        ]
    )
    def test_paths(self, method, path, expected):
        head = model.RequestHead(method, path, ())
        self.assertEqual(wire_names.target_call(head), expected)
