"""The agent: runs requests at the targets that are local to this instance."""

import collections
from collections.abc import Callable
from typing import Any

from cicadafront import dialect, errors, model, shutdown
from cicadafront.agent import idle, observer, queue, run, targets
from cicadafront.peer import exchange
from cicadafront.telemetry import metrics, tracing


def target_leaving_error(target: str) -> errors.RequestError:
    """Returns the error for a request to a target that is leaving."""
    return errors.TargetLeavingError(
        f"Target {target} accepts no new requests; retry.", retry_after=1.0
    )


class Agent:
    """Runs exchanges at local targets; an `exchange.Opener`.

    Attributes:
        accepting: Whether new exchanges are accepted; False in the late phase
            of a planned stop.
        stopping: Schedule of a planned stop of this instance.
        counts: Counters of requests refused because of a planned stop or an
            evacuation.
        evacuated: Returns whether the data centre of this instance is
            evacuated, so that no request may be sent to its targets.
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
        wire_dialect: dialect.Dialect = dialect.DEFAULT,
        stopping: shutdown.Shutdown | None = None,
        counts: collections.Counter[str] | None = None,
        evacuated: Callable[[], bool] = lambda: False,
    ):
        self._local = local
        self.stopping = stopping or shutdown.Shutdown()
        self.counts = counts if counts is not None else collections.Counter()
        self.evacuated = evacuated
        self.slots = slots
        self.watcher = watcher
        self.connector = connector
        self.clock = clock
        self.metrics = values or metrics.Metrics()
        self.tracer = tracer or tracing.Tracer("", clock.seconds)
        self.idle = idle.IdleConnections(clock, watcher)
        self.accepting = True
        self.wire_dialect = wire_dialect
        self.running: set[run.Run] = set()

    def open(
        self, request: exchange.OpenRequest, response: exchange.ResponseSink
    ) -> exchange.RequestSink:
        """Starts an exchange."""
        started = run.Run(self, request, response)
        if not (self.accepting and started.can_finish_in_time()):
            # Requests that were queued before the stop may still run.
            self.counts["stop_refused_at_agent"] += 1
            started.refuse(target_leaving_error(request.target))
            return started
        self.running.add(started)
        started.start()
        return started

    def serving_target(self, id: str) -> targets.LocalTarget:
        """Returns a local target that accepts requests.

        Raises:
            NoTargetError: The target is not local to this instance.
            TargetLeavingError: The target accepts no new requests, or its data
                centre is evacuated.
        """
        found = self._local.local(id)
        if found is None:
            raise errors.NoTargetError(
                f"Target {id} is not local to this instance; retry.",
                retry_after=1.0,
            )
        self.check_evacuation(id)
        if found.target.state is not model.TargetState.SERVING:
            raise target_leaving_error(id)
        return found

    def check_evacuation(self, id: str) -> None:
        """Checks that the data centre of a local target is not evacuated.

        Raises:
            TargetLeavingError: It is evacuated, or may be.
        """
        if self.evacuated():
            self.counts["evacuation_refused_at_agent"] += 1
            raise errors.TargetLeavingError(
                f"The data centre of target {id} is evacuated; retry.",
                retry_after=1.0,
            )

    def refuse_waiting(self) -> None:
        """Refuses queued requests that cannot finish before a planned stop."""
        for waiting in list(self.running):
            if not waiting.can_finish_in_time():
                waiting.refuse_waiting()

    def abandon(self, target: str) -> None:
        """Fails repeatable requests that are stalled at an ejected target."""
        for running in list(self.running):
            if running.target == target:
                running.abandon()
