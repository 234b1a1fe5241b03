"""A local fleet with its helpers, for tests over real processes."""

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


class World(demo.Demo):
    """A fleet under test."""

    async def together(self, *parts: Awaitable[Any]) -> list[Any]:
        """Runs coroutines at the same time and returns their results."""
        running = [
            defer.ensureDeferred(part)  # type: ignore[arg-type]
            for part in parts
        ]
        return list(await defer.gatherResults(running, consumeErrors=True))

    async def begin(self) -> None:
        """Starts all processes and waits until they serve.

        Raises:
            AssertionError: The fleet was not ready in time.
        """
        self.fleet.start()
        ready, seen = await self.ready()
        assert ready, f"the fleet did not start: {seen}"

    async def store_faults(self, **faults: Any) -> None:
        """Sets faults of the store."""
        url = f"{self.fleet.store_url}/admin/faults"
        await self.admin.send("PUT", url, json.dumps(faults).encode())

    async def restart(self, instance: processes.Instance) -> None:
        """Starts an ended instance again with the same settings.

        An outgoing connection may hold a port of the instance for a moment,
        which ends the new process at once; it is then started again.
        """
        for _ in range(20):
            self.fleet.start_instance(instance)
            await self.pause(1.0)
            process = instance.process
            if process is not None and process.running():
                return
        raise AssertionError(f"{instance.id} does not start")

    def executions(self) -> list[history.Execution]:
        """Returns what all targets ran, killed ones included.

        Probes of ejected targets are no caller's requests and are left out.
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
    seed: int, scenario: Callable[[World], Coroutine[Any, Any, Result]]
) -> Result:
    """Runs one scenario on a fleet of its own; once in a process.

    Raises:
        AssertionError: A process did not end in time by itself.
    """
    from twisted.internet import reactor

    results: list[Result] = []
    late: list[str] = []

    async def main(running: Any) -> None:
        fleet = processes.LocalFleet(processes.KABURI, seed)
        world = World(running, fleet)
        try:
            await world.begin()
            results.append(await scenario(world))
        except BaseException:
            for name in fleet.instances:
                print(f"--- {name}\n{fleet.logs(name)[-2000:]}")
            raise
        finally:
            late.extend(fleet.stop())

    try:
        task.react(
            lambda running: defer.ensureDeferred(main(running)),
            [],
            _reactor=reactor,
        )
    except SystemExit as ended:
        if ended.code:
            raise AssertionError("the scenario failed, see above") from None
    assert not late, f"processes were killed at the end: {late}"
    sys.stdout.flush()
    return results[0]
