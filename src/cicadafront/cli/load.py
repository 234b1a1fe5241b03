"""Command that sends load and reports percentiles per client account."""

from typing import Any

from cleo.helpers import option
from twisted.internet import defer

from cicadafront.cli import base, loop
from cicadafront.emulator import load


def _account(text: str) -> load.AccountLoad:
    """Parses `NAME=TOKEN@RATE`; the token may be empty."""
    name, equals, rest = text.partition("=")
    token, at, rate = rest.rpartition("@")
    try:
        if not (name and equals and at) or float(rate) <= 0:
            raise ValueError
        return load.AccountLoad(name, token, float(rate))
    except ValueError:
        raise base.UsageError(
            f"--account {text[:60]!r}: write NAME=TOKEN@RATE, such as "
            "riders=cf_example1_public-token-1@50"
        ) from None


class LoadCommand(base.BaseCommand):
    """Sends requests at fixed rates to entries."""

    name = "load"
    description = "Sends load and reports latencies per client account."
    help = base.helped(
        "load --entry http://127.0.0.1:8080 "
        "--account riders=cf_example1_public-token-1@50 --path /rounds/today",
        "load --entry http://127.0.0.1:8080 --entry http://127.0.0.1:8081 "
        "--account riders=TOKEN@50 --account staff=TOKEN@5 --seconds 30 --json",
    )
    options = [
        base.JSON,
        option("entry", None, "URL of an entry.", flag=False, multiple=True),
        option("account", None, "NAME=TOKEN@RATE.", flag=False, multiple=True),
        option("path", None, "Path and query.", flag=False, default="/"),
        option("method", None, "HTTP method.", flag=False, default="GET"),
        option("body", None, "Body size in bytes.", flag=False, default="0"),
        option("seconds", None, "Length of run.", flag=False, default="10"),
        option("seed", None, "Seed of send times.", flag=False, default="1"),
        option("keys", None, "Send an Idempotency-Key with each request."),
    ]

    def perform(self) -> base.Exit:
        """Runs the load and prints a row for each account."""
        chosen = self._chosen()
        reports = loop.call(lambda: _run(chosen))
        rows = [report.as_json() for report in reports]
        self.show({"seed": chosen.seed, "items": rows}, base.table(rows))
        return base.Exit.OK

    def _chosen(self) -> load.LoadOptions:
        edge_urls = tuple(url.rstrip("/") for url in self.option("entry"))
        accounts = tuple(_account(text) for text in self.option("account"))
        if not edge_urls or not accounts:
            raise base.UsageError(
                "give at least one --entry URL and one --account"
            )
        return load.LoadOptions(
            edge_urls=edge_urls,
            accounts=accounts,
            seconds=base.whole_number("--seconds", self.option("seconds")) or 1,
            method=self.option("method"),
            path=self.option("path"),
            body_bytes=base.whole_number("--body", self.option("body")) or 0,
            idempotency_keys=bool(self.option("keys")),
            seed=base.whole_number("--seed", self.option("seed")) or 0,
        )


def _run(chosen: load.LoadOptions) -> Any:
    generator = load.LoadGenerator(chosen, loop.reactor())
    return defer.ensureDeferred(generator.run())
