"""Commands for running instances."""

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
class ListedInstance:
    """An instance as listed by another instance.

    Attributes:
        id: Id of the instance.
        address: Host and port of its operators' endpoints.
        alive: Whether the listing instance considers it alive.
        leaving: Whether it is in a planned stop.
    """

    id: str
    address: str
    alive: bool
    leaving: bool


def list_instances(address: str) -> list[ListedInstance]:
    """Returns the instances that the instance at an address lists.

    Raises:
        InstanceError: The instance gives no usable response.
    """
    return [
        ListedInstance(
            str(item.get("id")),
            str(item.get("operators", "")),
            bool(item.get("alive", True)),
            bool(item.get("leaving", False)),
        )
        for item in web.items(web.request(address, "/v1/instances"))
    ]


def query_instances(
    instances: list[ListedInstance], path: str
) -> list[tuple[ListedInstance, web.Response]]:
    """Sends a GET request for a path to each instance."""
    requests = [(instance.address, path) for instance in instances]
    return list(zip(instances, web.request_all(requests), strict=True))


class ConfigStatusCommand(base.BaseCommand):
    """Compares the revision of each instance with the newest one."""

    name = "config status"
    description = "Shows which revision each instance runs."
    help = base.help_text(
        "config status --wait",
        "config status --wait --revision 42 --timeout 60",
    )
    options = [
        base.JSON,
        base.ADDRESS,
        base.STORE,
        option("wait", "w", "Wait until no instance lags behind."),
        option(
            "revision",
            None,
            "Revision to compare with (default: the one in the store).",
            flag=False,
        ),
        option("timeout", None, "Seconds to wait.", flag=False, default="30"),
    ]

    def perform(self) -> base.Exit:
        """Prints the revisions; with `--wait`, polls until none lags behind."""
        wanted = base.parse_whole_number("--revision", self.option("revision"))
        timeout = (
            base.parse_whole_number("--timeout", self.option("timeout")) or 0
        )
        deadline = time.monotonic() + timeout
        if wanted is None:
            wanted = self._newest()
        last_progress = ""
        while True:
            try:
                rows = self._rows(wanted)
            except web.InstanceError as error:
                # The instance at --address may be restarting.
                if not self.option("wait") or time.monotonic() >= deadline:
                    raise
                self.print_to_stderr(error.message)
                time.sleep(POLL_SECONDS)
                continue
            lagging = [row["instance"] for row in rows if row["state"] != "ok"]
            progress = (
                f"{len(rows) - len(lagging)} of {len(rows)} instances run the"
                " wanted revision"
            )
            if not self.option("wait") or not lagging:
                break
            if progress != last_progress:
                self.print_to_stderr(progress)
                last_progress = progress
            if time.monotonic() >= deadline:
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
        """Returns the revision in the store, or None if it is unavailable."""
        try:
            stored = cli_config.with_store(
                self.option("store"), apply.read_manifest
            )
        except errors.StoreUnavailableError as error:
            self.print_to_stderr(
                f"{error.message}; comparing the instances only"
            )
            return None
        return stored.manifest.revision if stored.manifest else 0

    def _rows(self, wanted: int | None) -> list[dict[str, Any]]:
        live_instances = [
            i
            for i in list_instances(self.option("address"))
            if i.alive and not i.leaving
        ]
        if not live_instances:
            raise base.NotFoundError(
                f"{self.option('address')} lists no running instance; query"
                " another one with --address"
            )
        rows = [
            {"instance": instance.id, **_revision(response)}
            for instance, response in query_instances(live_instances, "/status")
        ]
        expected = wanted
        if expected is None:
            expected = max(row["revision"] or 0 for row in rows)
        for row in rows:
            if row["revision"] is not None and row["revision"] < expected:
                row["state"] = "lagging"
        return rows


def _revision(response: web.Response) -> dict[str, Any]:
    if not response.ok:
        return {"revision": None, "state": response.reason}
    revision = response.data.get("revision")
    if not isinstance(revision, int):
        return {"revision": None, "state": "reports no revision"}
    return {"revision": revision, "state": "ok"}


class StatusCommand(base.BaseCommand):
    """Shows the status that each instance reports."""

    name = "status"
    description = "Shows the state of all instances."
    help = base.help_text("status", "status --address 10.0.1.7:9090 --json")
    options = [base.JSON, base.ADDRESS]

    def perform(self) -> base.Exit:
        """Prints a row for each instance."""
        items = []
        any_unreachable = False
        for instance, response in query_instances(
            list_instances(self.option("address")), "/status"
        ):
            state = "leaving" if instance.leaving else "alive"
            if not response.ok:
                state = response.reason if instance.alive else "dead"
                any_unreachable |= instance.alive
            row = {"instance": instance.id, "state": state}
            items.append(
                row | {k: v for k, v in response.data.items() if k not in row}
            )
        self.show({"items": items}, base.table(items))
        return base.Exit.UNAVAILABLE if any_unreachable else base.Exit.OK


