"""Commands for the configuration folder and the store."""

import getpass
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs
from cleo.helpers import argument, option
from twisted.internet import defer

from cicadafront import ports
from cicadafront.cli import base, loop
from cicadafront.config import apply, compare, folder, model, parts
from cicadafront.store import client

T = TypeVar("T")

# Operators prefer a longer wait to an error about a store that is only slow.
STORE_TIMEOUT_SECONDS = 10.0
HISTORY_COLUMNS = ("revision", "time", "author", "write", "digest")
DIR = argument("dir", "Folder with the TOML files.")


def with_store(url: str, function: Callable[[ports.Store], Awaitable[T]]) -> T:
    """Runs an asynchronous function with a temporary store client."""

    async def run() -> T:
        store = client.HttpStore(loop.reactor(), url, STORE_TIMEOUT_SECONDS)
        try:
            return await function(store)
        finally:
            await store.close()

    return loop.call(lambda: defer.ensureDeferred(run()))


def load(directory: str) -> folder.Merged:
    """Merges a folder and checks that its parts fit into the store.

    Raises:
        InvalidConfigurationError: The folder is invalid.
        ConfigError: A part is too large for the store.
    """
    merged = folder.load(directory)
    parts.divide(merged.configuration())
    return merged


def _counts(configuration: model.Configuration) -> dict[str, int]:
    return {
        section: len(getattr(configuration, section))
        for section in folder.SECTIONS
    }


class CheckCommand(base.BaseCommand):
    """Validates a folder without access to the store."""

    name = "config check"
    description = "Checks a folder and reports all errors at once."
    help = base.help_text("config check examples/kaburi")
    arguments = [DIR]

    def perform(self) -> base.Exit:
        """Prints the number of entries."""
        counts = _counts(load(self.argument("dir")).configuration())
        listed = ", ".join(f"{count} {name}" for name, count in counts.items())
        self.show({"valid": True, "counts": counts}, [f"valid: {listed}"])
        return base.Exit.OK


class MergeCommand(base.BaseCommand):
    """Shows the merged values of a folder."""

    name = "config merge"
    description = "Shows every merged value and the file that sets it."
    help = base.help_text("config merge examples/kaburi")
    arguments = [DIR]

    def perform(self) -> base.Exit:
        """Prints all values with their files."""
        merged = load(self.argument("dir"))
        items = [
            {
                "key": f"{section}.{id}.{key}",
                "value": value,
                "file": merged.origins[section, id, key],
            }
            for section, id, key, value in folder.entries(merged.values)
        ]
        self.show({"items": items}, base.table(items))
        return base.Exit.OK


class DiffCommand(base.BaseCommand):
    """Compares a folder with the newest revision in the store."""

    name = "config diff"
    description = "Shows what applying a folder would change in the store."
    help = base.help_text("config diff examples/kaburi --json")
    arguments = [DIR]
    options = [base.JSON, base.STORE]

    def perform(self) -> base.Exit:
        """Prints the differences."""
        wanted = load(self.argument("dir")).configuration()

        async def read(store: ports.Store) -> model.Configuration:
            stored = await apply.read_manifest(store)
            return await apply.read_configuration(store, stored.manifest)

        current = with_store(self.option("store"), read)
        items = [
            {
                "key": f"{change.section}.{change.entry}.{change.key}",
                "before": change.before,
                "after": change.after,
            }
            for change in compare.changes(current, wanted)
        ]
        title = f"{len(items)} differences to revision {current.revision}"
        lines = [title, *(base.table(items) if items else [])]
        self.show({"revision": current.revision, "items": items}, lines)
        return base.Exit.OK


class ApplyCommand(base.BaseCommand):
    """Makes a folder the newest revision."""

    name = "config apply"
    description = "Makes a folder the newest revision in the store."
    help = base.help_text(
        "config apply examples/kaburi",
        "config apply examples/kaburi --base 41",
    )
    arguments = [DIR]
    options = [
        base.JSON,
        base.STORE,
        option("author", None, "Name for the history.", flag=False),
        option(
            "base",
            None,
            "Fail unless the store holds this revision (0: none yet).",
            flag=False,
        ),
    ]

    def perform(self) -> base.Exit:
        """Applies the folder and prints the revision."""
        wanted = load(self.argument("dir")).configuration()
        revision = base.parse_whole_number("--base", self.option("base"))
        author = self.option("author") or _user()
        write = secrets.token_hex(8)

        async def apply_wanted(store: ports.Store) -> apply.Applied:
            return await apply.Applier(store, loop.reactor()).apply(
                wanted,
                author=author,
                write=write,
                time=time.time(),
                base=revision,
            )

        try:
            applied = with_store(self.option("store"), apply_wanted)
        except KeyboardInterrupt:
            raise apply.ApplyUnknownError(
                f"interrupted; it is unknown whether write {write} took"
                " effect; look for it with `cicadafront config history`"
            ) from None
        data = attrs.asdict(applied) | {
            "write": write if applied.changed else None
        }
        if applied.changed:
            line = (
                f"revision {applied.revision} is applied"
                f" ({applied.parts_written} parts written, write {write});"
                " follow it with"
                " `cicadafront config status --wait`"
            )
        else:
            line = f"nothing to change; revision {applied.revision} stays"
        self.show(data, [line])
        return base.Exit.OK


def _user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError, ImportError):
        return "unknown"


class HistoryCommand(base.BaseCommand):
    """Lists past revisions."""

    name = "config history"
    description = "Lists past revisions, the newest last."
    help = base.help_text("config history", "config history --last 5 --json")
    options = [
        base.JSON,
        base.STORE,
        option("last", None, "Number of revisions.", flag=False, default="20"),
    ]

    def perform(self) -> base.Exit:
        """Prints a row for each revision."""
        last = base.parse_whole_number("--last", self.option("last")) or 0
        records = with_store(self.option("store"), apply.history)
        items = [_history_row(r) for r in records[len(records) - last :]]
        self.show({"items": items}, base.table(items, HISTORY_COLUMNS))
        return base.Exit.OK


def _history_row(record: dict[str, Any]) -> dict[str, Any]:
    applied_at = time.gmtime(record["time"])
    return {
        "revision": record["revision"],
        "time": time.strftime("%Y-%m-%dT%H:%M:%SZ", applied_at),
        "author": record["author"],
        "write": record["write"],
        "digest": record["digest"],
    }
