"""Measures the time until a target with a gray failure is ejected.

Each target gets 20 requests/s.

Run it with `python -m tests.system.gray --repeats 3`.
"""

import argparse
import json
import statistics
import sys
import time
from typing import Any

import attrs
from twisted.internet import defer

from cicadafront.emulator import callers
from tests.system import world

SERVICE = "rounds"
RATE_PER_TARGET = 20.0
# Bounds of the detection time (docs/design.md, 1.3).
MEDIAN_SECONDS = 1.0
WORST_SECONDS = 3.0
# A trial without an ejection ends after this time.
LIMIT_SECONDS = 10.0
# An ejection lasts 5 s, and the weight then rises for 10 s.
RECOVERY_SECONDS = 30.0
# Permits of a former owner expire within 5 s of its last renewal.
WARM_SECONDS = 2.0
COLD_SECONDS = 10.0
POLL_SECONDS = 0.1
FAULTS: dict[str, dict[str, Any]] = {
    "stall": {"fault": "stall"},
    "slow": {"fault": "slow"},
    "mangle": {"fault": "mangle"},
    "error": {"fault": "error"},
    "flap": {"fault": "error", "period": 1.0},
}


@attrs.frozen
class Trial:
    """One gray failure of a target.

    Attributes:
        kind: Kind of the fault.
        target: Id of the target.
        seconds: Time until all instances reported the target as ejected.
        failed: Requests in that time without a complete, successful response.
        sent: Requests sent in that time.
    """

    kind: str
    target: str
    seconds: float
    failed: int
    sent: int


class GrayTrials:
    """Load on one service while its targets fail one after the other."""

    def __init__(self, harness: world.FleetHarness):
        self.harness = harness
        # All requests share one client: each new client loads the trust roots
        # of TLS, which takes more processor time than the requests.
        self.caller = callers.Caller(harness.reactor, world.TOKENS["riders"])
        self.loading = True
        self.sent = 0
        self.failed = 0
        self.pending: set[defer.Deferred[Any]] = set()

    async def run(self, repeats: int) -> list[Trial]:
        """Runs all trials."""
        trials: list[Trial] = []
        # Targets are cold for 10 s after their start. Their weight does not
        # show this.
        await self.harness.pause(COLD_SECONDS)

        async def run_trials() -> None:
            number = 0
            for _ in range(repeats):
                for kind in FAULTS:
                    number += 1
                    await self.wait_until_warm()
                    # Each repeated ejection of the same target lasts longer,
                    # so the targets take turns.
                    target = f"{SERVICE}-{number % 6 + 1}"
                    trials.append(await self.trial(kind, target))
            self.loading = False

        await self.harness.gather(self.load(), run_trials())
        return trials

    async def load(self) -> None:
        """Sends reads at a constant rate (open loop)."""
        targets = [
            target
            for target in self.harness.fleet.targets.values()
            if target.service == SERVICE
        ]
        interval = 1 / (RATE_PER_TARGET * len(targets))
        start, number = time.monotonic(), 0
        while self.loading:
            while start + number * interval <= time.monotonic():
                self.send(number)
                number += 1
            await self.harness.pause(interval)
        await defer.gatherResults(list(self.pending))

    def send(self, number: int) -> None:
        """Sends one read."""
        edge_url = self.harness.edge_urls[number % len(self.harness.edge_urls)]
        url = f"{edge_url}/{SERVICE}/gray-{number}"
        request = defer.ensureDeferred(self.caller.send("GET", url))
        self.sent += 1
        self.pending.add(request)
        request.addCallback(self.count_response, request)

    def count_response(
        self, response: callers.Response, request: "defer.Deferred[Any]"
    ) -> None:
        """Counts how a read ended."""
        self.pending.discard(request)
        self.failed += not response.ok

    async def trial(self, kind: str, target: str) -> Trial:
        """Injects a fault and waits until the target is ejected."""
        url = f"{self.harness.fleet.targets[target].url}/_emulator/fault"
        sent, failed, start = self.sent, self.failed, time.monotonic()
        await self.harness.admin.send(
            "PUT", url, json.dumps(FAULTS[kind]).encode()
        )
        seconds = LIMIT_SECONDS
        while time.monotonic() < start + LIMIT_SECONDS:
            if await self.states(target) == {"ejected"}:
                seconds = time.monotonic() - start
                break
            await self.harness.pause(POLL_SECONDS)
        count = self.sent - sent
        await self.harness.fault(target, "none")
        return Trial(kind, target, seconds, self.failed - failed, count)

    async def wait_until_warm(self) -> None:
        """Waits until all targets have their full weight.

        Cold targets do not count as healthy capacity, so that the capacity
        floor of the service would forbid an ejection (P1).
        """

        async def all_warm() -> bool:
            items = await self.items()
            return all(
                item["state"] == "serving" and item["weight"] >= 1
                for item in items
                if item["service"] == SERVICE
            )

        await self.harness.wait_until(all_warm, RECOVERY_SECONDS)
        await self.harness.pause(WARM_SECONDS)

    async def states(self, target: str) -> set[str]:
        """Returns the states of a target that the instances report."""
        items = await self.items()
        return {item["state"] for item in items if item["id"] == target}

    async def items(self) -> list[dict[str, Any]]:
        """Returns the targets that the instances report."""
        found = []
        for instance in self.harness.fleet.instances.values():
            response = await self.harness.admin.send(
                "GET", f"{instance.operators_url}/v1/targets"
            )
            found += response.json()["items"] if response.ok else []
        return found


def table(trials: list[Trial]) -> str:
    """Returns a text table of the results by kind of fault."""
    lines = ["fault    median s  worst s  failed  sent until ejection"]
    for kind in FAULTS:
        selected = [trial for trial in trials if trial.kind == kind]
        times = [trial.seconds for trial in selected]
        failed = sum(trial.failed for trial in selected)
        sent = sum(trial.sent for trial in selected)
        median, worst = statistics.median(times), max(times)
        line = f"{kind:8} {median:8.2f} {worst:8.2f} {failed:7} {sent:6}"
        lines.append(line)
    return "\n".join(lines)


def failures(trials: list[Trial]) -> list[str]:
    """Returns the violated bounds of docs/design.md, 1.3."""
    problems = []
    for kind in FAULTS:
        times = [trial.seconds for trial in trials if trial.kind == kind]
        if statistics.median(times) >= MEDIAN_SECONDS:
            problems.append(f"{kind}: median {statistics.median(times):.2f} s")
        if max(times) >= WORST_SECONDS:
            problems.append(f"{kind}: worst {max(times):.2f} s")
    return problems


def measure(seed: int, repeats: int) -> list[str]:
    """Runs all trials and prints the table; returns the violated bounds."""
    trials = world.run(seed, lambda harness: GrayTrials(harness).run(repeats))
    print(table(trials), flush=True)
    return failures(trials)


def main() -> int:
    """Runs the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    problems = measure(options.seed, options.repeats)
    print("\n".join(problems) or "ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
