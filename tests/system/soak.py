"""Soak test: concurrent callers against a fleet under random faults.

All calls and executions are checked at the end. Run it with
`make soak-own-store SECONDS=60 SEEDS="1 2 3"`; it prints the command for each
failing seed.
"""

import argparse
import collections
import random
import signal
import subprocess
import sys
import time

import attrs

from cicadafront.emulator import callers, history, processes
from tests.system import world

CALLERS = 16
# Shorter than the timeouts of the routes, so that callers also time out.
CALL_SECONDS = 6.0
MAX_SENDS = 3
RESEND_SHARE = 0.15
# Time after the last call in which resumed processes handle pending input.
SETTLE_SECONDS = 4.0
# Calls to an instance that is down. They say nothing about the fleet and do not
# count as unknown.
NOT_CONNECTED = "unknown ConnectionRefusedError"
UPLOAD_BYTES = (1_000, 50_000, 300_000)


@attrs.frozen
class Kind:
    """One kind of request.

    Attributes:
        method: HTTP method.
        prefix: Path before the id of the request.
        repeatable: Whether the route may run it more than once.
        keyed: Whether it carries an `Idempotency-Key`.
        open: Whether the route needs no key of a client account.
        wrong_key: Whether it carries a key that was never issued, so that it
            must be refused as not executed.
    """

    method: str
    prefix: str
    repeatable: bool = False
    keyed: bool = False
    open: bool = False
    wrong_key: bool = False


KINDS = (
    Kind("GET", "/rounds/", repeatable=True),
    Kind("PUT", "/proofs/", repeatable=True),
    Kind("POST", "/payments/", keyed=True),
    Kind("POST", "/payments/"),
    Kind("POST", "/rounds/bookings/", keyed=True),
    Kind("GET", "/open/hours/", repeatable=True, open=True),
    Kind("POST", "/payments/", wrong_key=True),
)
WEIGHTS = (6, 3, 6, 2, 2, 1, 1)
TARGET_FAULTS = ("stall", "mangle", "truncate", "cross", "error", "reset")


