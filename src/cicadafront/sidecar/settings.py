"""Settings of a sidecar instance, read from a TOML file.

Example:
    instance = "sidecar-dar-a-1"
    data_centre = "dar-a"

    [addresses]
    edge = "10.1.0.26:8548"
    peer = "10.1.0.26:7000"
    gossip = "10.1.0.26:7000"
    heartbeats = "10.1.0.26:8540"
    readiness = "10.1.0.26:8546"
    metrics = "10.1.0.26:7002"

    [sidecar]
    store = "10.200.1.7:8545"
    target = "10.1.0.26:8547"
    service = "rounds"

    [data_centres]
    dar-a = "dar"
"""

import os
import pathlib
from typing import Any

import attrs

from cicadafront import errors, settings
from cicadafront.config import folder, schema

Address = settings.Address


@attrs.frozen
class SidecarSettings:
    """Settings of one instance.

    Attributes:
        instance: Name of the instance, unique in the fleet.
        data_centre: Data centre that it runs in.
        edge: Address for callers and for requests of the local target.
        peer: TCP address for other instances.
        gossip: UDP address for other instances.
        heartbeats: Address for the heartbeats of the target.
        readiness: Address for the platform's health check.
        metrics: Address for metrics.
        store: Address of the platform's key-value store.
        target: Address of the local target.
        service: Service of the local target.
        stop_seconds: Time from SIGTERM to SIGKILL.
        retry_share: Fraction of a service's requests, counted fleet-wide,
            that may be sent to a second target.
        retry_extra: Number of further retries in `retry_window_seconds`.
        retry_window_seconds: Length of the window of `retry_extra`.
        rate_window_seconds: Length of the window in which operators count
            the requests of an account.
        rate_tolerated_share: Tolerated excess over an account's rate and
            burst in that window, as a fraction of them.
        rate_tolerated_extra: Number of further requests tolerated in that
            window.
        evacuation_seconds: Time within which the evacuation of a data centre
            takes effect; None if data centres are never evacuated.
        cold_overage: Factor by which a cold target may exceed its rate; None
            if the start of requests at cold targets is not limited.
        cold_slack: Further requests that a cold target may get in a second.
        memory_mb: Memory of the machine in MB, which bounds what the process
            holds for its callers; None for no bound.
        max_descriptors: Number of descriptors of the process, which bounds
            its connections; None for no bound.
        even_load_instances: Number of instances from which load is balanced
            by expected capacity; 0 for never.
        log_level: Minimum severity of logged messages.
        areas: Area of each data centre; empty if areas are not checked.
    """

    instance: str
    data_centre: str
    edge: Address
    peer: Address
    gossip: Address
    heartbeats: Address
    readiness: Address
    metrics: Address
    store: Address
    target: Address
    service: str
    stop_seconds: float = 6.0
    retry_share: float = 0.2
    retry_extra: float = 60.0
    retry_window_seconds: float = 10.0
    rate_window_seconds: float = 5.0
    rate_tolerated_share: float = 0.1
    rate_tolerated_extra: float = 20.0
    evacuation_seconds: float | None = None
    cold_overage: float | None = None
    cold_slack: float | None = None
    memory_mb: float | None = None
    max_descriptors: int | None = None
    even_load_instances: int = 0
    log_level: str = "info"
    areas: dict[str, str] = attrs.field(factory=dict)


_name = schema.text(r"[^\x00-\x20]{1,200}", "a name without spaces")

_TOP: schema.Fields = {
    "instance": schema.Field(_name, required=True),
    "data_centre": schema.Field(_name, required=True),
    "log_level": schema.Field(schema.one_of(*settings.LOG_LEVELS)),
}
_ADDRESSES: schema.Fields = {
    key: schema.Field(settings.address, required=True)
    for key in ("edge", "peer", "gossip", "heartbeats", "readiness", "metrics")
}
_SIDECAR: schema.Fields = {
    "store": schema.Field(settings.address, required=True),
    "target": schema.Field(settings.address, required=True),
    "service": schema.Field(_name, required=True),
    "stop_seconds": schema.Field(schema.number(0, 3600, " (seconds)")),
    "retry_share": schema.Field(schema.number(0, 10)),
    "retry_extra": schema.Field(schema.number(0, 1e6)),
    "retry_window_seconds": schema.Field(schema.number(0.1, 3600)),
    "rate_window_seconds": schema.Field(schema.number(0.1, 3600)),
    "rate_tolerated_share": schema.Field(schema.number(0, 10)),
    "rate_tolerated_extra": schema.Field(schema.number(0, 1e6)),
    "evacuation_seconds": schema.Field(schema.number(0, 3600, " (seconds)")),
    "cold_overage": schema.Field(schema.number(0, 1e3)),
    "cold_slack": schema.Field(schema.number(0, 1e6)),
    "memory_mb": schema.Field(schema.number(16, 1e7, " (MB)")),
    "max_descriptors": schema.Field(schema.integer(64, 10**7)),
    "even_load_instances": schema.Field(schema.integer(0, 10**6)),
}
# Table with the area of each data centre.
_AREAS = "data_centres"
_TABLES = {"": _TOP, "addresses": _ADDRESSES, "sidecar": _SIDECAR}


def selected(content: bytes) -> bool:
    """Returns whether a settings file is for the sidecar deployment."""
    return b"\n[sidecar]" in b"\n" + content


def read(file: str, content: bytes) -> SidecarSettings:
    """Reads settings from the content of a TOML file.

    Raises:
        InvalidConfigurationError: Lists all errors, each with its key and
            remedy.
    """
    try:
        document = folder.parse(file, content)
    except errors.ConfigError as error:
        raise schema.InvalidConfigurationError([error]) from None
    areas = document.pop(_AREAS, {})
    tables = {name: document.pop(name, {}) for name in _TABLES if name}
    tables[""] = document
    values: dict[str, Any] = {}
    problems: list[errors.ConfigError] = []
    for name, fields in _TABLES.items():
        table, table_problems = schema.check_table(
            file, name, tables[name], fields
        )
        values |= table
        problems += table_problems
        problems += _missing(file, name, tables[name], fields)
    values["areas"], area_problems = _areas(file, areas)
    problems += area_problems
    if problems:
        raise schema.InvalidConfigurationError(problems)
    return SidecarSettings(**values)


def load(path: str | os.PathLike[str]) -> SidecarSettings:
    """Reads settings from a file."""
    return read(str(path), pathlib.Path(path).read_bytes())


def _areas(
    file: str, table: Any
) -> tuple[dict[str, Any], list[errors.ConfigError]]:
    """Checks a table whose keys are the data centres of the fleet."""
    names = table if isinstance(table, dict) else ()
    fields = {name: schema.Field(_name) for name in names}
    return schema.check_table(file, _AREAS, table, fields)


def _missing(
    file: str, name: str, table: Any, fields: schema.Fields
) -> list[errors.ConfigError]:
    given = table if isinstance(table, dict) else {}
    return [
        errors.ConfigError(
            file, f"{name}.{key}" if name else key, "is missing; add it"
        )
        for key, field in fields.items()
        if field.required and key not in given
    ]
