"""Validation of values read from TOML files."""

import difflib
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from cicadafront import errors


class InvalidConfigurationError(errors.CicadafrontError):
    """Configuration files are invalid; lists every error found in them.

    Attributes:
        errors: The errors, each with file, key and suggested correction.
    """

    code = "config_invalid"

    def __init__(self, found: Iterable[errors.ConfigError]):
        self.errors = tuple(found)
        super().__init__("\n".join(error.message for error in self.errors))


# Returns the accepted value, or raises ValueError with a suggested correction.
Check = Callable[[Any], Any]


@attrs.frozen
class Field:
    """The schema of one key of a table.

    Attributes:
        check: Returns the accepted value, or raises ValueError.
        default: Value if the key is absent.
        required: Whether the key must be present.
    """

    check: Check
    default: Any = None
    required: bool = False


Fields = Mapping[str, Field]


def number(low: float, high: float, unit: str = "") -> Check:
    """Accepts integers and floats in a closed range, as floats."""

    def check(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"is {_type_name(value)}; write a number{unit}")
        # The comparison also rejects `nan`, which is in no range.
        if not low <= value <= high:
            raise ValueError(
                f"is {_shorten(value)}; write a number from {low:g} to"
                f" {high:g}{unit}"
            )
        return float(value)

    return check


def integer(low: int, high: int) -> Check:
    """Accepts integers in a closed range."""

    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(f"is {_type_name(value)}; write a whole number")
        if not low <= value <= high:
            raise ValueError(
                f"is {_shorten(value)}; write a whole number from {low} to"
                f" {high}"
            )
        return value

    return check


def boolean(value: Any) -> bool:
    """Accepts true and false."""
    if not isinstance(value, bool):
        raise ValueError(f"is {_type_name(value)}; write true or false")
    return value


def text(pattern: str, meaning: str) -> Check:
    """Accepts strings that fully match a pattern."""
    compiled = re.compile(pattern)

    def check(value: Any) -> str:
        if not isinstance(value, str):
            raise ValueError(f"is {_type_name(value)}; write {meaning}")
        if not compiled.fullmatch(value):
            raise ValueError(f"is {_shorten(value)}; write {meaning}")
        return value

    return check


def one_of(*choices: str) -> Check:
    """Accepts one of the given strings."""

    def check(value: Any) -> str:
        if value not in choices:
            raise ValueError(
                f"is {_shorten(value)}; write one of {', '.join(choices)}"
            )
        return str(value)

    return check


def list_of(item: Check, max_items: int) -> Check:
    """Accepts lists; returns them sorted and without duplicates."""

    def check(value: Any) -> list[Any]:
        if not isinstance(value, list):
            raise ValueError(f"is {_type_name(value)}; write a list")
        if len(value) > max_items:
            raise ValueError(
                f"has {len(value)} items; write at most {max_items}"
            )
        accepted = []
        for position, element in enumerate(value):
            try:
                accepted.append(item(element))
            except ValueError as error:
                raise ValueError(f"item {position + 1} {error}") from None
        return sorted(set(accepted))

    return check


def check_table(
    file: str, path: str, table: Any, fields: Fields
) -> tuple[dict[str, Any], list[errors.ConfigError]]:
    """Checks the keys that are present in a table.

    Args:
        file: Name of the file, for error messages.
        path: Dotted path of the table in the file; empty for the top level.
        table: The parsed value.
        fields: The keys that the table may have.

    Returns:
        The accepted values of the keys that are present, and the errors
        found.
    """
    if not isinstance(table, dict):
        remedy = f"is {_type_name(table)}; write a table [{path}]"
        return {}, [errors.ConfigError(file, path, remedy)]
    accepted = {}
    found = []
    for key, value in table.items():
        full = f"{path}.{key}" if path else key
        if key not in fields:
            found.append(unknown_key_error(file, full, key, fields))
            continue
        try:
            accepted[key] = fields[key].check(value)
        except ValueError as error:
            found.append(errors.ConfigError(file, full, str(error)))
    return accepted, found


def unknown_key_error(
    file: str, path: str, key: str, known: Iterable[str]
) -> errors.ConfigError:
    """Returns the error for a key that is not in the schema."""
    names = sorted(known)
    close = difflib.get_close_matches(key[:100], names, 1)
    remedy = f"did you mean {close[0]}?" if close else "remove it"
    return errors.ConfigError(
        file, path, f"is not known; {remedy} (known: {', '.join(names)})"
    )


def _type_name(value: Any) -> str:
    kinds = {
        bool: "a boolean",
        int: "a whole number",
        float: "a number",
        str: "a string",
        list: "a list",
        dict: "a table",
    }
    return kinds.get(type(value), "a date or time")


def _shorten(value: Any) -> str:
    try:
        shown = repr(value)
    except ValueError:  # raised for integers of more than 4,300 digits
        shown = "a very large number"
    return shown if len(shown) <= 60 else shown[:57] + "..."