class _ListCommand(base.BaseCommand):
    """Prints the items that one instance serves at a path."""

    options = [base.JSON, base.ADDRESS]
    path = ""
    columns: tuple[str, ...] = ()

    def perform(self) -> base.Exit:
        """Prints a row for each item."""
        data = web.request(self.option("address"), self.path)
        items = self.select(web.items(data))
        self.show({"items": items}, base.table(items, self.columns))
        return base.Exit.OK

    def select(self, items: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns the items to print."""
        return items


class TargetsCommand(_ListCommand):
    """Lists targets."""

    name = "targets"
    description = "Lists the targets that an instance knows."
    help = base.help_text("targets", "targets --service ledger")
    options = [
        base.JSON,
        base.ADDRESS,
        option("service", None, "Only targets of this service.", flag=False),
    ]
    path = "/v1/targets"
    columns = ("id", "service", "instance", "state")

    def select(self, items: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns the targets of the wanted service."""
        service = self.option("service")
        return [i for i in items if service in (None, i.get("service"))]


class AccountsCommand(_ListCommand):
    """Lists client accounts."""

    name = "accounts"
    description = "Lists the client accounts with their request counts."
    help = base.help_text("accounts --json")
    path = "/v1/accounts"
    columns = ("id", "rate", "burst", "weight")


class TraceCommand(base.BaseCommand):
    """Collects the spans of one request."""

    name = "trace"
    description = "Shows the spans of a request from all instances."
    help = base.help_text("trace 4bf92f3577b34da6a3ce929d0e0e4736")
    arguments = [argument("id", "Trace id: 32 hexadecimal digits.")]
    options = [base.JSON, base.ADDRESS]

    def perform(self) -> base.Exit:
        """Prints the spans by start time."""
        id = self.argument("id").lower()
        if not re.fullmatch(r"[0-9a-f]{32}", id):
            raise base.UsageError(
                f"{id[:60]!r} is not a trace id; specify 32 hexadecimal"
                " digits, as in the second field of `traceparent`"
            )
        live_instances = [
            i for i in list_instances(self.option("address")) if i.alive
        ]
        spans, unreachable = [], []
        for instance, response in query_instances(
            live_instances, f"/v1/traces/{id}"
        ):
            if response.ok:
                spans += [
                    {"instance": instance.id} | span
                    for span in web.items(response.data)
                ]
            elif response.status != 404:
                unreachable.append(instance.id)
        if unreachable:
            self.print_to_stderr(f"no answer from: {', '.join(unreachable)}")
        if not spans:
            raise base.NotFoundError(
                f"no instance that responded holds spans of {id}; traces are"
                " kept for a limited time"
            )
        spans.sort(key=_start_time)
        self.show({"items": spans, "silent": unreachable}, base.table(spans))
        return base.Exit.OK


def _start_time(span: dict[str, Any]) -> float:
    start = span.get("start")
    return float(start) if isinstance(start, int | float) else 0.0


class ShardReleaseCommand(base.BaseCommand):
    """Lets another instance claim a shard whose owner and deputy stopped."""

    name = "shard release"
    description = "Confirms that the owner and deputy of a shard have stopped."
    help = base.help_text("shard release 17 --yes") + (
        "\n\nRelease a shard only if the processes of its owner and its"
        " deputy\nhave certainly ended: if one is still active, rates are"
        " admitted twice and\nrequests with an idempotency key may run"
        " twice.\n\nWith --clear, new idempotency keys are accepted again in a"
        " shard that lost\nits records: a retried request whose record was"
        " lost then runs again."
    )
    arguments = [argument("shard", f"Number from 0 to {SHARDS - 1}.")]
    options = [
        base.JSON,
        base.ADDRESS,
        option("yes", "y", "Do not ask for confirmation."),
        option("clear", None, "Accept new keys after an unclean claim."),
    ]

    def perform(self) -> base.Exit:
        """Prompts for confirmation and releases or clears the shard."""
        shard = base.parse_whole_number("shard", self.argument("shard"))
        if shard is None or shard >= SHARDS:
            raise base.UsageError(
                f"shard {shard} does not exist; specify 0 to {SHARDS - 1}"
            )
        action, done = "release", "released"
        question = (
            "Have the processes of its owner and its deputy certainly ended?"
        )
        hint = "end both processes first, then confirm"
        if self.option("clear"):
            action, done = "clear", "cleared"
            question = (
                "Is it certain that no request with a lost record is retried?"
            )
            hint = "wait until callers have given up, then confirm"
        if not self.option("yes") and not self.confirm(question):
            raise base.UsageError(f"not {done}; {hint}")
        path = f"/v1/shards/{shard}/{action}"
        data = web.request(self.option("address"), path, "POST")
        self.show({"shard": shard} | data, [f"shard {shard} is {done}"])
        return base.Exit.OK
