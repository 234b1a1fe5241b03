"""Commands about running instances."""

import re
import time
from typing import Any

import attrs
from cleo.helpers import argument, option

from cicadafront import errors
from cicadafront.cli import base, web
from cicadafront.cli import config as cli_config
from cicadafront.config import apply

POLL_SECONDS = 0.5
SHARDS = 256


@attrs.frozen
class Known:
    """An instance as another one lists it."""

    id: str
    address: str
    alive: bool
    leaving: bool


def instances(address: str) -> list[Known]:
    """Returns the instances that the one at an address knows."""
    return [
        Known(
            str(item.get("id")),
            str(item.get("operators", "")),
            bool(item.get("alive", True)),
            bool(item.get("leaving", False)),
        )
        for item in web.items(web.request(address, "/v1/instances"))
    ]


def ask(known: list[Known], path: str) -> list[tuple[Known, web.Answer]]:
    """Asks each instance for a path."""
    requests = [(instance.address, path) for instance in known]
    return list(zip(known, web.request_all(requests), strict=True))


class ConfigStatusCommand(base.BaseCommand):
    """Compares the instances' revisions with the newest one."""

    name = "config status"
    description = "Shows which revision each instance runs."
    help = base.helped(
        "config status --wait",
        "config status --wait --revision 42 --timeout 60",
    )
    options = [
        base.JSON,
        base.ADDRESS,
        base.STORE,
        option("wait", "w", "Wait until no instance lags."),
        option(
            "revision",
            None,
            "Revision to compare with (default: that of the store).",
            flag=False,
        ),
        option("timeout", None, "Seconds to wait.", flag=False, default="30"),
    ]

    def perform(self) -> base.Exit:
        """Prints revisions until none lags or the time is over."""
        wanted = base.whole_number("--revision", self.option("revision"))
        limit = base.whole_number("--timeout", self.option("timeout")) or 0
        ends = time.monotonic() + limit
        if wanted is None:
            wanted = self._newest()
        shown = ""
        while True:
            try:
                rows = self._rows(wanted)
            except web.InstanceError as error:
                # The asked instance may be restarting.
                if not self.option("wait") or time.monotonic() >= ends:
                    raise
                self.note(error.message)
                time.sleep(POLL_SECONDS)
                continue
            lagging = [row["instance"] for row in rows if row["state"] != "ok"]
            progress = (
                f"{len(rows) - len(lagging)} of {len(rows)} instances run the"
                " wanted revision"
            )
            if not self.option("wait") or not lagging:
                break
            if progress != shown:
                self.note(progress)
                shown = progress
            if time.monotonic() >= ends:
                break
            time.sleep(POLL_SECONDS)
        target = "newest" if wanted is None else wanted
        lines = [*base.table(rows), f"{progress} ({target})"]
        if lagging:
            lines.append(f"lagging: {', '.join(lagging)}")
        self.show(
            {"revision": wanted, "items": rows, "lagging": lagging}, lines
        )
        return base.Exit.LAGGING if lagging else base.Exit.OK

    def _newest(self) -> int | None:
        """Returns the store's revision, or None while the store is away."""
        try:
            stored = cli_config.with_store(
                self.option("store"), apply.read_manifest
            )
        except errors.StoreUnavailableError as error:
            self.note(f"{error.message}; comparing the instances only")
            return None
        return stored.manifest.revision if stored.manifest else 0

    def _rows(self, wanted: int | None) -> list[dict[str, Any]]:
        running = [
            i
            for i in instances(self.option("address"))
            if i.alive and not i.leaving
        ]
        if not running:
            raise base.NotFoundError(
                f"{self.option('address')} lists no running instance; ask"
                " another one with --address"
            )
        rows = [
            {"instance": instance.id, **_revision(answer)}
            for instance, answer in ask(running, "/status")
        ]
        least = wanted
        if least is None:
            least = max(row["revision"] or 0 for row in rows)
        for row in rows:
            if row["revision"] is not None and row["revision"] < least:
                row["state"] = "lagging"
        return rows


def _revision(answer: web.Answer) -> dict[str, Any]:
    if not answer.good:
        return {"revision": None, "state": answer.reason}
    revision = answer.data.get("revision")
    if not isinstance(revision, int):
        return {"revision": None, "state": "reports no revision"}
    return {"revision": revision, "state": "ok"}


class StatusCommand(base.BaseCommand):
    """Shows what each instance reports of itself."""

    name = "status"
    description = "Shows the state of all instances."
    help = base.helped("status", "status --address 10.0.1.7:9090 --json")
    options = [base.JSON, base.ADDRESS]

    def perform(self) -> base.Exit:
        """Prints a row for each instance."""
        items = []
        missing = False
        for instance, answer in ask(
            instances(self.option("address")), "/status"
        ):
            state = "leaving" if instance.leaving else "alive"
            if not answer.good:
                state = answer.reason if instance.alive else "dead"
                missing |= instance.alive
            row = {"instance": instance.id, "state": state}
            items.append(
                row | {k: v for k, v in answer.data.items() if k not in row}
            )
        self.show({"items": items}, base.table(items))
        return base.Exit.UNAVAILABLE if missing else base.Exit.OK


