"""Decoding of the operators' configuration from the platform's store.

The store accepts only valid configurations, and it may be newer than this
program. A value of an enumeration that is not known here therefore does not
invalidate the document: it is read as the strictest known value.
"""

import collections
import hashlib

import attrs

from cicadafront import fields
from cicadafront.config import follow
from cicadafront.config import model as config_model
from cicadafront.telemetry import logs

# Route kinds whose requests may be executed more than once.
_REPEATABLE = frozenset({"idempotent", "download"})
_KINDS = _REPEATABLE | {"non_idempotent", "upload"}
# Request timeout of routes that do not configure one.
_DEFAULT_TIMEOUT_SECONDS = 30.0

Counts = collections.Counter[str]

_log = logs.Log("platform")


def decode(
    document: bytes, counts: Counts | None = None
) -> config_model.Configuration:
    """Decodes a configuration document.

    Args:
        document: The document.
        counts: Counts the values that are not known, by field.

    Raises:
        DocumentError: A field is missing, has the wrong type or is out of
            range.
    """
    try:
        return _configuration(
            fields.parse(document),
            document,
            collections.Counter() if counts is None else counts,
        )
    except fields.FieldError as error:
        raise follow.DocumentError(
            f"The configuration is invalid: {error.message}"
        ) from error


def _configuration(
    content: fields.Item, document: bytes, counts: Counts
) -> config_model.Configuration:
    tenants = fields.items(content, "tenants", required=False)
    services = {
        service.name: service
        for service in map(_service, fields.items(content, "services"))
    }
    hosts = fields.items(content, "virtual_hosts")
    routes = _routes(hosts, set(services), counts)
    if not tenants:
        # Without client accounts, requests carry no key.
        routes = [_allow_anonymous(route) for route in routes]
    return config_model.Configuration(
        # Revision 0 means that an instance has no configuration yet.
        revision=fields.integer(content, "version", minimum=1),
        digest=hashlib.sha256(document).digest(),
        accounts=fields.by_name(
            map(_account, tenants), lambda account: account.id, "accounts"
        ),
        services=services,
        routes=fields.by_name(routes, lambda route: route.id, "routes"),
        opaque_keys={
            config_model.secret_digest(key): fields.string(tenant, "name")
            for tenant in tenants
            for key in fields.strings(tenant, "api_keys", required=False)
        },
        limits=_limits(content),
    )


def _allow_anonymous(route: config_model.Route) -> config_model.Route:
    return attrs.evolve(route, open=True)


def _account(tenant: fields.Item) -> config_model.ClientAccount:
    priority = None
    if tenant.get("priority") is not None:
        priority = fields.integer(tenant, "priority")
    return config_model.ClientAccount(
        fields.string(tenant, "name"),
        # A rate that is absent or 0 means no limit.
        rate=fields.number(tenant, "rate_per_s", default=0.0),
        burst=fields.number(tenant, "burst", default=0.0),
        priority=priority,
        areas=_areas(tenant),
    )


def _service(service: fields.Item) -> config_model.Service:
    return config_model.Service(
        fields.string(service, "name"),
        cold_rate=fields.number(service, "cold_per_s", default=0.0),
        cold_seconds=fields.number(service, "cold_start_s", default=0.0),
    )


def _areas(holder: fields.Item) -> list[str]:
    return fields.strings(holder, "allowed_regions", required=False)


def _routes(
    hosts: list[fields.Item], services: set[str], counts: Counts
) -> list[config_model.Route]:
    routes = []
    for host in hosts:
        name = fields.string(host, "host").lower()
        paths = fields.items(host, "paths")
        routes += [_route(name, path, services, counts) for path in paths]
    return routes


def _route(
    host: str, path: fields.Item, services: set[str], counts: Counts
) -> config_model.Route:
    name = fields.string(path, "name")
    split = tuple(
        config_model.Share(
            fields.string(part, "service"), fields.number(part, "weight")
        )
        for part in fields.items(path, "weighted_services", required=False)
    )
    if split and path.get("service") is None:
        service = split[0].service
    else:
        service = fields.string(path, "service")
    for referenced in (service, *(share.service for share in split)):
        if referenced not in services:
            raise fields.FieldError(
                f"Route {name[:100]!r} refers to a service that is not "
                "defined; add it to the services."
            )
    timeout = fields.number(path, "timeout_s", default=0.0)
    return config_model.Route(
        id=name,
        host=host,
        prefix=fields.string(path, "path_prefix"),
        service=service,
        split=split,
        open=fields.boolean(path, "anonymous"),
        repeatable=_is_repeatable(name, fields.string(path, "kind"), counts),
        # Maximum time that a request may take, as set by the operators.
        timeout=timeout or _DEFAULT_TIMEOUT_SECONDS,
        attempts=fields.integer(path, "max_attempts", default=0) or 1,
        objective=fields.number(path, "target_latency_s", default=0.0),
        priority=fields.integer(path, "priority", default=0),
        areas=_areas(path),
    )


def _is_repeatable(route: str, kind: str, counts: Counts) -> bool:
    """Returns whether a kind allows repeats; an unknown kind allows none."""
    if kind not in _KINDS:
        counts["kind"] += 1
        _log.warning(
            "a route has an unknown kind; its requests run at most once.",
            route=route[:100],
            kind=kind[:100],
        )
    return kind in _REPEATABLE


def _limits(content: fields.Item) -> config_model.CallerLimits | None:
    if not content.get("limits"):
        return None
    limits = fields.item(content, "limits")
    return config_model.CallerLimits(
        head_bytes=fields.integer(limits, "max_header_bytes"),
        body_bytes=fields.integer(limits, "max_body_bytes"),
        head_seconds=fields.number(limits, "header_timeout_s"),
        idle_seconds=fields.number(limits, "idle_timeout_s"),
    )
