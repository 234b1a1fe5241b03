"""Settings of one daemon, read from a TOML file and checked as a whole.

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
        data_centre: Data centre that it runs in.
        store_url: Address of the key-value store.
        edge: Address for callers.
        peer: TCP address for other instances, as they reach it.
        gossip: UDP address for other instances, as they reach it.
        operators: Address for operators and for targets' announcements.
        seeds: Gossip addresses of other instances to join by.
        drain_seconds: Longest time of a graceful shutdown.
        log_level: Least severity that is logged.
        services: Services whose targets may announce themselves here; empty
            means all services of the configuration.
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
    """Accepts `IP:port`, with IPv6 addresses in brackets."""
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
        raise ValueError(f"port {port} does not exist; use 1 to 65535")
    return host, int(port)


def _reachable(value: Any) -> Address:
    host, port = address(value)
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError(
            f"{host} is announced to other instances, which cannot connect to"
            " it; write the address of this machine"
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
        raise ValueError(f"{value[:60]!r} is no store address; {remedy}")
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
# Listeners that share the TCP ports of a machine.
_TCP = ("edge", "peer", "operators")


def read(file: str, content: bytes) -> Settings:
    """Reads settings from the content of a TOML file.

    Raises:
        InvalidConfigurationError: With all errors, each with key and remedy.
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
    found += _clashes(file, listed)
    if found:
        raise schema.InvalidConfigurationError(found)
    for key in ("seeds", "services"):
        top[key] = tuple(top.get(key, ()))
    return Settings(**top, **listed)


def load(path: str | os.PathLike[str]) -> Settings:
    """Reads settings from a file."""
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


def _clashes(file: str, listed: dict[str, Address]) -> list[errors.ConfigError]:
    """Finds listeners that would take each other's TCP port."""
    fields = attrs.fields_dict(Settings)
    taken: dict[str, Address] = {}
    found = []
    for key in _TCP:
        place: Any = listed.get(key, fields[key].default)
        if place is attrs.NOTHING:
            continue
        for other, used in taken.items():
            if _overlap(place, used):
                found.append(
                    errors.ConfigError(
                        file,
                        f"addresses.{key}",
                        f"has the port of addresses.{other}; use another port",
                    )
                )
        taken[key] = place
    return found


def _overlap(one: Address, other: Address) -> bool:
    hosts = one[0], other[0]
    anywhere = any(ipaddress.ip_address(host).is_unspecified for host in hosts)
    return one[1] == other[1] and (anywhere or one[0] == other[0])
