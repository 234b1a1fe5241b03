"""Decoding of the operators' configuration from the platform's store."""

import hashlib

import attrs

from cicadafront import fields
from cicadafront.config import follow
from cicadafront.config import model as config_model

# Route kinds whose requests may be executed more than once.
_REPEATABLE = frozenset({"idempotent"})
_KINDS = _REPEATABLE | {"non_idempotent", "upload"}
# Request timeout of routes that do not configure one.
_DEFAULT_TIMEOUT_SECONDS = 30.0


def decode(document: bytes) -> config_model.Configuration:
    """Decodes a configuration document.

    Raises:
        DocumentError: A field is missing, has the wrong type or is out of
            range.
    """
    try:
        return _configuration(fields.parse(document), document)
    except fields.FieldError as error:
        raise follow.DocumentError(
            f"The configuration is invalid: {error.message}"
        ) from error


def _configuration(
    content: fields.Item, document: bytes
) -> config_model.Configuration:
    tenants = fields.items(content, "tenants", required=False)
    services = {
        fields.string(service, "name")
        for service in fields.items(content, "services")
    }
    routes = _routes(fields.items(content, "virtual_hosts"), services)
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
        services={name: config_model.Service(name) for name in services},
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
    )


def _routes(
    hosts: list[fields.Item], services: set[str]
) -> list[config_model.Route]:
    routes = []
    for host in hosts:
        name = fields.string(host, "host").lower()
        paths = fields.items(host, "paths")
        routes += [_route(name, path, services) for path in paths]
    return routes


def _route(
    host: str, path: fields.Item, services: set[str]
) -> config_model.Route:
    name = fields.string(path, "name")
    kind = fields.string(path, "kind")
    if kind not in _KINDS:
        raise fields.FieldError(
            f"Route {name[:100]!r} has an unknown kind; use one of "
            f"{', '.join(sorted(_KINDS))}."
        )
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
        repeatable=kind in _REPEATABLE,
        # Maximum time that a request may take, as set by the operators.
        timeout=timeout or _DEFAULT_TIMEOUT_SECONDS,
        attempts=fields.integer(path, "max_attempts", default=0) or 1,
        objective=fields.number(path, "target_latency_s", default=0.0),
        priority=fields.integer(path, "priority", default=0),
    )


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
