"""Draining targets, planned stops, and a restart of the whole fleet."""

import collections
import signal
import time
from typing import Any

from twisted.internet import defer

from cicadafront.emulator import callers
from cicadafront.health import probe
from tests.system import world

# A draining target gets no new requests after this time (P7).
DRAIN_LIMIT_SECONDS = 2.0
# Time for which a draining target is observed after that.
WATCH_SECONDS = 4.0
SEND_INTERVAL_SECONDS = 0.1
# Delay of the response to a slow upload, so that a stop begins while it is in
# flight.
UPLOAD_DELAY_MS = 1500
UPLOAD_BYTES = 300_000
STOP_SECONDS = 30.0
OLD_KEYS = 20
# Time limit of a start, the same as in the demo. The design states no bound for
# it.
START_SECONDS = 30.0


class Departures:
    """The scenarios, run one after the other on the same fleet.

    Attributes:
        figures: Measurements by name.
        problems: Violated guarantees.
    """

    def __init__(self, harness: world.FleetHarness):
        self.harness = harness
        self.figures: dict[str, Any] = {}
        self.problems: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.pending: list[defer.Deferred[Any]] = []
        self.loading = False

    async def run(self) -> "Departures":
        """Runs the scenarios one after the other."""
        await self.drain_target()
        await self.planned_stop()
        await self.full_restart()
        return self

    async def load(self, stopping: set[str]) -> None:
        """Sends reads and slow uploads to the edge of all instances.

        Args:
            stopping: Edge addresses of instances that are being stopped. Their
                listener is closed, so they get no new requests.
        """
        number = 0
        while self.loading:
            for edge_url in self.harness.edge_urls:
                number += 1
                if edge_url in stopping:
                    continue
                self.send("GET", f"{edge_url}/rounds/load-{number}")
                if number % 7 == 0:
                    path = f"/proofs/load-{number}?delay={UPLOAD_DELAY_MS}"
                    self.send("PUT", edge_url + path)
            await self.harness.pause(SEND_INTERVAL_SECONDS)
        await defer.gatherResults(self.pending)

    def send(self, method: str, url: str) -> None:
        """Starts one request and counts how it ends."""
        caller = callers.Caller(self.harness.reactor, world.TOKENS["riders"])
        body = b"x" * UPLOAD_BYTES if method == "PUT" else None
        sending = defer.ensureDeferred(caller.send(method, url, body))
        self.pending.append(sending.addCallback(self.count, method))

    def count(self, response: callers.Response, method: str) -> None:
        """Counts how a request ended."""
        ending = "whole" if response.ok else response.code
        self.counts[f"{method} {ending}"] += 1

    async def under_load(self, action: Any, stopping: set[str]) -> None:
        """Runs an action under load; all requests must get a response."""
        self.counts.clear()
        self.pending.clear()
        self.loading = True

        async def acting() -> None:
            await self.harness.pause(2.0)
            await action
            self.loading = False

        await self.harness.gather(self.load(stopping), acting())

    def check_all_complete(self, name: str) -> None:
        """Records the counts; each request must have a complete response."""
        self.figures[name] = dict(self.counts)
        if not all(key.endswith(" whole") for key in self.counts):
            self.problems.append(f"{name}: {dict(self.counts)}")

    async def drain_target(self) -> None:
        """Drains a target and counts the requests that it still runs."""
        await self.under_load(self._drain_target("rounds-3"), set())
        self.check_all_complete("leaving target")

    async def _drain_target(self, id: str) -> None:
        url = f"{self.harness.fleet.targets[id].url}/_emulator"
        before = await self._run_count(url)
        await self.harness.admin.send("PUT", f"{url}/leave", b"{}")
        await self.harness.pause(DRAIN_LIMIT_SECONDS)
        at_limit = await self._run_count(url)
        await self.harness.pause(WATCH_SECONDS)
        late = await self._run_count(url) - at_limit
        self.figures["runs of the leaving target"] = {
            "before": before,
            "within 2 s": at_limit - before,
            "later": late,
        }
        if late or not before:
            self.problems.append(
                f"{late} runs after the drain limit, {before} before"
            )

    async def _run_count(self, url: str) -> int:
        response = await self.harness.admin.send("GET", f"{url}/runs")
        runs = response.json()["runs"]
        return sum(run["path"] != probe.PATH for run in runs)

    async def planned_stop(self) -> None:
        """Stops an instance while all instances serve reads and uploads."""
        stopping: set[str] = set()
        await self.under_load(self._stop(stopping), stopping)
        self.check_all_complete("planned stop")
        instance = list(self.harness.fleet.instances.values())[-1]
        await self.harness.restart(instance)
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        if not await self.harness.wait_until(
            self.harness.all_ready, START_SECONDS
        ):
            self.problems.append(
                "the fleet was not ready in time after a restart"
            )

    async def _stop(self, stopping: set[str]) -> None:
        instance = list(self.harness.fleet.instances.values())[-1]
        process = instance.process
        assert process is not None
        stopping.add(instance.edge_url)
        # Lets requests that were just sent reach the listener before it closes.
        await self.harness.pause(0.1)
        process.signal(signal.SIGTERM)

        async def ended() -> bool:
            return not process.running()

        start = time.monotonic()
        await self.harness.wait_until(ended, STOP_SECONDS)
        self.figures["stop seconds"] = round(time.monotonic() - start, 1)
        if process.wait(0.1) != 0:
            self.problems.append(
                "the stopped instance did not exit with status 0"
            )

    async def full_restart(self) -> None:
        """Restarts all instances; pays with old and new idempotency keys."""
        edge_urls = self.harness.edge_urls
        for number in range(OLD_KEYS):
            response = await self.pay(edge_urls[number % 3], f"old-{number}")
            self.figures.setdefault("old payments", collections.Counter())[
                response.code or "whole"
            ] += 1
        instances = list(self.harness.fleet.instances.values())
        processes = [item.process for item in instances]
        for process in processes:
            assert process is not None
            process.signal(signal.SIGTERM)

        async def ended() -> bool:
            return not any(item and item.running() for item in processes)

        await self.harness.wait_until(ended, STOP_SECONDS)
        start = time.monotonic()
        await self.harness.gather(*map(self.harness.restart, instances))
        seconds = {}
        for account in world.TOKENS:
            seconds[account] = await self._first_payment(account, start)
        self.figures["new payments after, s"] = seconds
        repeated_payments: collections.Counter[str] = collections.Counter()
        for number in range(OLD_KEYS):
            response = await self.pay(edge_urls[-number % 3], f"old-{number}")
            repeated_payments[f"{response.status} {response.code}"] += 1
        self.figures["old keys again"] = dict(repeated_payments)
        await self.harness.pause(1.0)
        runs = collections.Counter(
            run.request
            for run in self.harness.executions()
            if run.request.startswith(("old-", "new-"))
        )
        twice = [request for request, count in runs.items() if count > 1]
        if twice or len(runs) < OLD_KEYS:
            self.problems.append(
                f"payments that ran twice: {twice}, {len(runs)} payments ran"
            )

    async def _first_payment(self, account: str, start: float) -> float | None:
        """Pays with new keys until a payment succeeds on each instance.

        Args:
            account: Client account that pays.
            start: Time of the restart in seconds.

        Returns:
            Seconds since the restart, or None if a payment did not succeed
            in time.
        """
        number = 0
        for edge_url in self.harness.edge_urls:
            while True:
                number += 1
                name = f"new-{account}-{number}"
                response = await self.pay(edge_url, name, account)
                if response.ok:
                    break
                if time.monotonic() - start > START_SECONDS:
                    self.problems.append(
                        f"no new payment in time: {response.code}"
                    )
                    return None
                await self.harness.pause(0.2)
        return round(time.monotonic() - start, 1)

    async def pay(
        self, edge_url: str, name: str, account: str = "payments"
    ) -> callers.Response:
        """Sends one payment with an idempotency key."""
        caller = callers.Caller(self.harness.reactor, world.TOKENS[account])
        url = f"{edge_url}/payments/{name}"
        return await caller.send("POST", url, b"{}", Idempotency_Key=name)
