"""Time until a gray target is ejected, under 20 requests/s a target.

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
# Stated targets of the detection time (docs/design.md, 1.3).
MEDIAN_SECONDS = 1.0
WORST_SECONDS = 3.0
# A trial without ejection ends here.
LIMIT_SECONDS = 10.0
# Ejection takes 5 s and the rise of the weight 10 s.
RECOVERY_SECONDS = 30.0
# Permits of a former owner end within 5 s of its last renewal.
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
    """One gray target.

    Attributes:
        kind: Kind of its fault.
        target: Its id.
        seconds: Time until all instances reported it as ejected.
        failed: Requests without a whole, good answer in that time.
        sent: Requests sent in that time.
    """

    kind: str
    target: str
    seconds: float
    failed: int
    sent: int


class Gray:
    """Load on one service, and one gray target after the other."""

    def __init__(self, run: world.World):
        self.world = run
        # One client: each new one loads the trust roots of TLS, which takes
        # more processor time than the requests.
        self.caller = callers.Caller(run.reactor, world.TOKENS["riders"])
        self.loading = True
        self.sent = 0
        self.failed = 0
        self.pending: set[defer.Deferred[Any]] = set()

    async def run(self, repeats: int) -> list[Trial]:
        """Runs all trials."""
        trials: list[Trial] = []
        # Targets are cold for 10 s after their start, which their weight
        # does not show.
        await self.world.pause(COLD_SECONDS)

        async def trying() -> None:
            number = 0
            for _ in range(repeats):
                for kind in FAULTS:
                    number += 1
                    await self.warm()
                    # Repeated ejections of one target would grow longer.
                    target = f"{SERVICE}-{number % 6 + 1}"
                    trials.append(await self.trial(kind, target))
            self.loading = False

        await self.world.together(self.load(), trying())
        return trials

    async def load(self) -> None:
        """Sends reads at a constant rate, whatever becomes of them."""
        targets = [
            target
            for target in self.world.fleet.targets.values()
            if target.service == SERVICE
        ]
        interval = 1 / (RATE_PER_TARGET * len(targets))
        start, number = time.monotonic(), 0
        while self.loading:
            while start + number * interval <= time.monotonic():
                self.send(number)
                number += 1
            await self.world.pause(interval)
        await defer.gatherResults(list(self.pending))

    def send(self, number: int) -> None:
        """Sends one read."""
        edge_url = self.world.edge_urls[number % len(self.world.edge_urls)]
        url = f"{edge_url}/{SERVICE}/gray-{number}"
        sending = defer.ensureDeferred(self.caller.send("GET", url))
        self.sent += 1
        self.pending.add(sending)
        sending.addCallback(self.ended, sending)

    def ended(
        self, answer: callers.Response, sending: "defer.Deferred[Any]"
    ) -> None:
        """Counts how a read ended."""
        self.pending.discard(sending)
        self.failed += not answer.ok

    async def trial(self, kind: str, target: str) -> Trial:
        """Makes a target gray and waits for its ejection and recovery."""
        url = f"{self.world.fleet.targets[target].url}/_emulator/fault"
        sent, failed, start = self.sent, self.failed, time.monotonic()
        await self.world.admin.send(
            "PUT", url, json.dumps(FAULTS[kind]).encode()
        )
        seconds = LIMIT_SECONDS
        while time.monotonic() < start + LIMIT_SECONDS:
            if await self.states(target) == {"ejected"}:
                seconds = time.monotonic() - start
                break
            await self.world.pause(POLL_SECONDS)
        count = self.sent - sent
        await self.world.fault(target, "none")
        return Trial(kind, target, seconds, self.failed - failed, count)

    async def warm(self) -> None:
        """Waits until all targets take their full share.

        Cold targets do not count as healthy capacity, so that the floor of
        the service would forbid an ejection (P1).
        """

        async def all_warm() -> bool:
            items = await self.items()
            return all(
                item["state"] == "serving" and item["weight"] >= 1
                for item in items
                if item["service"] == SERVICE
            )

        await self.world.wait_until(all_warm, RECOVERY_SECONDS)
        await self.world.pause(WARM_SECONDS)

    async def states(self, target: str) -> set[str]:
        """Returns the states of a target that the instances report."""
        items = await self.items()
        return {item["state"] for item in items if item["id"] == target}

    async def items(self) -> list[dict[str, Any]]:
        """Returns the targets that the instances report."""
        found = []
        for instance in self.world.fleet.instances.values():
            answer = await self.world.admin.send(
                "GET", f"{instance.operators_url}/v1/targets"
            )
            found += answer.json()["items"] if answer.ok else []
        return found


def table(trials: list[Trial]) -> str:
    """Returns the figures by kind of fault."""
    lines = ["fault    median s  worst s  failed  sent until ejection"]
    for kind in FAULTS:
        those = [trial for trial in trials if trial.kind == kind]
        times = [trial.seconds for trial in those]
        failed = sum(trial.failed for trial in those)
        sent = sum(trial.sent for trial in those)
        median, worst = statistics.median(times), max(times)
        line = f"{kind:8} {median:8.2f} {worst:8.2f} {failed:7} {sent:6}"
        lines.append(line)
    return "\n".join(lines)


def failures(trials: list[Trial]) -> list[str]:
    """Returns the bounds of design 1.3 that do not hold."""
    wrong = []
    for kind in FAULTS:
        times = [trial.seconds for trial in trials if trial.kind == kind]
        if statistics.median(times) >= MEDIAN_SECONDS:
            wrong.append(f"{kind}: median {statistics.median(times):.2f} s")
        if max(times) >= WORST_SECONDS:
            wrong.append(f"{kind}: worst {max(times):.2f} s")
    return wrong


def measure(seed: int, repeats: int) -> list[str]:
    """Runs all trials, prints the table; returns what does not hold."""
    trials = world.run(seed, lambda run: Gray(run).run(repeats))
    print(table(trials), flush=True)
    return failures(trials)


def main() -> int:
    """Measures with several repeats."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    wrong = measure(options.seed, options.repeats)
    print("\n".join(wrong) or "ok")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
