"""What all commands share: options, exit codes, tables, errors."""

import enum
import json
import os
from collections.abc import Iterable, Sequence
from typing import Any, ClassVar

from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from cicadafront import errors
from cicadafront.cli import web
from cicadafront.config import apply, schema

DEFAULT_ADDRESS = "127.0.0.1:9090"
DEFAULT_STORE = "http://127.0.0.1:2379"


class Exit(enum.IntEnum):
    """Exit codes of all commands."""

    OK = 0
    USAGE = 1
    INVALID = 2
    UNAVAILABLE = 3
    LOST = 4
    UNKNOWN = 5
    LAGGING = 6
    NOT_FOUND = 7


EXIT_CODES = """Exit codes:
  0  done
  1  wrong use, or a failure of another kind
  2  the configuration is refused
  3  the store or the asked instance does not answer
  4  another change came first; nothing was applied
  5  it is unknown whether the change took effect
  6  instances lag behind the wanted revision
  7  what was asked for does not exist"""

JSON = option("json", None, "Print JSON instead of tables.")
ADDRESS = option(
    "address",
    "a",
    "Operators' address of any instance [env CICADAFRONT_ADDRESS].",
    flag=False,
    default=os.environ.get("CICADAFRONT_ADDRESS", DEFAULT_ADDRESS),
)
STORE = option(
    "store",
    "s",
    "URL of the store [env CICADAFRONT_STORE].",
    flag=False,
    default=os.environ.get("CICADAFRONT_STORE", DEFAULT_STORE),
)


def helped(*examples: str) -> str:
    """Returns the help text with examples and exit codes."""
    shown = "\n".join(f"  $ cicadafront {example}" for example in examples)
    return f"Examples:\n{shown}\n\n{EXIT_CODES}"


class NotFoundError(errors.CicadafrontError):
    """What was asked for does not exist."""

    code = "not_found"


class UsageError(errors.CicadafrontError):
    """An argument cannot be used."""

    code = "usage"


def whole_number(name: str, value: str | None) -> int | None:
    """Reads an argument that is a whole number from 0, or None if absent."""
    if value is None:
        return None
    if not (value.isascii() and value.isdigit() and len(value) < 16):
        raise UsageError(f"{name} is {value[:60]!r}; write a whole number")
    return int(value)


class BaseCommand(command.Command):
    """A command that reports typed errors and prints tables or JSON."""

    arguments: ClassVar[list[Argument]] = []
    options: ClassVar[list[Option]] = [JSON]

    def perform(self) -> Exit:
        """Runs the command."""
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command and turns typed errors into exit codes."""
        try:
            return int(self.perform())
        except errors.CicadafrontError as error:
            self._show_error(error)
            return int(_exit_for(error))

    def _show_error(self, error: errors.CicadafrontError) -> None:
        if self.option("json"):
            shown: dict[str, Any] = {
                "code": error.code,
                "message": error.message,
            }
            if isinstance(error, schema.InvalidConfigurationError):
                shown["errors"] = [
                    {"file": e.file, "key": e.key, "message": e.message}
                    for e in error.errors
                ]
            self.print(json.dumps({"error": shown}, indent=2))
        else:
            self.note(f"error ({error.code}):\n{error.message}")

    def print(self, text: str) -> None:
        """Prints a line as it is, without markup."""
        self.io.write_line(text, type=Type.RAW)

    def note(self, text: str) -> None:
        """Prints a line to standard error."""
        self.io.write_error_line(text, type=Type.RAW)

    def show(self, data: dict[str, Any], lines: Iterable[str]) -> None:
        """Prints the data as JSON or, without `--json`, the lines."""
        if self.option("json"):
            self.print(json.dumps(data, indent=2))
            return
        for line in lines:
            self.print(line)


def _exit_for(error: errors.CicadafrontError) -> Exit:
    kinds: Sequence[tuple[type, Exit]] = (
        (schema.InvalidConfigurationError, Exit.INVALID),
        (errors.ConfigError, Exit.INVALID),
        (errors.StoreUnavailableError, Exit.UNAVAILABLE),
        (web.InstanceError, Exit.UNAVAILABLE),
        (apply.ApplyLostError, Exit.LOST),
        (apply.ApplyUnknownError, Exit.UNKNOWN),
        (NotFoundError, Exit.NOT_FOUND),
    )
    for kind, code in kinds:
        if isinstance(error, kind):
            return code
    return Exit.USAGE


def table(
    items: Sequence[dict[str, Any]], columns: Sequence[str] = ()
) -> list[str]:
    """Returns aligned lines for items.

    Args:
        items: Rows by column name.
        columns: Order of the first columns; others follow as they appear.
    """
    names = list(columns) or []
    for item in items:
        names += [name for name in item if name not in names]
    rows = [[_cell(item.get(name)) for name in names] for item in items]
    widths = [
        max([len(name), *(len(row[at]) for row in rows)])
        for at, name in enumerate(names)
    ]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in [[name.upper() for name in names], *rows]
    ]


def _cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case list() | tuple():
            return ",".join(_cell(item) for item in value) or "-"
        case dict():
            return json.dumps(value)
    # Control characters would break the table or steer the terminal.
    return "".join(c if c.isprintable() else "?" for c in str(value))
