"""Concurrent callers against a fleet whose parts fail, with a final check.

Run it with `make soak-own-store SECONDS=60 SEEDS="1 2 3"`. It prints the
command for each failing seed.
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
# Shorter than the time limits of the routes, so that callers also give up.
CALL_SECONDS = 6.0
MOST_SENDS = 3
RESEND_SHARE = 0.15
# Time after the last call in which resumed processes work off their input.
SETTLE_SECONDS = 4.0
# Calls to an instance that is down; they say nothing about the fleet.
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
        wrong_key: Whether it carries a key that was never given, so that it
            must be refused as not run.
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
        world: The fleet.
        seed: Seed of all draws.
        seconds: Time in which requests and faults begin.
        calls: All sends with their endings.
        codes: Number of calls without a whole answer by kind and code.
        faults: Number of faults by kind.
        runs: Number of runs at the targets.
    """

    world: world.World
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
        await self.world.together(
            *load, self.instances(), self.targets(), self.store()
        )
        await self.world.pause(SETTLE_SECONDS)
        executions = self.world.executions()
        self.runs = len(executions)
        return history.check(self.calls, executions)

    def draws(self, name: str) -> random.Random:
        """Returns the source of the draws of one part."""
        return random.Random(f"{self.seed}/{name}")

    def over(self) -> bool:
        """Tells whether no further request or fault begins."""
        return time.monotonic() >= self.deadline

    # Callers.

    async def caller(self, number: int) -> None:
        """Sends one request after the other for one client account."""
        draws = self.draws(f"caller {number}")
        account = list(world.TOKENS)[number % len(world.TOKENS)]
        count = 0
        while not self.over():
            count += 1
            kind = draws.choices(KINDS, WEIGHTS)[0]
            request = f"r{number}-{count}"
            await self.request(draws, account, kind, request)
            await self.world.pause(draws.uniform(0.02, 0.15))

    async def request(
        self, draws: random.Random, account: str, kind: Kind, request: str
    ) -> None:
        """Sends a request and its resends, at times two at once."""
        body = None
        if kind.method != "GET":
            size = draws.choice(UPLOAD_BYTES) if kind.method == "PUT" else 40
            body = draws.randbytes(size)
        edge_urls = draws.sample(
            self.world.edge_urls, len(self.world.edge_urls)
        )
        again = draws.random() < RESEND_SHARE
        at_once = again and kind.keyed and draws.random() < 0.5
        for number in range(MOST_SENDS):
            sends = [self.send(account, kind, request, edge_urls[number], body)]
            if at_once and number == 0:
                sends.append(
                    self.send(account, kind, request, edge_urls[-1], body)
                )
            last = (await self.world.together(*sends))[0]
            if not self.sends_again(kind, last, again and number == 0):
                return

    def sends_again(self, kind: Kind, last: history.Call, again: bool) -> bool:
        """Tells whether a caller may and would send the request again.

        A request that neither is repeatable nor has an idempotency key is
        sent again only if it certainly did not run.
        """
        if not (kind.repeatable or kind.keyed):
            return last.executed == "no"
        return again or last.outcome is not history.Outcome.COMPLETE

    async def send(
        self,
        account: str,
        kind: Kind,
        request: str,
        edge_url: str,
        body: bytes | None,
    ) -> history.Call:
        """Sends a request once and notes how it ended."""
        send = f"s{len(self.calls) + 1}-{time.monotonic_ns()}"
        headers = {"X_Send_Id": send}
        if kind.keyed:
            headers["Idempotency_Key"] = request
        token = "" if kind.open else world.TOKENS[account]
        if kind.wrong_key:
            token += "-wrong"
        caller = callers.Caller(self.world.reactor, token, CALL_SECONDS)
        url = f"{edge_url}{kind.prefix}{request}"
        answer = await caller.send(kind.method, url, body, **headers)
        # The target names no account for requests of open routes.
        account = "" if kind.open else account
        call = callers.as_call(answer, request, send, account, kind.repeatable)
        self.calls.append(call)
        if answer.code:
            self.codes[f"{answer.executed} {answer.code}"] += 1
        return call

    # Faults.

    async def instances(self) -> None:
        """Stops, kills or pauses one instance at a time."""
        draws = self.draws("instances")
        kinds = [signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP]
        instances = list(self.world.fleet.instances.values())
        while not self.over():
            for kind in draws.sample(kinds, len(kinds)):
                if self.over():
                    return
                await self.world.pause(draws.uniform(0.5, 1.5))
                self.faults[f"instance {kind.name}"] += 1
                await self.disturb(draws.choice(instances), kind, draws)

    async def disturb(
        self,
        instance: processes.Instance,
        kind: signal.Signals,
        draws: random.Random,
    ) -> None:
        """Sends a signal to an instance and brings it back."""
        process = instance.process
        assert process is not None
        process.signal(kind)
        if kind is signal.SIGSTOP:
            # Beyond 5 s the lease of the paused owner lapses.
            await self.world.pause(draws.choice((1.5, 3.0, 7.0)))
            process.signal(signal.SIGCONT)
            return

        async def ended() -> bool:
            return not process.running()

        if not await self.world.wait_until(ended, 60.0):
            raise AssertionError(f"{instance.id} does not end on {kind.name}")
        await self.world.pause(draws.uniform(0.0, 2.0))
        await self.world.restart(instance)

    async def targets(self) -> None:
        """Kills targets or gives them faults, one at a time."""
        draws = self.draws("targets")
        targets = list(self.world.fleet.targets.values())
        while not self.over():
            for kind in draws.sample(("kill", *TARGET_FAULTS), 7):
                if self.over():
                    return
                target = draws.choice(targets)
                self.faults[f"target {kind}"] += 1
                if kind == "kill":
                    assert target.process is not None
                    target.process.kill()
                    await self.world.pause(draws.uniform(0.5, 1.5))
                    self.world.fleet.start_target(target)
                    continue
                await self.world.fault(target.id, kind)
                await self.world.pause(draws.uniform(1.0, 3.0))
                await self.world.fault(target.id, "none")

    async def store(self) -> None:
        """Switches the store off, or loses its answers, for a while."""
        draws = self.draws("store")
        kinds = ({"outage": True}, {"lose_answers": 20})
        while not self.over():
            for faults in draws.sample(kinds, 2):
                await self.world.pause(draws.uniform(1.0, 4.0))
                if self.over():
                    return
                self.faults[f"store {next(iter(faults))}"] += 1
                await self.world.store_faults(**faults)
                await self.world.pause(draws.uniform(2.0, 7.0))
                await self.world.store_faults(outage=False, lose_answers=0)


