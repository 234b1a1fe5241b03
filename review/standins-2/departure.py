"""What the cases about targets that have left share.

Payments run at four targets. One target deregisters and is acknowledged, serves
on for some seconds as the pages allow, and ends. Its last heartbeat comes late.
"""

import asyncio
from typing import Any

import rig

KEY = "key-of-the-families"
DRAIN_SECONDS = 2.0
STABLE_WINDOW_SECONDS = 3.0
CLIENTS_PER_MACHINE = 3
PAUSE_SECONDS = 0.05
MACHINES = 4


def document() -> dict[str, Any]:
    """Returns the operators' configuration."""
    route = {
        "name": "book-pay",
        "path_prefix": "/pay/",
        "kind": "non_idempotent",
        "timeout_s": 2.0,
        "target_latency_s": 1.0,
        "priority": 1,
        "service": "ledger",
        "max_attempts": 3,
        "anonymous": False,
    }
    return {
        "version": 7,
        "services": [{"name": "ledger"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 5,
            "idle_timeout_s": 30,
        },
        "tenants": [{"name": "families", "api_keys": [KEY], "rate_per_s": 0}],
        "virtual_hosts": [{"host": "pay.example", "paths": [route]}],
    }


class Ledger(rig.Target):
    """An upstream that can end while it works on payments."""

    def __init__(self, *args: Any):
        super().__init__(*args)
        self.work_seconds = 0.25
        self.cut: list[str] = []
        self._working: dict[str, asyncio.StreamWriter] = {}
        self.handle = self._pay

    async def _pay(
        self,
        _: rig.Target,
        run: rig.Run,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self._working[run.id] = writer
        await asyncio.sleep(self.work_seconds)
        if self._working.pop(run.id, None) is None:
            return False
        self.reply(writer, run)
        return True

    def exit(self) -> None:
        """Ends the process; what it works on is lost."""
        self.record.say(f"{self.id} exits")
        self.close()
        self.cut = list(self._working)
        for writer in self._working.values():
            writer.transport.abort()
        self._working.clear()


class Play:
    """The fleet, its clients, and the target that leaves."""

    def __init__(self, fleet: rig.Fleet):
        self.fleet = fleet
        fleet.target_class = Ledger
        for _ in range(MACHINES):
            fleet.add("ledger", "dar-a")
        self.machine = fleet.machines[0]
        self.target: Ledger = self.machine.target
        self.statuses: dict[str, int | str] = {}
        self.acknowledged = 0.0
        self._late: dict[str, Any] = {}
        self._paying: list[asyncio.Task[Any]] = []
        self._pays = True

    async def start(self) -> None:
        """Starts the fleet and its clients."""
        self.fleet.store.configure(document())
        await self.fleet.start()
        await asyncio.sleep(5.0)
        # The clients of the machine that will be killed stay away.
        callers = self.fleet.machines[1:] * CLIENTS_PER_MACHINE
        for number, machine in enumerate(callers):
            work = self._pay(machine, number)
            self._paying.append(self.fleet.spawn(work))
        await asyncio.sleep(1.0)

    async def _pay(self, machine: rig.Machine, number: int) -> None:
        sent = 0
        while self._pays:
            id = f"{number:02x}{sent:06x}"
            sent += 1
            fields = {
                "Host": "pay.example",
                "Cicadafront-Request-Id": id,
                "Cicadafront-Key": KEY,
                "Cicadafront-Deadline-Ms": "4000",
            }
            port = machine.ports["edge"]
            try:
                status, _, _ = await rig.call(
                    port, "POST", f"/pay/{id}", fields, b"1", 5.0
                )
                self.statuses[id] = status
            except (OSError, TimeoutError, EOFError) as error:
                self.statuses[id] = type(error).__name__
            self.fleet.record.write(f"client: {id}: {self.statuses[id]}")
            await asyncio.sleep(PAUSE_SECONDS)

    async def deregister(self) -> None:
        """Lets the target send a last heartbeat, and deregister.

        Raises:
            RuntimeError: The deregistration was not acknowledged.
        """
        self.target.beats = False
        self._late = self.target.prepare()
        self.fleet.record.say(
            f"{self.target.id} sends a check-in, which arrives late"
        )
        await asyncio.sleep(0.1)
        body = {"born": self.target.born}
        status = await self.target.say("deregister", body)
        if status != 200:
            raise RuntimeError(f"the deregistration got {status}")
        self.acknowledged = self.fleet.record.now()
        self.fleet.record.say(f"{self.target.id} deregisters: acknowledged")

    async def restart(self) -> float:
        """Kills the daemon and starts it again; returns when it started."""
        await self.machine.kill()
        await asyncio.sleep(0.5)
        await self.machine.start()
        return self.fleet.record.now()

    async def late_heartbeat(self) -> None:
        """Delivers the heartbeat that was sent before the deregistration."""
        status = await self.target.say("heartbeat", self._late)
        since = self.fleet.record.now() - self.acknowledged
        self.fleet.record.say(
            f"the late check-in arrives, {since:.1f} s after the "
            f"acknowledgement: {status}"
        )

    async def finish(self, calm_at: float, seconds: float) -> int:
        """Ends the target some seconds after the acknowledgement; judges.

        Args:
            calm_at: Time of the last disruption.
            seconds: Time from the acknowledgement to the end of the target.
        """
        left = self.acknowledged + seconds - self.fleet.record.now()
        await asyncio.sleep(max(0.0, left))
        self.target.exit()
        await asyncio.sleep(1.0)
        self._pays = False
        await asyncio.gather(*self._paying)
        due = self.acknowledged + DRAIN_SECONDS
        late = [run for run in self.target.runs if run.at > due]
        in_touch = [
            run for run in late if run.at > calm_at + STABLE_WINDOW_SECONDS
        ]
        lost = {id: self.statuses.get(id) for id in self.target.cut}
        self.fleet.record.say(
            f"{len(late)} payments reached {self.target.id} more than "
            f"{DRAIN_SECONDS:g} s after its leaving was acknowledged, "
            f"{len(in_touch)} of them through machines in touch; its end cut "
            f"{len(lost)}: {lost}"
        )
        return rig.BROKEN if in_touch else rig.HELD
