"""Options, exit codes, tables and error output shared by all commands."""

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


def help_text(*examples: str) -> str:
    """Returns a help text with examples and the exit codes."""
    listed = "\n".join(f"  $ cicadafront {example}" for example in examples)
    return f"Examples:\n{listed}\n\n{EXIT_CODES}"


class NotFoundError(errors.CicadafrontError):
    """The requested object does not exist."""

    code = "not_found"


class UsageError(errors.CicadafrontError):
    """An argument or option is invalid."""

    code = "usage"


def parse_whole_number(name: str, value: str | None) -> int | None:
    """Parses a whole number from 0; returns None if the value is absent.

    Args:
        name: Name of the argument or option, for the error message.
        value: Text of at most 15 digits, or None.

    Raises:
        UsageError: The value is not such a number.
    """
    if value is None:
        return None
    if not (value.isascii() and value.isdigit() and len(value) < 16):
        raise UsageError(f"{name} is {value[:60]!r}; specify a whole number")
    return int(value)


class BaseCommand(command.Command):
    """A command that reports errors by exit code and prints tables or JSON."""

    arguments: ClassVar[list[Argument]] = []
    options: ClassVar[list[Option]] = [JSON]

    def perform(self) -> Exit:
        """Runs the command; implemented by each command."""
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command and maps its errors to exit codes."""
        try:
            return int(self.perform())
        except errors.CicadafrontError as error:
            self._show_error(error)
            return int(_exit_code(error))

    def _show_error(self, error: errors.CicadafrontError) -> None:
        if self.option("json"):
            error_data: dict[str, Any] = {
                "code": error.code,
                "message": error.message,
            }
            if isinstance(error, schema.InvalidConfigurationError):
                error_data["errors"] = [
                    {"file": e.file, "key": e.key, "message": e.message}
                    for e in error.errors
                ]
            self.print(json.dumps({"error": error_data}, indent=2))
        else:
            self.print_to_stderr(f"error ({error.code}):\n{error.message}")

    def print(self, text: str) -> None:
        """Prints a line without interpreting markup."""
        self.io.write_line(text, type=Type.RAW)

    def print_to_stderr(self, text: str) -> None:
        """Prints a line to standard error without interpreting markup."""
        self.io.write_error_line(text, type=Type.RAW)

    def show(self, data: dict[str, Any], lines: Iterable[str]) -> None:
        """Prints the data as JSON or, without `--json`, the lines."""
        if self.option("json"):
            self.print(json.dumps(data, indent=2))
            return
        for line in lines:
            self.print(line)


def _exit_code(error: errors.CicadafrontError) -> Exit:
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
    """Formats items as the lines of an aligned table with a header.

    Args:
        items: Rows; each maps column names to values.
        columns: Names of the first columns. Further columns follow in order
            of their first occurrence.
    """
    names = list(columns) or []
    for item in items:
        names += [name for name in item if name not in names]
    rows = [[_cell(item.get(name)) for name in names] for item in items]
    widths = [
        max([len(name), *(len(row[column]) for row in rows)])
        for column, name in enumerate(names)
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
    # Replaces control characters, which could break the table or be interpreted
    # by the terminal.
    return "".join(c if c.isprintable() else "?" for c in str(value))
