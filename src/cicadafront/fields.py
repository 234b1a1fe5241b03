"""Fields of JSON documents that come from outside the instance.

Each reader names the field in its error and refuses what Python would convert
or compare without complaint: booleans as numbers, infinities, NaN, integers
of any size.
"""

import json
import math
import socket
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from cicadafront import errors

# Levels of lists and objects. The documents of the platform have five.
MAX_DEPTH = 32
# Numbers that fit into a signed integer of 64 bits, as frames carry them.
MAX_INTEGER = 2**63 - 1
MAX_NUMBER = 1e12
MAX_PORT = 65_535

Item = Mapping[str, Any]
_T = TypeVar("_T")


class FieldError(errors.CicadafrontError):
    """A document that cannot be read, or a field that is not as required."""

    code = "field_invalid"


def parse(document: bytes) -> dict[str, Any]:
    """Returns the object that a JSON document holds.

    Raises:
        FieldError: It is no JSON, no object, or nested too deeply.
    """
    try:
        content = json.loads(document)
    except (ValueError, RecursionError) as error:
        # The text of the error may repeat a part of the document.
        raise FieldError(
            f"The document is no JSON ({type(error).__name__}); write it again."
        ) from error
    if not isinstance(content, dict):
        raise FieldError("The document is no JSON object; write it again.")
    _check_depth(content)
    return content


def _check_depth(content: dict[str, Any]) -> None:
    level: list[Any] = [content]
    for _ in range(MAX_DEPTH):
        level = [child for node in level for child in _nested(node)]
        if not level:
            return
    raise FieldError(
        f"The document has more than {MAX_DEPTH} levels; write it flatter."
    )


def _nested(node: Any) -> Iterable[Any]:
    children = node.values() if isinstance(node, dict) else node
    return (child for child in children if isinstance(child, dict | list))


def _wrong(name: str, wanted: str) -> FieldError:
    return FieldError(f"The field {name!r} is not {wanted}; correct it.")


def item(holder: Item, name: str) -> Item:
    """Returns the object in a field."""
    value = holder.get(name)
    if not isinstance(value, dict):
        raise _wrong(name, "an object")
    return value


def items(holder: Item, name: str, *, required: bool = True) -> list[Item]:
    """Returns the objects in a list; absent or null may mean none."""
    value = _list(holder, name, required)
    if not all(isinstance(each, dict) for each in value):
        raise _wrong(name, "a list of objects")
    return value


def strings(holder: Item, name: str, *, required: bool = True) -> list[str]:
    """Returns the strings in a list; absent or null may mean none."""
    value = _list(holder, name, required)
    if not all(isinstance(each, str) and each for each in value):
        raise _wrong(name, "a list of strings that are not empty")
    return value


def _list(holder: Item, name: str, required: bool) -> list[Any]:
    value = holder.get(name)
    if value is None and not required:
        return []
    if not isinstance(value, list):
        raise _wrong(name, "a list")
    return value


def string(holder: Item, name: str) -> str:
    """Returns a string that is not empty."""
    value = holder.get(name)
    if not isinstance(value, str) or not value:
        raise _wrong(name, "a string that is not empty")
    return value


def boolean(holder: Item, name: str) -> bool:
    """Returns a boolean; absent or null means False."""
    value = holder.get(name)
    if value is not None and not isinstance(value, bool):
        raise _wrong(name, "true or false")
    return bool(value)


def integer(
    holder: Item,
    name: str,
    minimum: int = 0,
    maximum: int = MAX_INTEGER,
    default: int | None = None,
) -> int:
    """Returns an integer in a range.

    Args:
        holder: Object with the field.
        name: Name of the field.
        minimum: Smallest value.
        maximum: Largest value.
        default: Value if the field is absent or null; None requires it.
    """
    value = holder.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int):
        raise _wrong(name, "an integer")
    if not minimum <= value <= maximum:
        raise _wrong(name, f"from {minimum} to {maximum}")
    return value


def number(
    holder: Item, name: str, default: float | None = None, minimum: float = 0.0
) -> float:
    """Returns a finite number of at least `minimum`; see `integer`."""
    value = holder.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _wrong(name, "a number")
    if not minimum <= value <= MAX_NUMBER or not math.isfinite(value):
        raise _wrong(name, f"from {minimum:g} to {MAX_NUMBER:g}")
    return float(value)


def host_and_port(holder: Item, name: str) -> tuple[str, int]:
    """Returns the address in a list of an IPv4 number and a port."""
    value = holder.get(name)
    if not isinstance(value, list) or len(value) != 2:
        raise _wrong(name, "a list of host and port")
    host, port = value
    return _address(name, host, port)


def address(holder: Item, name: str) -> tuple[str, int]:
    """Returns the address in a string of the form `10.0.0.1:80`."""
    host, _, port = string(holder, name).rpartition(":")
    # `int` would also take signs, spaces, underscores and other digits.
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    return _address(name, host, int(port) if digits else None)


def _address(name: str, host: Any, port: Any) -> tuple[str, int]:
    if isinstance(port, bool) or not isinstance(port, int):
        raise _wrong(name, "an address with a port")
    if not 1 <= port <= MAX_PORT:
        raise _wrong(name, f"an address with a port up to {MAX_PORT}")
    if not isinstance(host, str):
        raise _wrong(name, "an address with an IPv4 number")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise _wrong(name, "an address with an IPv4 number") from error
    return host, port


def by_name(
    found: Iterable[_T], name: Callable[[_T], str], what: str
) -> dict[str, _T]:
    """Returns things by their names.

    Raises:
        FieldError: Two of them have the same name.
    """
    named: dict[str, _T] = {}
    for each in found:
        if name(each) in named:
            raise FieldError(
                f"There are two {what} {name(each)[:100]!r}; rename one."
            )
        named[name(each)] = each
    return named
