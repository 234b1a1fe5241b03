"""Sample configurations for the tests."""

import hashlib

from cicadafront.config import model

FILES = {
    "10-base.toml": b"""
[accounts.amani]
rate = 50
burst = 100

[keys.k1]
account = "amani"
digest = "%s"

[services.rounds]
floor = 0.6

[routes.list]
prefix = "/rounds"
methods = ["GET"]
service = "rounds"
repeatable = true
"""
    % (b"a" * 64),
    "20-night.toml": b"""
[accounts.amani]
burst = 20
""",
}


def sample(rate: float = 50.0, accounts: int = 3) -> model.Configuration:
    """Returns a small configuration; `rate` distinguishes the samples."""
    names = ["amani", *(f"account-{n}" for n in range(accounts - 1))]
    return model.Configuration(
        accounts={
            name: model.ClientAccount(name, rate if not n else 10.0, 20.0)
            for n, name in enumerate(names)
        },
        keys={
            f"k{n}": model.Key(f"k{n}", name, model.secret_digest(name))
            for n, name in enumerate(names)
        },
        services={"rounds": model.Service("rounds")},
        routes={"list": model.Route("list", "/rounds", "rounds")},
    )


def large(accounts: int = 33_000, routes: int = 8_000) -> model.Configuration:
    """Returns a configuration of the largest supported size."""
    services = [f"service-{n}" for n in range(880)]
    return model.Configuration(
        accounts={
            f"account-{n}": model.ClientAccount(
                f"account-{n}", 1.0 + n % 97, 10.0 + n % 89
            )
            for n in range(accounts)
        },
        keys={
            f"key{n}": model.Key(
                f"key{n}",
                f"account-{n}",
                hashlib.sha256(str(n).encode()).digest(),
            )
            for n in range(accounts)
        },
        services={name: model.Service(name) for name in services},
        routes={
            f"route-{n}": model.Route(
                f"route-{n}",
                f"/{services[n % 880]}/path-{n}",
                services[n % 880],
                frozenset({"GET", "POST"}),
            )
            for n in range(routes)
        },
    )
