"""Leaving targets, planned stops, and a restart of the whole fleet."""

import collections
import signal
import time
from typing import Any

from twisted.internet import defer

from cicadafront.emulator import callers
from cicadafront.health import probe
from tests.system import world

# A leaving target gets no new work after this time (P7).
LEAVE_SECONDS = 2.0
# Time in which a leaving target is watched after that.
WATCH_SECONDS = 4.0
TICK_SECONDS = 0.1
# Time until a slow upload is answered, so that a stop meets it midway.
SLOW_MS = 1500
UPLOAD_BYTES = 300_000
STOP_SECONDS = 30.0
OLD_KEYS = 20
# Limit of the start, as in the demo; no stated target.
START_SECONDS = 30.0


class Departures:
    """The scenarios, each on the same fleet.

    Attributes:
        figures: What was measured.
        wrong: What contradicts a promise.
    """

    def __init__(self, run: world.World):
        self.world = run
        self.figures: dict[str, Any] = {}
        self.wrong: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.pending: list[defer.Deferred[Any]] = []
        self.loading = False

    async def run(self) -> "Departures":
        """Runs the scenarios in turn."""
        await self.leaving_target()
        await self.planned_stop()
        await self.whole_restart()
        return self

    async def load(self, stopping: set[str]) -> None:
        """Sends reads and slow uploads through all entries.

        Args:
            stopping: Entries that are being stopped; their listener is
                closed, so they get no new requests.
        """
        number = 0
        while self.loading:
            for edge_url in self.world.edge_urls:
                number += 1
                if edge_url in stopping:
                    continue
                self.send("GET", f"{edge_url}/rounds/load-{number}")
                if number % 7 == 0:
                    path = f"/proofs/load-{number}?delay={SLOW_MS}"
                    self.send("PUT", edge_url + path)
            await self.world.pause(TICK_SECONDS)
        await defer.gatherResults(self.pending)

    def send(self, method: str, url: str) -> None:
        """Starts one request and counts its ending."""
        caller = callers.Caller(self.world.reactor, world.TOKENS["riders"])
        body = b"x" * UPLOAD_BYTES if method == "PUT" else None
        sending = defer.ensureDeferred(caller.send(method, url, body))
        self.pending.append(sending.addCallback(self.count, method))

    def count(self, answer: callers.Response, method: str) -> None:
        """Counts how a request ended."""
        ending = "whole" if answer.ok else answer.code
        self.counts[f"{method} {ending}"] += 1

    async def under_load(self, action: Any, stopping: set[str]) -> None:
        """Runs an action while requests are sent; all must end whole."""
        self.counts.clear()
        self.pending.clear()
        self.loading = True

        async def acting() -> None:
            await self.world.pause(2.0)
            await action
            self.loading = False

        await self.world.together(self.load(stopping), acting())

    def all_whole(self, name: str) -> None:
        """Notes the endings; each request must have ended whole."""
        self.figures[name] = dict(self.counts)
        if not all(key.endswith(" whole") for key in self.counts):
            self.wrong.append(f"{name}: {dict(self.counts)}")

    async def leaving_target(self) -> None:
        """Lets a target leave, and watches what it still gets."""
        await self.under_load(self._leave("rounds-3"), set())
        self.all_whole("leaving target")

    async def _leave(self, id: str) -> None:
        url = f"{self.world.fleet.targets[id].url}/_emulator"
        before = await self._ran(url)
        await self.world.admin.send("PUT", f"{url}/leave", b"{}")
        await self.world.pause(LEAVE_SECONDS)
        at_limit = await self._ran(url)
        await self.world.pause(WATCH_SECONDS)
        late = await self._ran(url) - at_limit
        self.figures["runs of the leaving target"] = {
            "before": before,
            "within 2 s": at_limit - before,
            "later": late,
        }
        if late or not before:
            self.wrong.append(f"{late} runs after the leave, {before} before")

    async def _ran(self, url: str) -> int:
        answer = await self.world.admin.send("GET", f"{url}/runs")
        runs = answer.json()["runs"]
        return sum(run["path"] != probe.PATH for run in runs)

    async def planned_stop(self) -> None:
        """Stops an instance while reads and uploads run everywhere."""
        stopping: set[str] = set()
        await self.under_load(self._stop(stopping), stopping)
        self.all_whole("planned stop")
        instance = list(self.world.fleet.instances.values())[-1]
        await self.world.restart(instance)
        await self._serving()

    async def _serving(self) -> None:
        if not await self.world.wait_until(self.world.all_ready, START_SECONDS):
            self.wrong.append("the fleet is not ready after a restart")

    async def _stop(self, stopping: set[str]) -> None:
        instance = list(self.world.fleet.instances.values())[-1]
        process = instance.process
        assert process is not None
        stopping.add(instance.edge_url)
        # Requests that were just sent reach the listener before it closes.
        await self.world.pause(0.1)
        process.signal(signal.SIGTERM)

        async def ended() -> bool:
            return not process.running()

        start = time.monotonic()
        await self.world.wait_until(ended, STOP_SECONDS)
        self.figures["stop seconds"] = round(time.monotonic() - start, 1)
        if process.wait(0.1) != 0:
            self.wrong.append("the stopped instance did not end with 0")

    async def whole_restart(self) -> None:
        """Stops and starts all instances; pays with old and new keys."""
        edge_urls = self.world.edge_urls
        for number in range(OLD_KEYS):
            answer = await self.pay(edge_urls[number % 3], f"old-{number}")
            self.figures.setdefault("old payments", collections.Counter())[
                answer.code or "whole"
            ] += 1
        instances = list(self.world.fleet.instances.values())
        processes = [item.process for item in instances]
        for process in processes:
            assert process is not None
            process.signal(signal.SIGTERM)

        async def ended() -> bool:
            return not any(item and item.running() for item in processes)

        await self.world.wait_until(ended, STOP_SECONDS)
        start = time.monotonic()
        await self.world.together(*map(self.world.restart, instances))
        seconds = {}
        for account in world.TOKENS:
            seconds[account] = await self._first_payment(account, start)
        self.figures["new payments after, s"] = seconds
        again: collections.Counter[str] = collections.Counter()
        for number in range(OLD_KEYS):
            answer = await self.pay(edge_urls[-number % 3], f"old-{number}")
            again[f"{answer.status} {answer.code}"] += 1
        self.figures["old keys again"] = dict(again)
        await self.world.pause(1.0)
        runs = collections.Counter(
            run.request
            for run in self.world.executions()
            if run.request.startswith(("old-", "new-"))
        )
        twice = [request for request, count in runs.items() if count > 1]
        if twice or len(runs) < OLD_KEYS:
            self.wrong.append(f"ran twice: {twice}, {len(runs)} payments ran")

    async def _first_payment(self, account: str, start: float) -> float | None:
        """Pays with new keys until one works on each instance."""
        number = 0
        for edge_url in self.world.edge_urls:
            while True:
                number += 1
                name = f"new-{account}-{number}"
                answer = await self.pay(edge_url, name, account)
                if answer.ok:
                    break
                if time.monotonic() - start > START_SECONDS:
                    self.wrong.append(f"no new payment: {answer.code}")
                    return None
                await self.world.pause(0.2)
        return round(time.monotonic() - start, 1)

    async def pay(
        self, edge_url: str, name: str, account: str = "payments"
    ) -> callers.Response:
        """Sends one payment with an idempotency key."""
        caller = callers.Caller(self.world.reactor, world.TOKENS[account])
        url = f"{edge_url}/payments/{name}"
        return await caller.send("POST", url, b"{}", Idempotency_Key=name)
