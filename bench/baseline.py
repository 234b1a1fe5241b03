"""Plain baseline: round robin, consecutive failures, a FIFO queue."""

import itertools
from collections.abc import Callable

from bench import fleet
from cicadafront import errors, model
from cicadafront.health import outcomes, paths
from cicadafront.peer import exchange

FAILURES = 5
EJECTION_SECONDS = 10.0
MAX_QUEUED = 64


class _Fifo:
    """Queue that serves requests in order of arrival."""

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
    """Ejects after a number of failures in a row, without a floor."""

    def __init__(self, world: "fleet.Fleet", number: int) -> None:
        super().__init__(world, number)
        self.queue = _Fifo(world.deployment.slots, self._start, self._reject)
        self.failures = 0
        self.out_until = -1.0

    def record(self) -> model.Target:
        """Returns the record with the state of the baseline."""
        record = super().record()
        if self.clock.now < self.out_until:
            state = model.TargetState.EJECTED
            return model.Target(
                record.id, record.service, record.instance, record.slots, state
            )
        return record

    def tick(self) -> None:
        """Does nothing; the baseline acts on outcomes only."""

    def exchange(self) -> None:
        """Does nothing; the baseline compares nothing."""

    def judge(self, good: bool) -> None:
        """Counts an outcome that the agent or an entry saw."""
        self.failures = 0 if good else self.failures + 1
        if self.failures >= FAILURES and self.clock.now >= self.out_until:
            self.condemned.append(self.clock.now)
            self.failures = 0
            self.out_until = self.clock.now + EJECTION_SECONDS

    def _done(self, entry, work, outcome: outcomes.Outcome) -> None:
        super()._done(entry, work, outcome)
        self.judge(fleet.succeeded(outcome))


class _RoundRobin:
    def __init__(self, entry: fleet.Entry) -> None:
        self._entry = entry
        self._count = itertools.count()

    def observe(self, target_id: str, load: exchange.Load, now: float) -> None:
        pass

    def pick(self, service, exclude, now) -> model.Target | None:
        able = [
            target
            for target in self._entry.view
            if target.state is model.TargetState.SERVING
            and target.id not in exclude
        ]
        return able[next(self._count) % len(able)] if able else None


class _NoPaths(paths.Paths):
    def tick(self, now: float) -> list[paths.Action]:
        return []


class BaselineEntry(fleet.Entry):
    """Picks in turn; a timeout counts against the target."""

    def __init__(self, world: "fleet.Fleet", number: int) -> None:
        super().__init__(world, number)
        self.paths = _NoPaths(world.rng)
        self.picker = _RoundRobin(self)

    def tick(self) -> None:
        """Does nothing; the baseline has no path health."""

    def submit(self, request: fleet.Request) -> None:
        """Blames the targets of a request that had no answer in time."""
        super().submit(request)
        self.clock.later(
            fleet.TIMEOUT_SECONDS - 1e-6, lambda: self._blame(request)
        )

    def _blame(self, request: fleet.Request) -> None:
        if not request.over:
            for name in request.tried:
                self.fleet.by_id[name].judge(False)


class BaselineFleet(fleet.Fleet):
    """The same service with the baseline's decisions."""

    agent_class = BaselineAgent
    entry_class = BaselineEntry
