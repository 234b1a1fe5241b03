"""Tests of the registry of local targets and of its HTTP interface."""

import json
import unittest

import treq.testing
from parameterized import parameterized
from twisted.internet import task

from cicadafront import model
from cicadafront.membership import announce, announce_http

VALID = {
    "service": "ledger",
    "address": "10.0.0.5:8080",
    "slots": 3,
    "load": 0.5,
    "state": "serving",
}
SERVING, EJECTED = model.TargetState.SERVING, model.TargetState.EJECTED


class Announcer:
    """Fake gossip core that keeps the announced records."""

    def __init__(self):
        self.records = {}

    def announce_target(self, now, record):
        self.records[record.id] = record

    def withdraw_target(self, now, id):
        del self.records[id]


class Fixture(unittest.TestCase):
    """Target registry on a virtual clock."""

    def setUp(self):
        self.clock = task.Clock()
        self.announcer = Announcer()
        self.registry = announce.TargetRegistry(self.announcer, 0.0)
        self.changes = []
        self.registry.on_change(lambda: self.changes.append(None))

    def announce(self, id="t", **changes):
        body = json.dumps(VALID | changes).encode()
        target = announce_http.parse(id, body)
        self.registry.announce(self.clock.seconds(), target)

    def run_for(self, seconds, step=0.1):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            self.registry.expire(self.clock.seconds())


class RegistryTest(Fixture):
    """Guards against requests to targets that no longer exist.

    A target that stops announcing itself must be removed, but not because
    this process was paused and has not read the announcements yet.
    """

    def test_target_without_announcements_is_removed(self):
        self.announce()
        self.run_for(4.8)
        self.assertIn("t", self.announcer.records)
        self.run_for(0.4)
        self.assertEqual(self.announcer.records, {})
        self.assertEqual(self.registry.targets(), [])

    def test_announced_target_is_kept(self):
        for _ in range(20):
            self.announce()
            self.run_for(1)
        self.assertIn("t", self.announcer.records)
        self.assertEqual(len(self.changes), 1)

    def test_pause_of_this_process_does_not_expire_targets(self):
        self.announce()
        self.run_for(1)
        self.clock.advance(60)
        self.registry.expire(self.clock.seconds())
        self.assertIn("t", self.announcer.records)
        self.run_for(5)
        self.assertNotIn("t", self.announcer.records)

    @parameterized.expand(
        [
            ("serving", "serving", False, SERVING),
            ("ejected", "serving", True, EJECTED),
            ("starting", "starting", True, model.TargetState.STARTING),
            ("leaving", "leaving", True, model.TargetState.LEAVING),
        ]
    )
    def test_published_state(self, _name, announced, ejected, expected):
        self.announce(state=announced)
        self.registry.judge(0.0, "t", ejected=ejected)
        self.announce(state=announced)
        self.assertIs(self.announcer.records["t"].state, expected)

    def test_weight_is_published(self):
        self.announce()
        self.registry.judge(0.0, "t", ejected=False, weight=0.123)
        self.assertEqual(self.announcer.records["t"].weight, 0.123)

    def test_number_of_targets_is_limited(self):
        for number in range(announce.MAX_TARGETS):
            self.announce(f"t{number}")
        with self.assertRaises(announce.TooManyTargetsError):
            self.announce("one-more")
        self.announce("t0", slots=4)
        self.assertEqual(self.registry.target("t0").slots, 4)


class HttpTest(Fixture):
    """Guards against accepting invalid and refusing valid announcements."""

    def request(self, method, path, body=b""):
        resource = announce_http.resource(self.registry, self.clock.seconds)
        stub = treq.testing.StubTreq(resource)
        results = []
        deferred = stub.request(method, "http://localhost" + path, data=body)
        deferred.addBoth(results.append)
        stub.flush()
        (response,) = results
        text = []
        treq.content(response).addCallback(text.append)
        stub.flush()
        return response, text[0]

    def put(self, fields, id="t"):
        body = json.dumps(fields).encode()
        return self.request("PUT", f"/v1/targets/{id}", body)

    def test_put_and_delete(self):
        response, _ = self.put(VALID)
        self.assertEqual(response.code, 204)
        expected = announce.LocalTarget(
            "t", "ledger", ("10.0.0.5", 8080), 3, 0.5, SERVING
        )
        self.assertEqual(self.registry.targets(), [expected])
        for _ in range(2):
            response, _ = self.request("DELETE", "/v1/targets/t")
            self.assertEqual(response.code, 204)
        self.assertEqual(self.registry.targets(), [])

    @parameterized.expand(
        [
            ("ipv6", {"address": "[fd00::5]:80"}),
            ("no load", {"load": 0}),
            ("unknown field", {"zone": "x"}),
            ("leaving", {"state": "leaving"}),
        ]
    )
    def test_valid_announcement_is_accepted(self, _name, changes):
        self.assertEqual(self.put(VALID | changes)[0].code, 204)

    @parameterized.expand(
        [
            ("service missing", {"service": None}, "service"),
            ("service invalid", {"service": "a b"}, "service"),
            ("address name", {"address": "host:80"}, "address"),
            ("address no port", {"address": "10.0.0.5"}, "address"),
            ("port zero", {"address": "10.0.0.5:0"}, "address"),
            ("port large", {"address": "10.0.0.5:65536"}, "address"),
            ("port sign", {"address": "10.0.0.5:+80"}, "address"),
            ("port other digit", {"address": "10.0.0.5:²"}, "address"),
            ("address list", {"address": ["10.0.0.5", 80]}, "address"),
            ("slots zero", {"slots": 0}, "slots"),
            ("slots fraction", {"slots": 1.5}, "slots"),
            ("slots bool", {"slots": True}, "slots"),
            ("slots large", {"slots": 70000}, "slots"),
            ("load negative", {"load": -1}, "load"),
            ("load text", {"load": "1"}, "load"),
            ("load nan", {"load": float("nan")}, "load"),
            ("ejected", {"state": "ejected"}, "state"),
            ("state list", {"state": ["serving"]}, "state"),
        ]
    )
    def test_invalid_announcement_is_refused(self, _name, changes, field):
        response, text = self.put(VALID | changes)
        self.assertEqual(response.code, 400)
        self.assertEqual(
            response.headers.getRawHeaders("content-type"),
            ["application/problem+json"],
        )
        problem = json.loads(text)
        self.assertEqual(problem["code"], "announcement_invalid")
        self.assertTrue(problem["detail"].startswith(field + ":"))
        self.assertEqual(self.registry.targets(), [])

    @parameterized.expand(
        [
            ("no json", b"{", 400),
            ("no object", b"[]", 400),
            ("no utf-8", b"\xff\xfe\xff", 400),
            ("deep", b"[" * 10_000, 400),
            ("long", b" " * 20_000, 413),
        ]
    )
    def test_invalid_body_is_refused(self, _name, body, status):
        response, text = self.request("PUT", "/v1/targets/t", body)
        self.assertEqual(response.code, status)
        self.assertEqual(json.loads(text)["code"], "announcement_invalid")

    def test_invalid_id_is_refused(self):
        response, text = self.put(VALID, id="-x")
        self.assertEqual(response.code, 400)
        self.assertTrue(json.loads(text)["detail"].startswith("id:"))

    def test_full_registry_is_reported(self):
        for number in range(announce.MAX_TARGETS):
            self.announce(f"t{number}")
        response, text = self.put(VALID, id="more")
        self.assertEqual(response.code, 409)
        self.assertEqual(json.loads(text)["code"], "targets_exceeded")


if __name__ == "__main__":
    unittest.main()
