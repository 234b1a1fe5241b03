"""Settings of a daemon, read from a TOML file and fully validated.

Example:
    instance = "dar-a-7"
    data_centre = "dar-a"
    store_url = "http://10.0.0.2:2379"
    seeds = ["10.0.1.4:7101", "10.0.2.4:7101"]

    [addresses]
    edge = "10.0.1.7:8080"
    peer = "10.0.1.7:7100"
    gossip = "10.0.1.7:7101"
"""

import ipaddress
import os
import pathlib
from typing import Any
from urllib import parse

import attrs

from cicadafront import errors
from cicadafront.config import folder, schema

Address = tuple[str, int]

LOG_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Attributes:
        instance: Name of the instance, unique in the fleet.
        data_centre: Data centre in which the instance runs.
        store_url: URL of the key-value store.
        edge: Address on which callers connect.
        peer: TCP address for other instances, reachable from them.
        gossip: UDP address for other instances, reachable from them.
        operators: Address for operators and for the announcements of targets.
        seeds: Gossip addresses of instances to contact in order to join.
        drain_seconds: Maximum duration of a graceful shutdown.
        log_level: Minimum severity that is logged.
        services: Services whose targets may announce themselves to this
            instance; empty means all services of the configuration.
    """

    instance: str
    data_centre: str
    store_url: str
    peer: Address
    gossip: Address
    edge: Address = ("0.0.0.0", 8080)
    operators: Address = ("127.0.0.1", 9090)
    seeds: tuple[Address, ...] = ()
    drain_seconds: float = 60.0
    log_level: str = "info"
    services: tuple[str, ...] = ()


def address(value: Any) -> Address:
    """Parses `IP:port`, with IPv6 addresses in brackets.

    Raises:
        ValueError: The value is not such an address.
    """
    remedy = "write IP:port such as 127.0.0.1:7100 or [::1]:7100"
    if not isinstance(value, str):
        raise ValueError(f"is no string; {remedy}")
    host, colon, port = value.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        colon = ""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(
            f"{value[:60]!r} has no IP address; {remedy}"
        ) from None
    if not colon or not (port.isascii() and port.isdigit() and len(port) < 6):
        raise ValueError(f"{value[:60]!r} has no port; {remedy}")
    if not 1 <= int(port) <= 65535:
        raise ValueError(f"port {port} is out of range; use 1 to 65535")
    return host, int(port)


def _reachable(value: Any) -> Address:
    host, port = address(value)
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError(
            f"{host} is not reachable from other instances; write the address"
            " of this machine"
        )
    return host, port


def _store_url(value: Any) -> str:
    remedy = "write http://IP:port"
    if not isinstance(value, str):
        raise ValueError(f"is no string; {remedy}")
    try:
        url = parse.urlsplit(value)
    except ValueError:
        raise ValueError(f"{value[:60]!r} is no URL; {remedy}") from None
    if url.scheme != "http" or url.path.strip("/") or url.query or url.fragment:
        raise ValueError(f"{value[:60]!r} is not a store address; {remedy}")
    address(url.netloc)
    return value.rstrip("/")


_name = schema.text(
    r"[A-Za-z0-9][A-Za-z0-9.-]{0,63}",
    "a name of 1 to 64 letters, digits, '.' or '-'",
)

_TOP: schema.Fields = {
    "instance": schema.Field(_name, required=True),
    "data_centre": schema.Field(_name, required=True),
    "store_url": schema.Field(_store_url, required=True),
    "seeds": schema.Field(schema.list_of(address, 64)),
    "drain_seconds": schema.Field(schema.number(0, 3600, " (seconds)")),
    "log_level": schema.Field(schema.one_of(*LOG_LEVELS)),
    "services": schema.Field(schema.list_of(_name, 1000)),
}
_ADDRESSES: schema.Fields = {
    "edge": schema.Field(address),
    "peer": schema.Field(_reachable, required=True),
    "gossip": schema.Field(_reachable, required=True),
    "operators": schema.Field(address),
}
# TCP listeners of a daemon, which need different ports.
_TCP_LISTENERS = ("edge", "peer", "operators")


def read(file: str, content: bytes) -> Settings:
    """Parses settings from the content of a TOML file.

    Args:
        file: Name of the file, for error messages.
        content: Content of the file.

    Raises:
        InvalidConfigurationError: The settings are invalid. It lists all
            errors, each with the key and a way to fix it.
    """
    try:
        document = folder.parse(file, content)
    except errors.ConfigError as error:
        raise schema.InvalidConfigurationError([error]) from None
    tables = {"addresses": document.pop("addresses", {})}
    top, found = schema.check_table(file, "", document, _TOP)
    listed, more = schema.check_table(
        file, "addresses", tables["addresses"], _ADDRESSES
    )
    found += more
    given = {error.key for error in found}
    for prefix, fields in (("", _TOP), ("addresses.", _ADDRESSES)):
        for key, field in fields.items():
            present = key in top or key in listed or prefix + key in given
            if field.required and not present:
                found.append(
                    errors.ConfigError(file, prefix + key, "is missing; add it")
                )
    found += _port_conflicts(file, listed)
    if found:
        raise schema.InvalidConfigurationError(found)
    for key in ("seeds", "services"):
        top[key] = tuple(top.get(key, ()))
    return Settings(**top, **listed)


def load(path: str | os.PathLike[str]) -> Settings:
    """Reads settings from a file.

    Raises:
        InvalidConfigurationError: The file cannot be read or is invalid.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise schema.InvalidConfigurationError(
            [
                errors.ConfigError(
                    str(path), "(file)", f"{error.strerror}; name a TOML file"
                )
            ]
        ) from error
    return read(str(path), content)


def _port_conflicts(
    file: str, listed: dict[str, Address]
) -> list[errors.ConfigError]:
    """Returns an error for each pair of listeners with the same TCP port."""
    fields = attrs.fields_dict(Settings)
    used_addresses: dict[str, Address] = {}
    found = []
    for key in _TCP_LISTENERS:
        candidate: Any = listed.get(key, fields[key].default)
        if candidate is attrs.NOTHING:
            continue
        for other, other_address in used_addresses.items():
            if _conflicts(candidate, other_address):
                found.append(
                    errors.ConfigError(
                        file,
                        f"addresses.{key}",
                        f"has the port of addresses.{other}; use another port",
                    )
                )
        used_addresses[key] = candidate
    return found


def _conflicts(one: Address, other: Address) -> bool:
    hosts = one[0], other[0]
    any_unspecified = any(
        ipaddress.ip_address(host).is_unspecified for host in hosts
    )
    return one[1] == other[1] and (any_unspecified or one[0] == other[0])
