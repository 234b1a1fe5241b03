"""Command that generates load and reports latencies per client account."""

from typing import Any

from cleo.helpers import option
from twisted.internet import defer

from cicadafront.cli import base, loop
from cicadafront.emulator import load


def _parse_account(text: str) -> load.AccountLoad:
    """Parses `NAME=TOKEN@RATE`; the token may be empty.

    Raises:
        UsageError: The text has another form, or the rate is not positive.
    """
    name, equals, rest = text.partition("=")
    token, at, rate = rest.rpartition("@")
    try:
        if not (name and equals and at) or float(rate) <= 0:
            raise ValueError
        return load.AccountLoad(name, token, float(rate))
    except ValueError:
        raise base.UsageError(
            f"--account {text[:60]!r}: specify NAME=TOKEN@RATE, such as "
            "riders=cf_example1_public-token-1@50"
        ) from None


class LoadCommand(base.BaseCommand):
    """Sends requests to entries at fixed rates."""

    name = "load"
    description = "Generates load and reports latencies per client account."
    help = base.help_text(
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
        option("seconds", None, "Duration.", flag=False, default="10"),
        option("seed", None, "Seed of send times.", flag=False, default="1"),
        option("keys", None, "Send an Idempotency-Key with each request."),
    ]

    def perform(self) -> base.Exit:
        """Generates the load and prints a row for each account."""
        load_options = self._load_options()
        reports = loop.call(lambda: _run(load_options))
        rows = [report.as_json() for report in reports]
        self.show({"seed": load_options.seed, "items": rows}, base.table(rows))
        return base.Exit.OK

    def _load_options(self) -> load.LoadOptions:
        edge_urls = tuple(url.rstrip("/") for url in self.option("entry"))
        accounts = tuple(
            _parse_account(text) for text in self.option("account")
        )
        if not edge_urls or not accounts:
            raise base.UsageError(
                "specify at least one --entry URL and one --account"
            )
        return load.LoadOptions(
            edge_urls=edge_urls,
            accounts=accounts,
            seconds=base.parse_whole_number("--seconds", self.option("seconds"))
            or 1,
            method=self.option("method"),
            path=self.option("path"),
            body_bytes=base.parse_whole_number("--body", self.option("body"))
            or 0,
            idempotency_keys=bool(self.option("keys")),
            seed=base.parse_whole_number("--seed", self.option("seed")) or 0,
        )


def _run(load_options: load.LoadOptions) -> Any:
    generator = load.LoadGenerator(load_options, loop.reactor())
    return defer.ensureDeferred(generator.run())
