"""Open-loop load generator that reports percentiles per client account."""

import collections
import itertools
import json
import random
from collections.abc import Iterator
from typing import Any

import attrs
import treq
from hdrh import histogram
from treq import client as treq_client
from twisted.internet import defer, task
from twisted.web import client as web_client

from cicadafront.telemetry import metrics

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# Requests of one client account that may be in flight. Further ones are
# counted as skipped, so that a stalled fleet does not exhaust the memory and
# sockets of the load generator.
MAX_IN_FLIGHT = 2_000


@attrs.frozen
class AccountLoad:
    """Load of one client account.

    Attributes:
        account: Name of the client account in the report.
        token: API key sent as bearer token, or empty.
        rate: Requests per second.
    """

    account: str
    token: str
    rate: float


@attrs.frozen
class LoadOptions:
    """Requests to send.

    Attributes:
        edge_urls: Base URLs of instances; each request goes to a random one.
        accounts: Load of each client account.
        seconds: Duration of the run.
        method: HTTP method.
        path: Path and query string.
        body_bytes: Size of the request body.
        idempotency_keys: Whether each request has its own `Idempotency-Key`.
        timeout: Seconds after which a request counts as failed.
        seed: Seed of the random choice of URLs and of the send times.
    """

    edge_urls: tuple[str, ...]
    accounts: tuple[AccountLoad, ...]
    seconds: float = 10.0
    method: str = "GET"
    path: str = "/"
    body_bytes: int = 0
    idempotency_keys: bool = False
    timeout: float = 30.0
    seed: int = 1


@attrs.define
class AccountReport:
    """Results of the requests of one client account.

    Attributes:
        sent: Requests sent.
        skipped: Requests not sent because too many were in flight.
        codes: Number of requests by error code; "ok" for 2xx responses.
        latency: Latencies of 2xx responses in microseconds, measured from
            the intended send time.
    """

    account: str
    sent: int = 0
    skipped: int = 0
    codes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    latency: histogram.HdrHistogram = attrs.field(factory=metrics.new_histogram)

    def as_json(self) -> dict[str, Any]:
        """Returns the report with latency percentiles in milliseconds."""
        values = {
            f"p{percentile:g}_ms": self.latency.get_value_at_percentile(
                percentile
            )
            / 1000
            for percentile in PERCENTILES
        }
        return {
            "account": self.account,
            "sent": self.sent,
            "skipped": self.skipped,
            "ok_share": self.codes["ok"] / self.sent if self.sent else 0.0,
            "codes": dict(self.codes),
            **values,
        }


class LoadGenerator:
    """Sends the load and collects the reports."""

    def __init__(self, options: LoadOptions, reactor: Any):
        self.options = options
        self.reactor = reactor
        self.random = random.Random(options.seed)
        self.serials = itertools.count(1)
        pool = web_client.HTTPConnectionPool(reactor, persistent=True)
        # Disabled, since a retry by the pool would send a request twice.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 64
        self.pool = pool
        agent: Any = web_client.Agent(reactor, pool=pool, connectTimeout=5)
        self.client = treq_client.HTTPClient(agent)
        self.reports = {
            load.account: AccountReport(load.account)
            for load in options.accounts
        }
        self.in_flight: dict[str, int] = collections.Counter()

    async def run(self) -> list[AccountReport]:
        """Sends all requests and waits for the last response."""
        senders = [
            defer.ensureDeferred(self.send_all(load))
            for load in self.options.accounts
        ]
        await defer.gatherResults(senders, consumeErrors=True)
        await self.pool.closeCachedConnections()
        return list(self.reports.values())

    def send_times(self, load: AccountLoad) -> Iterator[float]:
        """Yields the send times of a Poisson process, in seconds from start."""
        draws = random.Random(f"{self.options.seed}/{load.account}")
        at = draws.expovariate(load.rate)
        while at < self.options.seconds:
            yield at
            at += draws.expovariate(load.rate)

    async def send_all(self, load: AccountLoad) -> None:
        """Sends the requests of one client account at their send times."""
        start = self.reactor.seconds()
        report = self.reports[load.account]
        sent = []
        for at in self.send_times(load):
            wait = start + at - self.reactor.seconds()
            if wait > 0:
                await task.deferLater(self.reactor, wait)
            if self.in_flight[load.account] >= MAX_IN_FLIGHT:
                report.skipped += 1
                continue
            sent.append(defer.ensureDeferred(self.send(load, start + at)))
        await defer.gatherResults(sent, consumeErrors=True)

    async def send(self, load: AccountLoad, intended: float) -> None:
        """Sends one request and records its result.

        Args:
            load: Load that the request belongs to.
            intended: Intended send time in seconds of the reactor's clock.
        """
        report = self.reports[load.account]
        report.sent += 1
        self.in_flight[load.account] += 1
        try:
            code = await self.exchange(load)
        except Exception as error:
            code = type(error).__name__
        self.in_flight[load.account] -= 1
        report.codes[code] += 1
        if code == "ok":
            micros = int((self.reactor.seconds() - intended) * 1e6)
            report.latency.record_value(max(1, micros))

    async def exchange(self, load: AccountLoad) -> str:
        """Sends one request and returns "ok" or the error code."""
        options = self.options
        headers: dict[bytes | str, bytes | str] = {}
        if load.token:
            headers["Authorization"] = f"Bearer {load.token}"
        if options.idempotency_keys:
            serial = next(self.serials)
            headers["Idempotency-Key"] = f"{options.seed}-{serial}"
        response = await self.client.request(
            options.method,
            self.random.choice(options.edge_urls) + options.path,
            headers=headers,
            data=bytes(options.body_bytes) or None,
            timeout=options.timeout,
            allow_redirects=False,
        )
        body = await treq.content(response)
        if response.code < 300:
            return "ok"
        return error_code(response, body)


def error_code(response: Any, body: bytes) -> str:
    """Returns the error code of a problem, or else the HTTP status."""
    kind = response.headers.getRawHeaders("content-type", [""])[0]
    if kind.startswith("application/problem+json"):
        return str(json.loads(body).get("code", response.code))
    return str(response.code)
