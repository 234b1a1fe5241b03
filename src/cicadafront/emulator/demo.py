"""Demonstrates a fleet of three instances on the local machine.

Run it with `make demo`. It starts the emulated store, three instances in
three data centres and their targets, applies an example configuration,
injects faults and prints the results. The exit code is 0 only if every step
passed and no process had to be killed at the end.
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

READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1
UPLOAD_BYTES = 5_000_000
# During the first 10 s, a new target does not count as healthy capacity.
SLOW_START_SECONDS = 10.0


@attrs.frozen
class Result:
    """Result of one step.

    Attributes:
        step: Name of the step.
        passed: Whether the expectation of the step was met.
        detail: Observations as text, or the exception that ended the step.
        seconds: Duration of the step.
    """

    step: str
    passed: bool
    detail: str
    seconds: float


class Demo:
    """Runs the steps of the demo against one fleet."""

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
        """Runs all steps in order; stops if the fleet does not become ready."""
        if not await self.step("all instances are ready", self.ready):
            return
        steps: list[tuple[str, Callable[[], Awaitable[tuple[bool, str]]]]] = [
            ("reads through every instance", self.reads),
            ("an upload arrives complete", self.upload),
            ("a payment sent twice runs once", self.payment_twice),
            ("no target receives an API key", self.keys_hidden),
            ("a gray target is ejected", self.gray_target),
            ("traffic continues during a store outage", self.store_outage),
            ("a withdrawn key stops working", self.withdrawn_key),
            ("a planned stop interrupts no request", self.planned_stop),
        ]
        for name, action in steps:
            await self.step(name, action)

    async def step(
        self, name: str, action: Callable[[], Awaitable[tuple[bool, str]]]
    ) -> bool:
        """Runs one step, records its result and returns whether it passed."""
        start = time.monotonic()
        try:
            passed, detail = await action()
        except Exception as error:
            passed, detail = False, f"{type(error).__name__}: {error}"
        seconds = time.monotonic() - start
        self.results.append(Result(name, passed, detail, seconds))
        print(f"{'ok' if passed else 'FAILED':6} {name}: {detail}", flush=True)
        return passed

    async def pause(self, seconds: float) -> None:
        """Waits for a number of seconds."""
        await task.deferLater(self.reactor, seconds)

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], seconds: float
    ) -> bool:
        """Polls a condition.

        Returns:
            Whether the condition became true within `seconds`.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await condition():
                return True
            await self.pause(POLL_SECONDS)
        return False

    async def apply(self, change: Callable[[dict], None] | None = None) -> int:
        """Applies the example configuration.

        Args:
            change: Modifies the values of the configuration before.

        Returns:
            The new revision.
        """
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
        """Applies the configuration and waits until all instances are ready.

        Retries while the store is still starting.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while True:
            try:
                revision = await self.apply()
                break
            except errors.StoreUnavailableError:
                if time.monotonic() > deadline:
                    raise
                await self.pause(POLL_SECONDS)
        done = await self.wait_until(self.all_ready, READY_TIMEOUT_SECONDS)
        return done, f"revision {revision} on {len(self.edge_urls)} instances"

    async def all_ready(self) -> bool:
        """Returns whether every instance is ready and knows all targets."""
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
        """Sends reads through every instance in turn."""
        responses = [
            await self.reader.send("GET", edge_url + self.paths.read)
            for edge_url in self.edge_urls * 10
        ]
        complete = sum(response.ok for response in responses)
        slowest = max(response.seconds for response in responses) * 1000
        detail = (
            f"{complete} of {len(responses)} complete, slowest {slowest:.0f} ms"
        )
        return complete == len(responses), detail

    async def upload(self) -> tuple[bool, str]:
        """Uploads a file and compares its digest with that at the target."""
        body = self.random.randbytes(UPLOAD_BYTES)
        caller = callers.Caller(self.reactor, self.paths.uploader)
        url = self.edge_urls[0] + self.paths.upload
        response = await caller.send("PUT", url, body)
        if not response.ok:
            return False, f"status {response.status} {response.code}"
        sent = callers.Response(200, body, "", "", 0.0).digest
        same = response.json()["sha256"] == sent
        rate = UPLOAD_BYTES / response.seconds / 1e6
        return same, f"{UPLOAD_BYTES} bytes, {rate:.0f} MB/s"

    async def payment_twice(self) -> tuple[bool, str]:
        """Sends a payment to two instances concurrently, then to the third.

        All three requests carry the same idempotency key.
        """
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
        responses = list(await defer.gatherResults(sends))
        responses.append(
            await self.payer.send(
                "POST",
                self.edge_urls[2] + self.paths.payment,
                body,
                Idempotency_Key=key,
            )
        )
        runs = [run for run in await self.runs() if run["key"] == key]
        same = len({response.digest for response in responses}) == 1
        statuses = ", ".join(
            response.code or str(response.status) for response in responses
        )
        all_ok = all(response.ok for response in responses)
        passed = len(runs) == 1 and all_ok and same
        return passed, f"{len(runs)} run, responses {statuses}"

    async def runs(self) -> list[dict[str, Any]]:
        """Returns the requests that all targets ran."""
        found = []
        for target in self.fleet.targets.values():
            response = await self.admin.send(
                "GET", f"{target.url}/_emulator/runs"
            )
            found += response.json()["runs"]
        return found

    async def keys_hidden(self) -> tuple[bool, str]:
        """Checks that no target received an `Authorization` header."""
        runs = await self.runs()
        bad = [run for run in runs if "authorization" in run["headers"]]
        return not bad and bool(runs), f"{len(bad)} of {len(runs)} with a key"

    async def fault(self, target: str, kind: str) -> None:
        """Sets the fault of a target."""
        url = f"{self.fleet.targets[target].url}/_emulator/fault"
        body = b'{"fault": "%s"}' % kind.encode()
        await self.admin.send("PUT", url, body)

    async def state_of(self, target: str) -> str:
        """Returns the state of a target as the first instance reports it."""
        first = next(iter(self.fleet.instances.values()))
        response = await self.admin.send(
            "GET", f"{first.operators_url}/v1/targets"
        )
        states = {t["id"]: t["state"] for t in response.json()["items"]}
        return states.get(target, "unknown")

    async def gray_target(self) -> tuple[bool, str]:
        """Makes one target stall under load and waits for its ejection.

        Passes if the target is ejected within 3 s and no read fails.
        """
        gray = f"{self.paths.read_service}-1"
        generator = load.LoadGenerator(self._read_load(), self.reactor)
        loading = defer.ensureDeferred(generator.run())
        await self.pause(SLOW_START_SECONDS)
        await self.fault(gray, "stall")
        start = time.monotonic()

        async def ejected() -> bool:
            return await self.state_of(gray) == "ejected"

        done = await self.wait_until(ejected, 3.0)
        seconds = time.monotonic() - start
        report = (await loading)[0]
        await self.fault(gray, "none")
        failed = report.sent - report.codes["ok"]
        detail = (
            f"ejected after {seconds:.1f} s, {failed} of {report.sent} reads "
            f"failed, p99 {report.as_json()['p99_ms']:.0f} ms"
        )
        return done and not failed, detail

    def _read_load(self) -> load.LoadOptions:
        rate = self.paths.read_rate
        reading = load.AccountLoad("reader", self.paths.reader, rate)
        return load.LoadOptions(
            edge_urls=tuple(self.edge_urls),
            accounts=(reading,),
            seconds=SLOW_START_SECONDS + 6.0,
            path=self.paths.read,
            timeout=10.0,
            seed=self.fleet.seed,
        )

    async def set_store_outage(self, outage: bool) -> None:
        """Starts or ends an outage of the store."""
        body = b'{"outage": %s}' % str(outage).lower().encode()
        await self.admin.send(
            "PUT", f"{self.fleet.store_url}/admin/faults", body
        )

    async def store_outage(self) -> tuple[bool, str]:
        """Sends reads and payments during a store outage of 8 s."""
        await self.set_store_outage(True)
        deadline = time.monotonic() + 8.0
        responses = []
        number = 0
        while time.monotonic() < deadline:
            number += 1
            for edge_url in self.edge_urls:
                responses.append(
                    await self.reader.send("GET", edge_url + self.paths.read)
                )
            responses.append(
                await self.payer.send(
                    "POST",
                    self.edge_urls[number % len(self.edge_urls)]
                    + self.paths.payment,
                    b"{}",
                    Idempotency_Key=f"outage-{number}",
                )
            )
            await self.pause(0.1)
        await self.set_store_outage(False)
        complete = sum(response.ok for response in responses)
        codes = sorted(
            {response.code for response in responses if response.code}
        )
        detail = (
            f"{complete} of {len(responses)} complete {' '.join(codes)}"
        ).rstrip()
        return complete == len(responses), detail

    async def withdrawn_key(self) -> tuple[bool, str]:
        """Withdraws an API key and waits until every instance refuses it."""
        caller = callers.Caller(self.reactor, self.paths.withdrawn_token)
        before = await caller.send("GET", self.edge_urls[0] + self.paths.read)

        def withdraw(values: dict) -> None:
            del values["keys"][self.paths.withdrawn]

        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while True:
            try:
                await self.apply(withdraw)
                break
            except errors.StoreUnavailableError:
                if time.monotonic() > deadline:
                    raise
        start = time.monotonic()

        async def refused() -> bool:
            responses = [
                await caller.send("GET", edge_url + self.paths.read)
                for edge_url in self.edge_urls
            ]
            return all(response.code == "key_unknown" for response in responses)

        done = await self.wait_until(refused, 5.0)
        seconds = time.monotonic() - start
        return (
            done and before.ok,
            f"refused by all instances after {seconds:.1f} s",
        )

    async def planned_stop(self) -> tuple[bool, str]:
        """Stops an instance while slow uploads are in flight.

        Reads continue through the other instances.
        """
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
        remaining = [
            edge_url
            for edge_url in self.edge_urls
            if edge_url != instance.edge_url
        ]
        reads = []
        for _ in range(10):
            for edge_url in remaining:
                reads.append(
                    await self.reader.send("GET", edge_url + self.paths.read)
                )
            await self.pause(0.1)
        uploads = await defer.gatherResults(sends)

        async def ended() -> bool:
            return not process.running()

        done = await self.wait_until(ended, 15.0)
        status = process.wait(0.1)
        responses = [*uploads, *reads]
        bad = [response.code for response in responses if not response.ok]
        complete = len(responses) - len(bad)
        detail = f"{complete} of {len(responses)} complete, exit code {status}"
        if bad:
            detail += f", others: {', '.join(sorted(bad))}"
        return done and status == 0 and not bad, detail


def print_results(results: list[Result]) -> None:
    """Prints a table of all steps."""
    width = max(len(result.step) for result in results)
    print()
    for result in results:
        mark = "ok" if result.passed else "FAILED"
        step = result.step.ljust(width)
        print(f"{mark:6}  {step}  {result.seconds:5.1f} s  {result.detail}")


async def demonstrate(reactor: Any, fleet: processes.LocalFleet) -> int:
    """Runs the demo.

    Returns:
        The exit code.
    """
    fleet.start()
    demo = Demo(reactor, fleet)
    try:
        await demo.run()
    finally:
        failed = [r.step for r in demo.results if not r.passed]
        if failed:
            for instance in fleet.instances:
                print(f"--- {instance}\n{fleet.logs(instance)[-3000:]}")
        late = fleet.stop()
    demo.results.append(
        Result(
            "no process had to be killed",
            not late,
            ", ".join(late) or "all ended",
            0,
        )
    )
    print_results(demo.results)
    return 0 if all(result.passed for result in demo.results) else 1


def main(arguments: list[str] | None = None) -> None:
    """Runs the demo for one deployment and exits with its exit code."""
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
        # `react` ends the process, with exit code 0 unless this is raised.
        raise SystemExit(await demonstrate(reactor, fleet))

    task.react(lambda reactor: defer.ensureDeferred(run(reactor)), [])


if __name__ == "__main__":
    main()
