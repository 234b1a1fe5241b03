"""Tests of the operators' document."""

import json
import unittest

import attrs
from parameterized import parameterized

from cicadafront.config import follow
from cicadafront.platform import documents

ROUTE = {
    "name": "r1",
    "path_prefix": "/a/",
    "kind": "idempotent",
    "timeout_s": 1.5,
    "target_latency_s": 1,
    "priority": 2,
    "service": "reads",
    "max_attempts": 2,
    "anonymous": False,
}
DOCUMENT = {
    "version": 7,
    "services": [{"name": "reads"}, {"name": "pays"}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
    "tenants": [
        {
            "name": "t1",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "rate_per_s": 27,
            "burst": 20,
        },
        {"name": "t2", "api_keys": [], "rate_per_s": 0},
    ],
    "virtual_hosts": [{"host": "One.example", "paths": [ROUTE]}],
}


def decode(**changes):
    """Decodes the document with some fields replaced."""
    return documents.decode(json.dumps({**DOCUMENT, **changes}).encode())


def decode_route(**changes):
    """Decodes the document with some fields of its route replaced."""
    route = {**ROUTE, **changes}
    hosts = [{"host": "one.example", "paths": [route]}]
    return decode(virtual_hosts=hosts).routes["r1"]


class DocumentTest(unittest.TestCase):
    """Guards against a document that is read as something else."""

    def test_fields_arrive(self):
        found = decode()
        route = found.routes["r1"]
        self.assertEqual(found.revision, 7)
        self.assertEqual(
            (route.host, route.prefix, route.service, route.repeatable),
            ("one.example", "/a/", "reads", True),
        )
        self.assertEqual(
            (route.timeout, route.objective, route.priority, route.attempts),
            (1.5, 1.0, 2, 2),
        )
        self.assertEqual(attrs.astuple(found.limits), (16384, 1000, 3.0, 15.0))

    @parameterized.expand(
        [("k1", "t1"), ("k2", "t1"), ("k3", None), ("", None)]
    )
    def test_account_of_key(self, key, expected):
        account = decode().account_for(key)
        self.assertEqual(account.id if account else None, expected)

    def test_keys_are_not_kept(self):
        self.assertNotIn("k1", repr(decode()))

    def test_no_limit(self):
        self.assertEqual(decode().accounts["t2"].rate, 0.0)

    def test_routes_are_open_without_accounts(self):
        self.assertTrue(decode(tenants=[]).routes["r1"].open)

    def test_split(self):
        split = [
            {"service": "reads", "weight": 90},
            {"service": "pays", "weight": 10},
        ]
        route = decode_route(service=None, weighted_services=split)
        shares = [(share.service, share.weight) for share in route.split]
        self.assertEqual(shares, [("reads", 90.0), ("pays", 10.0)])

    @parameterized.expand(
        [
            ("non_idempotent", False),
            ("upload", False),
            ("idempotent", True),
        ]
    )
    def test_kinds(self, kind, repeatable):
        self.assertEqual(decode_route(kind=kind).repeatable, repeatable)

    @parameterized.expand(
        [
            ("/a/", "r1"),
            ("/a/b", "r1"),
            ("/a/b/?q=/x", "r1"),
            ("/a", None),
            ("/ab/", None),
            ("/", None),
        ]
    )
    def test_prefix_ends_with_a_slash(self, path, expected):
        route = decode().route_for("GET", path, "one.example")
        self.assertEqual(route.id if route else None, expected)

    def test_other_host(self):
        self.assertIsNone(decode().route_for("GET", "/a/", "two.example"))

    @parameterized.expand(
        [
            ("no_json", b"{"),
            ("no_object", b"[]"),
            ("no_version", b"{}"),
            ("not_text", b"\xff\xfe"),
        ]
    )
    def test_damaged(self, _name, document):
        with self.assertRaises(follow.DocumentError):
            documents.decode(document)

    @parameterized.expand(
        [
            ("kind", {"kind": "other"}),
            ("service", {"service": "gone"}),
            ("no_service", {"service": None}),
            ("split", {"weighted_services": [{"service": "x", "weight": 1}]}),
            ("prefix", {"path_prefix": None}),
        ]
    )
    def test_invalid_route(self, _name, changes):
        with self.assertRaises(follow.DocumentError):
            decode_route(**changes)