class _ListCommand(base.BaseCommand):
    """Prints the items of one path of one instance."""

    options = [base.JSON, base.ADDRESS]
    path = ""
    columns: tuple[str, ...] = ()

    def perform(self) -> base.Exit:
        """Prints a row for each item."""
        data = web.request(self.option("address"), self.path)
        items = self.chosen(web.items(data))
        self.show({"items": items}, base.table(items, self.columns))
        return base.Exit.OK

    def chosen(self, items: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns the items to print."""
        return items


class TargetsCommand(_ListCommand):
    """Lists targets."""

    name = "targets"
    description = "Lists the targets that an instance knows."
    help = base.helped("targets", "targets --service ledger")
    options = [
        base.JSON,
        base.ADDRESS,
        option("service", None, "Only targets of this service.", flag=False),
    ]
    path = "/v1/targets"
    columns = ("id", "service", "instance", "state")

    def chosen(self, items: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns the targets of the wanted service."""
        service = self.option("service")
        return [i for i in items if service in (None, i.get("service"))]


class AccountsCommand(_ListCommand):
    """Lists client accounts."""

    name = "accounts"
    description = "Lists the client accounts with their use."
    help = base.helped("accounts --json")
    path = "/v1/accounts"
    columns = ("id", "rate", "burst", "weight")


class TraceCommand(base.BaseCommand):
    """Collects the spans of one request."""

    name = "trace"
    description = "Shows the spans of a request from all instances."
    help = base.helped("trace 4bf92f3577b34da6a3ce929d0e0e4736")
    arguments = [argument("id", "Trace id: 32 hexadecimal digits.")]
    options = [base.JSON, base.ADDRESS]

    def perform(self) -> base.Exit:
        """Prints the spans by start time."""
        id = self.argument("id").lower()
        if not re.fullmatch(r"[0-9a-f]{32}", id):
            raise base.UsageError(
                f"{id[:60]!r} is no trace id; write 32 hexadecimal digits, as"
                " in the second field of `traceparent`"
            )
        running = [i for i in instances(self.option("address")) if i.alive]
        spans, silent = [], []
        for instance, answer in ask(running, f"/v1/traces/{id}"):
            if answer.good:
                spans += [
                    {"instance": instance.id} | span
                    for span in web.items(answer.data)
                ]
            elif answer.status != 404:
                silent.append(instance.id)
        if silent:
            self.note(f"no answer from: {', '.join(silent)}")
        if not spans:
            raise base.NotFoundError(
                f"no instance that answered holds spans of {id}; traces are"
                " kept for a limited time"
            )
        spans.sort(key=_start)
        self.show({"items": spans, "silent": silent}, base.table(spans))
        return base.Exit.OK


def _start(span: dict[str, Any]) -> float:
    start = span.get("start")
    return float(start) if isinstance(start, int | float) else 0.0


class ShardReleaseCommand(base.BaseCommand):
    """Lets another instance claim a shard whose owners are gone."""

    name = "shard release"
    description = "States that owner and deputy of a shard have stopped."
    help = base.helped("shard release 17 --yes") + (
        "\n\nRelease a shard only when the processes of its owner and its"
        " deputy\nhave certainly ended: if one still acts, rates are admitted"
        " twice and\nrequests with an idempotency key may run twice.\n\nWith"
        " --clear, new keys run again in a shard whose earlier keys were"
        " lost:\na repeated request whose record was lost then runs again."
    )
    arguments = [argument("shard", f"Number from 0 to {SHARDS - 1}.")]
    options = [
        base.JSON,
        base.ADDRESS,
        option("yes", "y", "Do not ask for confirmation."),
        option("clear", None, "Clear the shard after an unclean claim."),
    ]

    def perform(self) -> base.Exit:
        """Asks for confirmation and releases or clears the shard."""
        shard = base.whole_number("shard", self.argument("shard"))
        if shard is None or shard >= SHARDS:
            raise base.UsageError(
                f"shard {shard} does not exist; write 0 to {SHARDS - 1}"
            )
        action, done = "release", "released"
        question = (
            "Have the processes of its owner and its deputy certainly ended?"
        )
        remedy = "end both processes first, then confirm"
        if self.option("clear"):
            action, done = "clear", "cleared"
            question = "Is it certain that no lost request is sent again?"
            remedy = "wait until callers have given up, then confirm"
        if not self.option("yes") and not self.confirm(question):
            raise base.UsageError(f"not {done}; {remedy}")
        path = f"/v1/shards/{shard}/{action}"
        data = web.request(self.option("address"), path, "POST")
        self.show({"shard": shard} | data, [f"shard {shard} is {done}"])
        return base.Exit.OK
