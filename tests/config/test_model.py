"""Tests of route matching and key verification."""

import unittest

from parameterized import parameterized

from cicadafront.config import model


def _configuration() -> model.Configuration:
    routes = [
        model.Route("all", "/", "desk", open=True),
        model.Route("pay", "/pay", "ledger", frozenset({"POST"})),
        model.Route("list", "/pay", "rounds", frozenset({"GET"})),
    ]
    return model.Configuration(
        accounts={"amani": model.ClientAccount("amani", 10, 20)},
        keys={"k1": model.Key("k1", "amani", model.secret_digest("s_1"))},
        routes={route.id: route for route in routes},
    )


class RouteTest(unittest.TestCase):
    """Guards against requests reaching the wrong service."""

    @parameterized.expand(
        [
            ("longest prefix", "POST", "/pay/7", "pay"),
            ("method decides", "GET", "/pay?x=1", "list"),
            ("no partial segment", "POST", "/payments", "all"),
            ("method falls back", "PUT", "/pay", "all"),
        ]
    )
    def test_route(self, _name, method, path, expected):
        route = _configuration().route_for(method, path)
        self.assertEqual(route.id, expected)


class KeyTest(unittest.TestCase):
    """Guards against requests attributed to another client account."""

    @parameterized.expand(
        [
            ("valid", "cf_k1_s_1", "amani"),
            ("wrong secret", "cf_k1_s_2", None),
            ("unknown key", "cf_k2_s_1", None),
            ("no prefix", "k1_s_1", None),
            ("empty", "", None),
        ]
    )
    def test_account(self, _name, token, expected):
        account = _configuration().account_for(token)
        self.assertEqual(account.id if account else None, expected)
