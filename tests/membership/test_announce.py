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
    """Stands in for the gossip core and keeps what it is told."""

    def __init__(self):
        self.records = {}

    def announce_target(self, now, record):
        self.records[record.id] = record

    def withdraw_target(self, now, id):
        del self.records[id]


class Fixture(unittest.TestCase):
    """Registry on a virtual clock."""

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
    """Guards against work for targets that are gone."""

    def test_silence_means_gone(self):
        self.announce()
        self.run_for(4.8)
        self.assertIn("t", self.announcer.records)
        self.run_for(0.4)
        self.assertEqual(self.announcer.records, {})
        self.assertEqual(self.registry.targets(), [])

    def test_announcements_keep_it(self):
        for _ in range(20):
            self.announce()
            self.run_for(1)
        self.assertIn("t", self.announcer.records)
        self.assertEqual(len(self.changes), 1)

    def test_own_pause_is_no_silence(self):
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
    def test_state(self, _name, announced, ejected, expected):
        self.announce(state=announced)
        self.registry.judge(0.0, "t", ejected=ejected)
        self.announce(state=announced)
        self.assertIs(self.announcer.records["t"].state, expected)

    def test_weight_is_published(self):
        self.announce()
        self.registry.judge(0.0, "t", ejected=False, weight=0.123)
        self.assertEqual(self.announcer.records["t"].weight, 0.123)

    def test_number_of_targets_is_bounded(self):
        for number in range(announce.MAX_TARGETS):
            self.announce(f"t{number}")
        with self.assertRaises(announce.TooManyTargetsError):
            self.announce("one-more")
        self.announce("t0", slots=4)
        self.assertEqual(self.registry.target("t0").slots, 4)


class HttpTest(Fixture):
    """Guards against announcements that are taken wrongly or refused."""

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
    def test_taken(self, _name, changes):
        self.assertEqual(self.put(VALID | changes)[0].code, 204)

    @parameterized.expand(
        [
            ("service missing", {"service": None}, "service"),
            ("service odd", {"service": "a b"}, "service"),
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
    def test_refused(self, _name, changes, field):
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
    def test_body(self, _name, body, status):
        response, text = self.request("PUT", "/v1/targets/t", body)
        self.assertEqual(response.code, status)
        self.assertEqual(json.loads(text)["code"], "announcement_invalid")

    def test_id_is_checked(self):
        response, text = self.put(VALID, id="-x")
        self.assertEqual(response.code, 400)
        self.assertTrue(json.loads(text)["detail"].startswith("id:"))

    def test_full_registry(self):
        for number in range(announce.MAX_TARGETS):
            self.announce(f"t{number}")
        response, text = self.put(VALID, id="more")
        self.assertEqual(response.code, 409)
        self.assertEqual(json.loads(text)["code"], "targets_exceeded")


if __name__ == "__main__":
    unittest.main()
