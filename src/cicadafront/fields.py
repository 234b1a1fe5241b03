"""Validated access to the fields of JSON documents from other processes.

Each function names the field in its error. It rejects values that Python would
silently convert or compare: booleans as numbers, infinities, NaN and integers
of unlimited size.
"""

import json
import math
import socket
import unicodedata
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from cicadafront import errors

# Maximum nesting of lists and objects. The documents of the platform have five
# levels.
MAX_DEPTH = 32
# Largest signed 64-bit integer, the size of integers in frames.
MAX_INTEGER = 2**63 - 1
MAX_NUMBER = 1e12
MAX_PORT = 65_535
# Longest id of a target or name of a service, in bytes. Names of this length
# still fit the datagrams between instances.
MAX_NAME_BYTES = 200

Item = Mapping[str, Any]
_T = TypeVar("_T")


class FieldError(errors.CicadafrontError):
    """A document cannot be parsed, or a field is missing or invalid."""

    code = "field_invalid"


def parse(document: bytes) -> dict[str, Any]:
    """Parses a JSON document that contains an object.

    Raises:
        FieldError: The document is not valid JSON, not an object, or nested
            too deeply.
    """
    try:
        content = json.loads(document)
    except (ValueError, RecursionError) as error:
        # The message of the error is left out: it may quote the document.
        raise FieldError(
            f"The document is not valid JSON ({type(error).__name__}); "
            "correct it."
        ) from error
    if not isinstance(content, dict):
        raise FieldError("The document is not a JSON object; correct it.")
    _check_depth(content)
    return content


def _check_depth(content: dict[str, Any]) -> None:
    level: list[Any] = [content]
    for _ in range(MAX_DEPTH):
        level = [child for node in level for child in _children(node)]
        if not level:
            return
    raise FieldError(
        f"The document has more than {MAX_DEPTH} levels; reduce the nesting."
    )


def _children(node: Any) -> Iterable[Any]:
    children = node.values() if isinstance(node, dict) else node
    return (child for child in children if isinstance(child, dict | list))


def _invalid(name: str, wanted: str) -> FieldError:
    return FieldError(f"The field {name!r} is not {wanted}; correct it.")


def item(holder: Item, name: str) -> Item:
    """Returns the value of a field that holds an object."""
    value = holder.get(name)
    if not isinstance(value, dict):
        raise _invalid(name, "an object")
    return value


def items(holder: Item, name: str, *, required: bool = True) -> list[Item]:
    """Returns the value of a field that holds a list of objects.

    Args:
        holder: Object with the field.
        name: Name of the field.
        required: Whether an absent or null field is an error; otherwise it
            means an empty list.
    """
    value = _list(holder, name, required)
    if not all(isinstance(each, dict) for each in value):
        raise _invalid(name, "a list of objects")
    return value


def strings(holder: Item, name: str, *, required: bool = True) -> list[str]:
    """Returns the value of a field that holds a list of non-empty strings.

    Args:
        holder: Object with the field.
        name: Name of the field.
        required: Whether an absent or null field is an error; otherwise it
            means an empty list.
    """
    value = _list(holder, name, required)
    if not all(isinstance(each, str) and each for each in value):
        raise _invalid(name, "a list of non-empty strings")
    if not all(map(_is_encodable, value)):
        raise _invalid(name, "a list of valid Unicode strings")
    return value


def _list(holder: Item, name: str, required: bool) -> list[Any]:
    value = holder.get(name)
    if value is None and not required:
        return []
    if not isinstance(value, list):
        raise _invalid(name, "a list")
    return value


def string(holder: Item, name: str) -> str:
    """Returns the value of a field that holds a non-empty string."""
    value = holder.get(name)
    if not isinstance(value, str) or not value:
        raise _invalid(name, "a non-empty string")
    if not _is_encodable(value):
        raise _invalid(name, "a valid Unicode string")
    return value