@attrs.define
class Soak:
    """Callers and faults of one run.

    Attributes:
        harness: Harness of the fleet under test.
        seed: Seed of all draws.
        seconds: Time in which requests and faults begin.
        calls: All sends and how they ended.
        codes: Number of calls without a complete response by `executed` and
            error code.
        faults: Number of faults by kind.
        deadline: Time after which no request and no fault begins, in seconds.
        runs: Number of executions on the targets.
    """

    harness: world.FleetHarness
    seed: int
    seconds: float
    calls: list[history.Call] = attrs.field(factory=list)
    codes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    faults: collections.Counter[str] = attrs.field(factory=collections.Counter)
    deadline: float = 0.0
    runs: int = 0

    async def run(self) -> list[history.Violation]:
        """Runs the load with all faults and checks the history."""
        self.deadline = time.monotonic() + self.seconds
        load = [self.caller(number) for number in range(CALLERS)]
        await self.harness.gather(
            *load, self.instances(), self.targets(), self.store()
        )
        await self.harness.pause(SETTLE_SECONDS)
        executions = self.harness.executions()
        self.runs = len(executions)
        return history.check(self.calls, executions)

    def rng(self, name: str) -> random.Random:
        """Returns a random source for one task, seeded by its name."""
        return random.Random(f"{self.seed}/{name}")

    def is_over(self) -> bool:
        """Returns whether no further request or fault may begin."""
        return time.monotonic() >= self.deadline

    # Callers.

    async def caller(self, number: int) -> None:
        """Sends requests one at a time for one client account."""
        rng = self.rng(f"caller {number}")
        account = list(world.TOKENS)[number % len(world.TOKENS)]
        count = 0
        while not self.is_over():
            count += 1
            kind = rng.choices(KINDS, WEIGHTS)[0]
            request = f"r{number}-{count}"
            await self.request(rng, account, kind, request)
            await self.harness.pause(rng.uniform(0.02, 0.15))

    async def request(
        self, rng: random.Random, account: str, kind: Kind, request: str
    ) -> None:
        """Sends a request and its resends, sometimes two concurrently."""
        body = None
        if kind.method != "GET":
            size = rng.choice(UPLOAD_BYTES) if kind.method == "PUT" else 40
            body = rng.randbytes(size)
        edge_urls = rng.sample(
            self.harness.edge_urls, len(self.harness.edge_urls)
        )
        resend = rng.random() < RESEND_SHARE
        concurrent = resend and kind.keyed and rng.random() < 0.5
        for number in range(MAX_SENDS):
            sends = [self.send(account, kind, request, edge_urls[number], body)]
            if concurrent and number == 0:
                sends.append(
                    self.send(account, kind, request, edge_urls[-1], body)
                )
            last = (await self.harness.gather(*sends))[0]
            if not self.should_resend(kind, last, resend and number == 0):
                return

    def should_resend(
        self, kind: Kind, last: history.Call, resend: bool
    ) -> bool:
        """Returns whether a caller sends the request again.

        A request that is neither repeatable nor has an idempotency key is only
        sent again if it certainly did not run.
        """
        if not (kind.repeatable or kind.keyed):
            return last.executed == "no"
        return resend or last.outcome is not history.Outcome.COMPLETE

    async def send(
        self,
        account: str,
        kind: Kind,
        request: str,
        edge_url: str,
        body: bytes | None,
    ) -> history.Call:
        """Sends a request once and records how it ended."""
        send = f"s{len(self.calls) + 1}-{time.monotonic_ns()}"
        headers = {"X_Send_Id": send}
        if kind.keyed:
            headers["Idempotency_Key"] = request
        token = "" if kind.open else world.TOKENS[account]
        if kind.wrong_key:
            token += "-wrong"
        caller = callers.Caller(self.harness.reactor, token, CALL_SECONDS)
        url = f"{edge_url}{kind.prefix}{request}"
        response = await caller.send(kind.method, url, body, **headers)
        # Targets record no account for requests of open routes.
        account = "" if kind.open else account
        call = callers.as_call(
            response, request, send, account, kind.repeatable
        )
        self.calls.append(call)
        if response.code:
            self.codes[f"{response.executed} {response.code}"] += 1
        return call

    # Faults.

    async def instances(self) -> None:
        """Stops, kills or pauses one instance at a time."""
        rng = self.rng("instances")
        kinds = [signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP]
        instances = list(self.harness.fleet.instances.values())
        while not self.is_over():
            for kind in rng.sample(kinds, len(kinds)):
                if self.is_over():
                    return
                await self.harness.pause(rng.uniform(0.5, 1.5))
                self.faults[f"instance {kind.name}"] += 1
                await self.disturb(rng.choice(instances), kind, rng)

    async def disturb(
        self,
        instance: processes.Instance,
        kind: signal.Signals,
        rng: random.Random,
    ) -> None:
        """Sends a signal to an instance, then restarts or resumes it."""
        process = instance.process
        assert process is not None
        process.signal(kind)
        if kind is signal.SIGSTOP:
            # The lease of the paused owner expires after 5 s.
            await self.harness.pause(rng.choice((1.5, 3.0, 7.0)))
            process.signal(signal.SIGCONT)
            return

        async def ended() -> bool:
            return not process.running()

        if not await self.harness.wait_until(ended, 60.0):
            raise AssertionError(
                f"{instance.id} did not exit within 60 s of {kind.name}"
            )
        await self.harness.pause(rng.uniform(0.0, 2.0))
        await self.harness.restart(instance)

    async def targets(self) -> None:
        """Kills targets or injects faults into them, one at a time."""
        rng = self.rng("targets")
        targets = list(self.harness.fleet.targets.values())
        while not self.is_over():
            for kind in rng.sample(("kill", *TARGET_FAULTS), 7):
                if self.is_over():
                    return
                target = rng.choice(targets)
                self.faults[f"target {kind}"] += 1
                if kind == "kill":
                    assert target.process is not None
                    target.process.kill()
                    await self.harness.pause(rng.uniform(0.5, 1.5))
                    self.harness.fleet.start_target(target)
                    continue
                await self.harness.fault(target.id, kind)
                await self.harness.pause(rng.uniform(1.0, 3.0))
                await self.harness.fault(target.id, "none")

    async def store(self) -> None:
        """Makes the store unavailable, or lose its responses, for a while."""
        rng = self.rng("store")
        kinds = ({"outage": True}, {"lose_answers": 20})
        while not self.is_over():
            for faults in rng.sample(kinds, 2):
                await self.harness.pause(rng.uniform(1.0, 4.0))
                if self.is_over():
                    return
                self.faults[f"store {next(iter(faults))}"] += 1
                await self.harness.store_faults(**faults)
                await self.harness.pause(rng.uniform(2.0, 7.0))
                await self.harness.store_faults(outage=False, lose_answers=0)


