"""State of an emulated target, and the paths that read and change it."""

import json
import os
import random
from typing import BinaryIO

import attrs

from cicadafront.emulator import faults

ADMIN_PREFIX = "/_emulator/"


@attrs.define
class Run:
    """One request that the target ran.

    Attributes:
        method: HTTP method.
        path: Path and query.
        key: Value of `Idempotency-Key`.
        account: Client account in the header from the agent.
        request_id: Exchange id in the header from the agent.
        send_id: Value of `X-Send-Id`, by which a test distinguishes the
            sends of one request.
        digest: SHA-256 of the request body, in hex.
        length: Length of the request body in bytes.
        answer_digest: SHA-256 of the response body, in hex.
        headers: Names of the request headers.
        number: Unique number of the run among all runs of the target.
    """

    method: str
    path: str
    key: str
    account: str
    request_id: str
    send_id: str = ""
    digest: str = ""
    length: int = 0
    answer_digest: str = ""
    headers: list[str] = attrs.field(factory=list)
    number: str = ""


@attrs.define
class TargetState:
    """State of an emulated target.

    Attributes:
        id: Name of the target.
        service: Service that it announces.
        slots: Number of concurrent requests that it announces to accept
            without shedding load.
        service_time: Mean service time in seconds.
        cold_seconds: Time after the start during which the service time is
            tripled.
        plan: The active fault.
        rng: Random source of service times and of the choice of requests
            that a fault affects.
        runs: Requests run so far.
        running: Number of requests in service.
        started: Start time in seconds.
        leaving: Whether it announces that it is leaving.
        last_response: Body of the previous response, for the fault `CROSS`.
        keys_seen: Number of requests with an `Authorization` header.
        run_log: Unbuffered file to which each run is written at its start
            and again with its response, so that the runs of a killed target
            remain.
    """

    id: str
    service: str
    slots: int = 3
    service_time: float = 0.005
    cold_seconds: float = 0.0
    plan: faults.FaultPlan = attrs.field(factory=faults.FaultPlan)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    runs: list[Run] = attrs.field(factory=list)
    running: int = 0
    started: float = 0.0
    leaving: bool = False
    last_response: bytes = b'{"target": "nobody"}'
    keys_seen: int = 0
    run_log: BinaryIO | None = None

    def begin(self, run: Run) -> None:
        """Records a run at its start."""
        run.number = f"{os.getpid()}-{len(self.runs)}"
        self.runs.append(run)
        self.write(run)

    def record_response(self, run: Run, digest: str) -> None:
        """Records the digest of the response of a run."""
        run.answer_digest = digest
        self.write(run)

    def write(self, run: Run) -> None:
        """Appends a run to the log.

        A later line with the same number replaces an earlier one.
        """
        if self.run_log is not None:
            line = json.dumps(attrs.asdict(run)) + "\n"
            self.run_log.write(line.encode())

    def delay(self, now: float, fault: faults.Fault) -> float:
        """Returns a random service time for one request, in seconds."""
        delay = self.rng.lognormvariate(0, 0.3) * self.service_time
        if fault is faults.Fault.SLOW:
            delay *= self.plan.slow_factor
        if now - self.started < self.cold_seconds:
            delay *= 3
        return delay


def admin(state: TargetState, path: str, body: bytes, clock) -> bytes:
    """Handles the emulator's own paths and returns the response body."""
    name = path.removeprefix(ADMIN_PREFIX)
    match name:
        case "fault":
            fields = json.loads(body)
            state.plan = faults.FaultPlan(
                fault=faults.Fault(fields.pop("fault", "none")),
                since=clock.seconds(),
                **fields,
            )
        case "leave":
            state.leaving = True
        case "health":
            return b'{"healthy": true}'
        case "runs":
            runs = [attrs.asdict(run) for run in state.runs]
            return json.dumps(
                {"runs": runs, "keys_seen": state.keys_seen}
            ).encode()
        case _:
            return b'{"error": "unknown emulator path"}'
    return b"{}"
