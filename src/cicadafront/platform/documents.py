"""The operators' configuration as the platform's store holds it."""

import hashlib
import json
from typing import Any

import attrs

from cicadafront.config import follow
from cicadafront.config import model as config_model

# Kinds of routes whose requests may run more than once.
_REPEATABLE = frozenset({"idempotent"})
_KINDS = _REPEATABLE | {"non_idempotent", "upload"}
# Longest time of a request on a route that states none.
_DEFAULT_TIMEOUT_SECONDS = 30.0


def decode(document: bytes) -> config_model.Configuration:
    """Returns the configuration in a document.

    Raises:
        DocumentError: A field is missing, of another type or out of range.
    """
    try:
        return _configuration(json.loads(document), document)
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        RecursionError,
    ) as error:
        raise follow.DocumentError(
            f"The configuration is not valid: {error!r}; write it again."
        ) from error


def _configuration(
    content: dict[str, Any], document: bytes
) -> config_model.Configuration:
    tenants = content.get("tenants") or []
    services = [service["name"] for service in content["services"]]
    routes = _routes(content["virtual_hosts"], frozenset(services))
    if not tenants:
        # Without client accounts no request carries a key.
        routes = [_opened(route) for route in routes]
    return config_model.Configuration(
        revision=int(content["version"]),
        digest=hashlib.sha256(document).digest(),
        accounts={item["name"]: _account(item) for item in tenants},
        services={name: config_model.Service(name) for name in services},
        routes={route.id: route for route in routes},
        opaque_keys={
            config_model.secret_digest(key): item["name"]
            for item in tenants
            for key in item.get("api_keys") or ()
        },
        limits=_limits(content.get("limits")),
    )


def _opened(route: config_model.Route) -> config_model.Route:
    return attrs.evolve(route, open=True)


def _account(item: dict[str, Any]) -> config_model.ClientAccount:
    return config_model.ClientAccount(
        item["name"],
        # Absent or 0: no limit.
        rate=float(item.get("rate_per_s") or 0.0),
        burst=float(item.get("burst") or 0.0),
        priority=item.get("priority"),
    )


def _routes(
    hosts: list[dict[str, Any]], services: frozenset[str]
) -> list[config_model.Route]:
    return [
        _route(host["host"].lower(), path, services)
        for host in hosts
        for path in host["paths"]
    ]


def _route(
    host: str, item: dict[str, Any], services: frozenset[str]
) -> config_model.Route:
    kind = item["kind"]
    if kind not in _KINDS:
        raise ValueError(f"route {item['name']} has the unknown kind {kind}")
    split = tuple(
        config_model.Share(part["service"], float(part["weight"]))
        for part in item.get("weighted_services") or ()
    )
    service = item.get("service") or (split[0].service if split else "")
    for name in (service, *(share.service for share in split)):
        if name not in services:
            raise ValueError(f"route {item['name']} has no service {name!r}")
    return config_model.Route(
        id=item["name"],
        host=host,
        prefix=item["path_prefix"],
        service=service,
        split=split,
        open=bool(item.get("anonymous", False)),
        repeatable=kind in _REPEATABLE,
        # The longest time that the operators want a request kept waiting.
        timeout=float(item.get("timeout_s") or _DEFAULT_TIMEOUT_SECONDS),
        attempts=int(item.get("max_attempts") or 1),
        objective=float(item.get("target_latency_s") or 0.0),
        priority=int(item.get("priority") or 0),
    )


def _limits(item: dict[str, Any] | None) -> config_model.CallerLimits | None:
    if not item:
        return None
    return config_model.CallerLimits(
        head_bytes=int(item["max_header_bytes"]),
        body_bytes=int(item["max_body_bytes"]),
        head_seconds=float(item["header_timeout_s"]),
        idle_seconds=float(item["idle_timeout_s"]),
    )
