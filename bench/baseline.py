"""Simple baseline that the benchmarks compare against.

It routes requests round-robin, ejects a target after consecutive failures and
queues requests in a FIFO queue.
"""

import itertools
from collections.abc import Callable

from bench import fleet
from cicadafront import errors, model
from cicadafront.health import outcomes, paths
from cicadafront.peer import exchange

FAILURES = 5
EJECTION_SECONDS = 10.0
MAX_QUEUED = 64


class _FifoQueue:
    """Bounded queue that starts requests in order of arrival."""

    def __init__(self, slots: int, start: Callable, reject: Callable):
        self.slots = slots
        self.in_use = 0
        self.waiting: list = []
        self._start = start
        self._reject = reject

    def fair_backlog(self) -> int:
        return len(self.waiting)

    def submit(self, entry, now: float) -> None:
        if len(self.waiting) >= MAX_QUEUED:
            self._reject(entry, errors.QueueFullError("the queue is full"))
            return
        self.waiting.append(entry)
        self._fill()

    def finished(self, entry, now: float) -> None:
        self.in_use -= 1
        self._fill()

    def tick(self, now: float) -> None:
        pass

    def _fill(self) -> None:
        while self.waiting and self.in_use < self.slots:
            self.in_use += 1
            self._start(self.waiting.pop(0))


class BaselineAgent(fleet.Agent):
    """Ejects after consecutive failures, without a floor on serving targets."""

    def __init__(self, simulated: "fleet.Fleet", number: int) -> None:
        super().__init__(simulated, number)
        self.queue = _FifoQueue(
            simulated.deployment.slots, self._start, self._reject
        )
        self.failures = 0
        self.ejected_until = -1.0

    def record(self) -> model.Target:
        """Returns the target record, ejected during the ejection time."""
        record = super().record()
        if self.clock.now < self.ejected_until:
            state = model.TargetState.EJECTED
            return model.Target(
                record.id, record.service, record.instance, record.slots, state
            )
        return record

    def tick(self) -> None:
        """Does nothing: the baseline reacts to outcomes only."""

    def exchange_summaries(self) -> None:
        """Does nothing: the baseline does not compare targets."""

    def record_outcome(self, ok: bool) -> None:
        """Counts an outcome that the agent or an entry observed."""
        self.failures = 0 if ok else self.failures + 1
        if self.failures >= FAILURES and self.clock.now >= self.ejected_until:
            self.detections.append(self.clock.now)
            self.failures = 0
            self.ejected_until = self.clock.now + EJECTION_SECONDS

    def _done(self, entry, tracked, outcome: outcomes.Outcome) -> None:
        super()._done(entry, tracked, outcome)
        self.record_outcome(fleet.succeeded(outcome))


class _RoundRobin:
    def __init__(self, entry: fleet.Entry) -> None:
        self._entry = entry
        self._count = itertools.count()

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        pass

    def pick(self, service, exclude, now) -> model.Target | None:
        eligible = [
            target
            for target in self._entry.view
            if target.state is model.TargetState.SERVING
            and target.id not in exclude
        ]
        return eligible[next(self._count) % len(eligible)] if eligible else None


class _NoPaths(paths.Paths):
    def tick(self, now: float) -> list[paths.Action]:
        return []


class BaselineEntry(fleet.Entry):
    """Routes round-robin and counts a timeout as a failure of the target."""

    def __init__(self, simulated: "fleet.Fleet", number: int) -> None:
        super().__init__(simulated, number)
        self.paths = _NoPaths(simulated.rng)
        self.picker = _RoundRobin(self)

    def tick(self) -> None:
        """Does nothing: the baseline has no path health checks."""

    def submit(self, request: fleet.Request) -> None:
        """Sends a request; a timeout counts against every target it tried."""
        super().submit(request)
        self.clock.later(
            fleet.TIMEOUT_SECONDS - 1e-6, lambda: self._record_timeout(request)
        )

    def _record_timeout(self, request: fleet.Request) -> None:
        if not request.completed:
            for target_id in request.tried:
                self.fleet.by_id[target_id].record_outcome(False)


class BaselineFleet(fleet.Fleet):
    """Simulated service that uses the decisions of the baseline."""

    agent_class = BaselineAgent
    entry_class = BaselineEntry
