"""Shows a fleet of three instances at work on this machine.

Run it with `make demo`. It starts the stand-in store, three instances in
three data centres and their targets, applies an example configuration, causes
faults and prints what happened. The exit code is 0 only if each expectation
held and no process is left.
"""

import argparse
import pathlib
import random
import signal
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from twisted.internet import defer, task

from cicadafront import errors
from cicadafront.config import apply, folder
from cicadafront.emulator import callers, demo_paths, load, processes
from cicadafront.store import client

READY_SECONDS = 30.0
POLL_SECONDS = 0.1
UPLOAD_BYTES = 5_000_000
# Targets are cold for 10 s and do not count as healthy capacity until then.
WARM_SECONDS = 10.0


@attrs.frozen
class Result:
    """Outcome of one step."""

    step: str
    held: bool
    seen: str
    seconds: float


class Demo:
    """Runs the steps against one fleet."""

    def __init__(self, reactor: Any, fleet: processes.LocalFleet):
        self.reactor = reactor
        self.fleet = fleet
        self.paths = demo_paths.PATHS[fleet.deployment.name]
        self.results: list[Result] = []
        self.random = random.Random(fleet.seed)
        self.admin = callers.Caller(reactor, timeout=5.0)
        self.reader = callers.Caller(reactor, self.paths.reader)
        self.payer = callers.Caller(reactor, self.paths.payer)
        self.edge_urls = [item.edge_url for item in fleet.instances.values()]

    async def run(self) -> None:
        """Runs all steps in order; a failed start ends the demo."""
        if not await self.step("all instances are ready", self.ready):
            return
        steps: list[tuple[str, Callable[[], Awaitable[tuple[bool, str]]]]] = [
            ("reads through every instance", self.reads),
            ("an upload arrives whole", self.upload),
            ("a payment sent twice runs once", self.payment_twice),
            ("no target sees a key", self.keys_hidden),
            ("a gray target is ejected", self.gray_target),
            ("traffic goes on without the store", self.store_away),
            ("a withdrawn key stops working", self.withdrawn_key),
            ("a planned stop cuts no request", self.planned_stop),
        ]
        for name, action in steps:
            await self.step(name, action)

    async def step(
        self, name: str, action: Callable[[], Awaitable[tuple[bool, str]]]
    ) -> bool:
        """Runs one step and keeps its result."""
        start = time.monotonic()
        try:
            held, seen = await action()
        except Exception as error:
            held, seen = False, f"{type(error).__name__}: {error}"
        seconds = time.monotonic() - start
        self.results.append(Result(name, held, seen, seconds))
        print(f"{'ok' if held else 'FAILED':6} {name}: {seen}", flush=True)
        return held

    async def pause(self, seconds: float) -> None:
        """Waits."""
        await task.deferLater(self.reactor, seconds)

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], seconds: float
    ) -> bool:
        """Waits until a condition holds; returns whether it did in time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await condition():
                return True
            await self.pause(POLL_SECONDS)
        return False

    async def apply(self, change: Callable[[dict], None] | None = None) -> int:
        """Applies the example configuration; returns the revision."""
        source = pathlib.Path("examples") / self.fleet.deployment.name
        merged = folder.load(source)
        if change is not None:
            change(merged.values)
        store = client.HttpStore(self.reactor, self.fleet.store_url)
        applier = apply.Applier(store, self.reactor)
        write = uuid.uuid4().hex
        outcome = await applier.apply(
            merged.configuration(),
            author="demo",
            write=write,
            time=time.time(),
        )
        await store.close()
        return outcome.revision

    async def ready(self) -> tuple[bool, str]:
        """Waits for the store, applies the configuration, waits for all."""
        deadline = time.monotonic() + READY_SECONDS
        while True:
            try:
                revision = await self.apply()
                break
            except errors.StoreUnavailableError:
                if time.monotonic() > deadline:
                    raise
                await self.pause(POLL_SECONDS)
        done = await self.wait_until(self.all_ready, READY_SECONDS)
        return done, f"revision {revision} on {len(self.edge_urls)} instances"

    async def all_ready(self) -> bool:
        """Tells whether each instance serves and knows every target."""
        for instance in self.fleet.instances.values():
            url = instance.operators_url
            ready = await self.admin.send("GET", f"{url}/ready")
            known = await self.admin.send("GET", f"{url}/v1/targets")
            if not (ready.ok and known.ok):
                return False
            if len(known.json()["items"]) < len(self.fleet.targets):
                return False
        return True

    async def reads(self) -> tuple[bool, str]:
        """Reads through every instance in turn."""
        answers = [
            await self.reader.send("GET", edge_url + self.paths.read)
            for edge_url in self.edge_urls * 10
        ]
        complete = sum(answer.ok for answer in answers)
        slowest = max(answer.seconds for answer in answers) * 1000
        seen = f"{complete} of {len(answers)} whole, slowest {slowest:.0f} ms"
        return complete == len(answers), seen

    async def upload(self) -> tuple[bool, str]:
        """Uploads a file and compares what the target received."""
        body = self.random.randbytes(UPLOAD_BYTES)
        caller = callers.Caller(self.reactor, self.paths.uploader)
        url = self.edge_urls[0] + self.paths.upload
        answer = await caller.send("PUT", url, body)
        if not answer.ok:
            return False, f"status {answer.status} {answer.code}"
        sent = callers.Response(200, body, "", "", 0.0).digest
        same = answer.json()["sha256"] == sent
        rate = UPLOAD_BYTES / answer.seconds / 1e6
        return same, f"{UPLOAD_BYTES} bytes, {rate:.0f} MB/s"

    async def payment_twice(self) -> tuple[bool, str]:
        """Sends a payment to two instances at once, then once more."""
        key, body = "demo-payment-1", b'{"amount": 20}'
        sends = [
            defer.ensureDeferred(
                self.payer.send(
                    "POST",
                    edge_url + self.paths.payment,
                    body,
                    Idempotency_Key=key,
                )
            )
            for edge_url in self.edge_urls[:2]
        ]
        answers = list(await defer.gatherResults(sends))
        answers.append(
            await self.payer.send(
                "POST",
                self.edge_urls[2] + self.paths.payment,
                body,
                Idempotency_Key=key,
            )
        )
        runs = [run for run in await self.runs() if run["key"] == key]
        same = len({answer.digest for answer in answers}) == 1
        statuses = ", ".join(
            answer.code or str(answer.status) for answer in answers
        )
        all_ok = all(answer.ok for answer in answers)
        held = len(runs) == 1 and all_ok and same
        return held, f"{len(runs)} run, answers {statuses}"

    async def runs(self) -> list[dict[str, Any]]:
        """Returns what all targets ran."""
        found = []
        for target in self.fleet.targets.values():
            answer = await self.admin.send(
                "GET", f"{target.url}/_emulator/runs"
            )
            found += answer.json()["runs"]
        return found

    async def keys_hidden(self) -> tuple[bool, str]:
        """Looks for keys in what the targets received."""
        runs = await self.runs()
        bad = [run for run in runs if "authorization" in run["headers"]]
        return not bad and bool(runs), f"{len(bad)} of {len(runs)} with a key"

    async def fault(self, target: str, kind: str) -> None:
        """Switches the fault of a target."""
        url = f"{self.fleet.targets[target].url}/_emulator/fault"
        body = b'{"fault": "%s"}' % kind.encode()
        await self.admin.send("PUT", url, body)

    async def state_of(self, target: str) -> str:
        """Returns the state of a target as an instance knows it."""
        first = next(iter(self.fleet.instances.values()))
        answer = await self.admin.send(
            "GET", f"{first.operators_url}/v1/targets"
        )
        states = {t["id"]: t["state"] for t in answer.json()["items"]}
        return states.get(target, "unknown")

    async def gray_target(self) -> tuple[bool, str]:
        """Makes a target stall under load and waits for its ejection."""
        gray = f"{self.paths.read_service}-1"
        generator = load.LoadGenerator(self._read_load(), self.reactor)
        loading = defer.ensureDeferred(generator.run())
        await self.pause(WARM_SECONDS)
        await self.fault(gray, "stall")
        start = time.monotonic()

        async def ejected() -> bool:
            return await self.state_of(gray) == "ejected"

        done = await self.wait_until(ejected, 3.0)
        seconds = time.monotonic() - start
        report = (await loading)[0]
        await self.fault(gray, "none")
        failed = report.sent - report.codes["ok"]
        seen = (
            f"ejected after {seconds:.1f} s, {failed} of {report.sent} reads "
            f"failed, p99 {report.as_json()['p99_ms']:.0f} ms"
        )
        return done and not failed, seen

    def _read_load(self) -> load.LoadOptions:
        rate = self.paths.read_rate
        reading = load.AccountLoad("reader", self.paths.reader, rate)
        return load.LoadOptions(
            edge_urls=tuple(self.edge_urls),
            accounts=(reading,),
            seconds=WARM_SECONDS + 6.0,
            path=self.paths.read,
            timeout=10.0,
            seed=self.fleet.seed,
        )

    async def set_store(self, outage: bool) -> None:
        """Starts or ends an outage of the store."""
        body = b'{"outage": %s}' % str(outage).lower().encode()
        await self.admin.send(
            "PUT", f"{self.fleet.store_url}/admin/faults", body
        )

    async def store_away(self) -> tuple[bool, str]:
        """Reads and pays for eight seconds of an outage."""
        await self.set_store(True)
        deadline = time.monotonic() + 8.0
        answers = []
        number = 0
        while time.monotonic() < deadline:
            number += 1
            for edge_url in self.edge_urls:
                answers.append(
                    await self.reader.send("GET", edge_url + self.paths.read)
                )
            answers.append(
                await self.payer.send(
                    "POST",
                    self.edge_urls[number % len(self.edge_urls)]
                    + self.paths.payment,
                    b"{}",
                    Idempotency_Key=f"outage-{number}",
                )
            )
            await self.pause(0.1)
        await self.set_store(False)
        complete = sum(answer.ok for answer in answers)
        codes = sorted({answer.code for answer in answers if answer.code})
        seen = f"{complete} of {len(answers)} whole {' '.join(codes)}".rstrip()
        return complete == len(answers), seen

    async def withdrawn_key(self) -> tuple[bool, str]:
        """Withdraws a key and waits until every instance refuses it."""
        caller = callers.Caller(self.reactor, self.paths.withdrawn_token)
        before = await caller.send("GET", self.edge_urls[0] + self.paths.read)

        def withdraw(values: dict) -> None:
            del values["keys"][self.paths.withdrawn]

        deadline = time.monotonic() + READY_SECONDS
        while True:
            try:
                await self.apply(withdraw)
                break
            except errors.StoreUnavailableError:
                if time.monotonic() > deadline:
                    raise
        start = time.monotonic()

        async def refused() -> bool:
            answers = [
                await caller.send("GET", edge_url + self.paths.read)
                for edge_url in self.edge_urls
            ]
            return all(answer.code == "key_unknown" for answer in answers)

        done = await self.wait_until(refused, 5.0)
        seconds = time.monotonic() - start
        return done and before.ok, f"refused everywhere after {seconds:.1f} s"

    async def planned_stop(self) -> tuple[bool, str]:
        """Stops an instance while it serves slow uploads and reads."""
        instance = list(self.fleet.instances.values())[-1]
        caller = callers.Caller(self.reactor, self.paths.uploader)
        body = self.random.randbytes(UPLOAD_BYTES)
        url = f"{self.paths.upload}?delay=1500"
        sends = [
            defer.ensureDeferred(caller.send("PUT", edge_url + url, body))
            for edge_url in self.edge_urls * 2
        ]
        await self.pause(0.5)
        process = instance.process
        assert process is not None
        process.signal(signal.SIGTERM)
        left = [
            edge_url
            for edge_url in self.edge_urls
            if edge_url != instance.edge_url
        ]
        reads = []
        for _ in range(10):
            for edge_url in left:
                reads.append(
                    await self.reader.send("GET", edge_url + self.paths.read)
                )
            await self.pause(0.1)
        uploads = await defer.gatherResults(sends)

        async def ended() -> bool:
            return not process.running()

        done = await self.wait_until(ended, 15.0)
        status = process.wait(0.1)
        answers = [*uploads, *reads]
        bad = [answer.code for answer in answers if not answer.ok]
        complete = len(answers) - len(bad)
        seen = f"{complete} of {len(answers)} whole, exit code {status}"
        if bad:
            seen += f", others: {', '.join(sorted(bad))}"
        return done and status == 0 and not bad, seen


def show(results: list[Result]) -> None:
    """Prints the table of all steps."""
    width = max(len(result.step) for result in results)
    print()
    for result in results:
        mark = "ok" if result.held else "FAILED"
        step = result.step.ljust(width)
        print(f"{mark:6}  {step}  {result.seconds:5.1f} s  {result.seen}")


async def demonstrate(reactor: Any, fleet: processes.LocalFleet) -> int:
    """Runs the demo; returns the exit code."""
    fleet.start()
    demo = Demo(reactor, fleet)
    try:
        await demo.run()
    finally:
        failed = [r.step for r in demo.results if not r.held]
        if failed:
            for instance in fleet.instances:
                print(f"--- {instance}\n{fleet.logs(instance)[-3000:]}")
        late = fleet.stop()
    demo.results.append(
        Result(
            "no process is left", not late, ", ".join(late) or "all ended", 0
        )
    )
    show(demo.results)
    return 0 if all(result.held for result in demo.results) else 1


def main(arguments: list[str] | None = None) -> None:
    """Runs the demo for one deployment and ends with its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=processes.DEPLOYMENTS, default="kaburi"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    fleet = processes.LocalFleet(
        processes.DEPLOYMENTS[options.deployment], options.seed
    )

    async def run(reactor: Any) -> None:
        # `react` ends the process itself, with 0 unless this is raised.
        raise SystemExit(await demonstrate(reactor, fleet))

    task.react(lambda reactor: defer.ensureDeferred(run(reactor)), [])


if __name__ == "__main__":
    main()