def _is_encodable(text: str) -> bool:
    """Returns whether text can be sent on; lone surrogates cannot.

    JSON allows them, escaped, in strings.
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def identifier(holder: Item, name: str) -> str:
    """Returns the value of a field that holds a name for headers and logs."""
    return check_identifier(string(holder, name), name)


def check_identifier(value: str, name: str) -> str:
    """Returns a name that can be sent in headers and between instances.

    Args:
        value: The name.
        name: What it names, for the error message.

    Raises:
        FieldError: The name is empty, longer than `MAX_NAME_BYTES`, or has
            control characters or text that cannot be encoded.
    """
    if not value or not _is_encodable(value):
        raise _invalid(name, "a valid, non-empty Unicode string")
    if len(value.encode()) > MAX_NAME_BYTES:
        raise _invalid(name, f"of at most {MAX_NAME_BYTES} bytes")
    if any(unicodedata.category(each) == "Cc" for each in value):
        raise _invalid(name, "free of control characters")
    return value


def boolean(holder: Item, name: str) -> bool:
    """Returns the value of a boolean field; absent or null means False."""
    value = holder.get(name)
    if value is not None and not isinstance(value, bool):
        raise _invalid(name, "true or false")
    return bool(value)


def integer(
    holder: Item,
    name: str,
    minimum: int = 0,
    maximum: int = MAX_INTEGER,
    default: int | None = None,
) -> int:
    """Returns the value of a field that holds an integer within a range.

    Args:
        holder: Object with the field.
        name: Name of the field.
        minimum: Smallest value.
        maximum: Largest value.
        default: Value if the field is absent or null; None makes the field
            required.
    """
    value = holder.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int):
        raise _invalid(name, "an integer")
    if not minimum <= value <= maximum:
        raise _invalid(name, f"in the range from {minimum} to {maximum}")
    return value


def number(
    holder: Item, name: str, default: float | None = None, minimum: float = 0.0
) -> float:
    """Returns the value of a field that holds a finite number.

    Args:
        holder: Object with the field.
        name: Name of the field.
        default: Value if the field is absent or null; None makes the field
            required.
        minimum: Smallest value.
    """
    value = holder.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _invalid(name, "a number")
    if not minimum <= value <= MAX_NUMBER or not math.isfinite(value):
        raise _invalid(name, f"in the range from {minimum:g} to {MAX_NUMBER:g}")
    return float(value)


def host_and_port(holder: Item, name: str) -> tuple[str, int]:
    """Returns the address in a list of an IPv4 address and a port."""
    value = holder.get(name)
    if not isinstance(value, list) or len(value) != 2:
        raise _invalid(name, "a list of host and port")
    host, port = value
    return _address(name, host, port)


def address(holder: Item, name: str) -> tuple[str, int]:
    """Returns the address in a string of the form `10.0.0.1:80`."""
    host, _, port = string(holder, name).rpartition(":")
    # `int` would also accept signs, spaces, underscores and non-ASCII digits.
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    return _address(name, host, int(port) if digits else None)


def _address(name: str, host: Any, port: Any) -> tuple[str, int]:
    if isinstance(port, bool) or not isinstance(port, int):
        raise _invalid(name, "an address with a port")
    if not 1 <= port <= MAX_PORT:
        raise _invalid(name, f"an address with a port up to {MAX_PORT}")
    if not isinstance(host, str):
        raise _invalid(name, "an IPv4 address with a port")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise _invalid(name, "an IPv4 address with a port") from error
    return host, port


def by_name(
    found: Iterable[_T], name: Callable[[_T], str], what: str
) -> dict[str, _T]:
    """Returns a dictionary of the items by name.

    Args:
        found: Items.
        name: Returns the name of an item.
        what: Kind of the items, in the plural, for the error message.

    Raises:
        FieldError: Two items have the same name.
    """
    named: dict[str, _T] = {}
    for each in found:
        if name(each) in named:
            raise FieldError(
                f"Two {what} are named {name(each)[:100]!r}; rename one."
            )
        named[name(each)] = each
    return named