@attrs.frozen
class Report:
    """Result of a run.

    Attributes:
        violations: Violated guarantees.
        whole: Number of calls with a complete response.
        refused: Number of calls refused as not executed.
        unknown: Number of calls refused as unknown, or cut off after the
            connection was made.
        text: Summary of the run.
    """

    violations: list[history.Violation]
    whole: int
    refused: int
    unknown: int
    text: str


async def soak(
    harness: world.FleetHarness, seed: int, seconds: float
) -> Report:
    """Runs one soak and returns its report."""
    soak_run = Soak(harness, seed, seconds)
    violations = await soak_run.run()
    counts = history.coverage(soak_run.calls)
    whole = counts.get("whole", 0)
    refused = counts.get("refused, executed no", 0)
    broken = counts.get("broken", 0) - soak_run.codes[NOT_CONNECTED]
    unknown = counts.get("refused, executed unknown", 0) + broken
    lines = [
        f"seed {seed}: {len(soak_run.calls)} calls, {counts}, "
        f"{soak_run.codes[NOT_CONNECTED]} not connected, {soak_run.runs} runs",
        f"codes: {dict(soak_run.codes.most_common())}",
        f"faults: {dict(soak_run.faults)}",
        *map(str, violations),
    ]
    return Report(violations, whole, refused, unknown, "\n".join(lines))


def failure(report: Report) -> str:
    """Returns why a run fails, or an empty string.

    A run also fails if too few calls ended in one of the ways, since a run
    without effective faults shows nothing.
    """
    if report.violations:
        return f"{len(report.violations)} violations"
    for name, minimum in (("whole", 200), ("refused", 5), ("unknown", 5)):
        count = getattr(report, name)
        if count < minimum:
            return f"only {count} {name} calls, {minimum} needed"
    return ""


def one(seed: int, seconds: float) -> str:
    """Runs one seed in this process; returns why it fails, or ""."""
    report = world.run(seed, lambda harness: soak(harness, seed, seconds))
    print(report.text, flush=True)
    return failure(report)


def main() -> int:
    """Runs one seed in this process, or each of several in its own process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("seeds", type=int, nargs="+")
    options = parser.parse_args()
    if len(options.seeds) == 1:
        reason = one(options.seeds[0], options.seconds)
        print(reason or "ok")
        return 1 if reason else 0
    failing = []
    for seed in options.seeds:
        command = ["-m", "tests.system.soak", "--seconds"]
        command += [f"{options.seconds:g}", str(seed)]
        if subprocess.run([sys.executable, *command], check=False).returncode:
            failing.append("python " + " ".join(command))
    for line in failing:
        print(f"failing: {line}")
    return 1 if failing else 0


if __name__ == "__main__":
    sys.exit(main())
