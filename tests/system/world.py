"""Test harness that runs a local fleet of real processes."""

import json
import sys
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet import defer, task

from cicadafront.emulator import demo, history, processes
from cicadafront.health import probe

TOKENS = {
    account: f"cf_example{number}_public-token-{number}"
    for number, account in enumerate(
        ("riders", "families", "payments", "staff"), 1
    )
}

Result = TypeVar("Result")


class FleetHarness(demo.Demo):
    """Controls a fleet under test and reads what its targets ran."""

    async def gather(self, *parts: Awaitable[Any]) -> list[Any]:
        """Runs coroutines concurrently and returns their results."""
        running = [
            defer.ensureDeferred(part)  # type: ignore[arg-type]
            for part in parts
        ]
        return list(await defer.gatherResults(running, consumeErrors=True))

    async def start_fleet(self) -> None:
        """Starts all processes and waits until they serve.

        Raises:
            AssertionError: The fleet is not ready in time.
        """
        self.fleet.start()
        ready, seen = await self.ready()
        assert ready, f"the fleet did not start: {seen}"

    async def store_faults(self, **faults: Any) -> None:
        """Sets the faults that the store injects."""
        url = f"{self.fleet.store_url}/admin/faults"
        await self.admin.send("PUT", url, json.dumps(faults).encode())

    async def restart(self, instance: processes.Instance) -> None:
        """Restarts an exited instance with the same settings.

        An outgoing connection may use a port of the instance for a moment, so
        that the new process cannot listen and exits at once. The start is
        therefore repeated, at most 20 times, once a second.

        Raises:
            AssertionError: The instance exited after each start.
        """
        for _ in range(20):
            self.fleet.start_instance(instance)
            await self.pause(1.0)
            process = instance.process
            if process is not None and process.running():
                return
        raise AssertionError(f"{instance.id} exited after each of 20 starts")

    def executions(self) -> list[history.Execution]:
        """Returns the executions of all targets, including killed ones.

        Probes of ejected targets are left out, since no caller sent them.
        """
        found: list[history.Execution] = []
        for target in self.fleet.targets.values():
            path = self.fleet.run_log(target)
            lines = path.read_bytes().splitlines() if path.exists() else []
            runs = {run["number"]: run for run in map(json.loads, lines)}
            found += [
                history.Execution(
                    target=target.id,
                    request=run["path"].partition("?")[0].rpartition("/")[2],
                    send=run["send_id"],
                    account=run["account"],
                    answer_digest=run["answer_digest"],
                )
                for run in runs.values()
                if run["path"] != probe.PATH
            ]
        return found


def run(
    seed: int, scenario: Callable[[FleetHarness], Coroutine[Any, Any, Result]]
) -> Result:
    """Runs one scenario on a new fleet and returns its result.

    The reactor can run only once in a process, and so can this function.

    Raises:
        AssertionError: The scenario failed, or a process had to be killed at
            the end because it did not exit in time.
    """
    from twisted.internet import reactor

    results: list[Result] = []
    not_stopped: list[str] = []

    async def main(running: Any) -> None:
        fleet = processes.LocalFleet(processes.KABURI, seed)
        harness = FleetHarness(running, fleet)
        try:
            await harness.start_fleet()
            results.append(await scenario(harness))
        except BaseException:
            for name in fleet.instances:
                print(f"--- {name}\n{fleet.logs(name)[-2000:]}")
            raise
        finally:
            not_stopped.extend(fleet.stop())

    try:
        task.react(
            lambda running: defer.ensureDeferred(main(running)),
            [],
            _reactor=reactor,
        )
    except SystemExit as ended:
        if ended.code:
            raise AssertionError(
                "the scenario failed, see the output above"
            ) from None
    assert not not_stopped, (
        f"processes did not exit in time and were killed: {not_stopped}"
    )
    sys.stdout.flush()
    return results[0]