@attrs.frozen
class Report:
    """Outcome of a run.

    Attributes:
        violations: Broken promises.
        whole: Calls with a whole answer.
        refused: Calls refused as not run.
        unknown: Calls refused as unknown, or broken off once connected.
        text: Figures of the run.
    """

    violations: list[history.Violation]
    whole: int
    refused: int
    unknown: int
    text: str


async def soak(run: world.World, seed: int, seconds: float) -> Report:
    """Runs one soak and returns its figures."""
    made = Soak(run, seed, seconds)
    violations = await made.run()
    counts = history.coverage(made.calls)
    whole = counts.get("whole", 0)
    refused = counts.get("refused, executed no", 0)
    broken = counts.get("broken", 0) - made.codes[NOT_CONNECTED]
    unknown = counts.get("refused, executed unknown", 0) + broken
    lines = [
        f"seed {seed}: {len(made.calls)} calls, {counts}, "
        f"{made.codes[NOT_CONNECTED]} not connected, {made.runs} runs",
        f"codes: {dict(made.codes.most_common())}",
        f"faults: {dict(made.faults)}",
        *map(str, violations),
    ]
    return Report(violations, whole, refused, unknown, "\n".join(lines))


def failure(report: Report) -> str:
    """Returns why a run fails, or nothing.

    The minimum of each ending keeps a run without effective faults from
    passing as a proof.
    """
    if report.violations:
        return f"{len(report.violations)} violations"
    for name, least in (("whole", 200), ("refused", 5), ("unknown", 5)):
        count = getattr(report, name)
        if count < least:
            return f"only {count} {name} calls, {least} needed"
    return ""


def one(seed: int, seconds: float) -> str:
    """Runs one seed in this process; returns why it fails, or nothing."""
    report = world.run(seed, lambda run: soak(run, seed, seconds))
    print(report.text, flush=True)
    return failure(report)


def main() -> int:
    """Runs one seed, or several in processes of their own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("seeds", type=int, nargs="+")
    options = parser.parse_args()
    if len(options.seeds) == 1:
        why = one(options.seeds[0], options.seconds)
        print(why or "ok")
        return 1 if why else 0
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
