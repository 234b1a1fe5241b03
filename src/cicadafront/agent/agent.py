"""The agent: runs requests at the targets beside this instance."""

import collections
from typing import Any

from cicadafront import dialect, errors, model, shutdown
from cicadafront.agent import idle, observer, queue, run, targets
from cicadafront.peer import exchange
from cicadafront.telemetry import metrics, tracing


def no_new_work(target: str) -> errors.RequestError:
    """Returns the refusal of work for a target."""
    return errors.TargetLeavingError(
        f"Target {target} takes no new work; try again.", retry_after=1.0
    )


class Agent:
    """Runs exchanges at local targets; an `exchange.Opener`.

    Attributes:
        accepting: Whether new exchanges are taken; False late in a planned
            stop.
        stopping: Planned stop of this instance.
        counts: Counts what the stop refuses.
    """

    def __init__(
        self,
        local: targets.LocalTargets,
        slots: queue.Queue,
        watcher: observer.Observer,
        connector: targets.Connector,
        clock: Any,
        values: metrics.Metrics | None = None,
        tracer: tracing.Tracer | None = None,
        words: dialect.Dialect = dialect.DEFAULT,
        stopping: shutdown.Shutdown | None = None,
        counts: collections.Counter[str] | None = None,
    ):
        self._local = local
        self.stopping = stopping or shutdown.Shutdown()
        self.counts = counts if counts is not None else collections.Counter()
        self.slots = slots
        self.watcher = watcher
        self.connector = connector
        self.clock = clock
        self.metrics = values or metrics.Metrics()
        self.tracer = tracer or tracing.Tracer("", clock.seconds)
        self.idle = idle.IdleConnections(clock, watcher)
        self.accepting = True
        self.words = words
        self.running: set[run.Run] = set()

    def open(
        self, request: exchange.OpenRequest, response: exchange.ResponseSink
    ) -> exchange.RequestSink:
        """Starts an exchange."""
        started = run.Run(self, request, response)
        if not (self.accepting and started.fits()):
            # What waits in the queue since before the stop may still run.
            self.counts["stop_refused_at_agent"] += 1
            started.refuse(no_new_work(request.target))
            return started
        self.running.add(started)
        started.start()
        return started

    def place(self, id: str) -> targets.LocalTarget:
        """Returns a target that takes work.

        Raises:
            NoTargetError: The target is not beside this instance.
            TargetLeavingError: The target takes no new work.
        """
        found = self._local.local(id)
        if found is None:
            raise errors.NoTargetError(
                f"Target {id} is not beside this instance; try again.",
                retry_after=1.0,
            )
        if found.target.state is not model.TargetState.SERVING:
            raise no_new_work(id)
        return found

    def refuse_waiting(self) -> None:
        """Refuses what waits here and cannot end before a planned stop."""
        for waiting in list(self.running):
            if not waiting.fits():
                waiting.refuse_waiting()

    def abandon(self, target: str) -> None:
        """Fails the repeatable requests that an ejected target stalls."""
        for running in list(self.running):
            if running.target == target:
                running.abandon()
