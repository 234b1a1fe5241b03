"""Graceful shutdown (planned stop) of an instance."""

import collections
import random
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer, task
from twisted.python import failure

from cicadafront import loops, shutdown
from cicadafront.agent import agent
from cicadafront.daemon import options, supervisor
from cicadafront.edge import forward, server
from cicadafront.peer import link, pool
from cicadafront.telemetry import logs

# Interval at which a planned stop rejects waiting requests that cannot end in
# time. It takes up part of the margin between the last rejection and the
# deadline of the stop.
REFUSAL_INTERVAL_SECONDS = 0.1
# Interval at which a planned stop checks whether all work has ended.
POLL_INTERVAL_SECONDS = 0.02
# Timeout of the handover of shards, whose state is small and in memory.
HANDOVER_TIMEOUT_SECONDS = 8.0

# Counters of requests that were not served because of a planned stop.
_COUNTERS = (
    "stop_refused_late",
    "stop_refused_waiting",
    "stop_refused_at_agent",
    "stop_cut",
)

_log = logs.Log("daemon")


@attrs.define(eq=False)
class PlannedStop:
    """Completes or aborts the work of an instance, then stops its components.

    Attributes:
        reactor: Source of time and timers.
        settings: Time limits of the stop.
        shutdown_state: Passes the schedule of the stop to entry and agent.
        agent: Exchanges at the local targets.
        forwarder: Exchanges of callers.
        edge: Connections of callers.
        edge_listener: Listener for callers.
        links: Links that other instances have opened.
        calls: Links to other instances.
        tree: All components, which stop last.
        counts: Counters of rejected and aborted requests.
        rng: Source of jitter.
        announce: Announces the stop to the fleet.
        hand_over: Hands over the shards that this instance owns.
        requested_at: Time at which a signal requested the stop; None before.
    """

    reactor: Any
    settings: options.DaemonOptions
    shutdown_state: shutdown.Shutdown
    agent: agent.Agent
    forwarder: forward.Forwarder
    edge: server.Site
    edge_listener: supervisor.Listener
    links: set[link.Link]
    calls: pool.Pool
    tree: supervisor.Supervisor
    counts: collections.Counter[str]
    rng: random.Random
    announce: Callable[[], None]
    hand_over: Callable[[], "defer.Deferred[None]"]
    requested_at: float | None = None
    _running: "defer.Deferred[None] | None" = None

    def request(self) -> bool:
        """Records the time of the request, from which the limits count.

        Returns:
            True for the first request, else False.
        """
        if self.requested_at is not None:
            return False
        self.requested_at = self.reactor.seconds()
        return True

    def run(self) -> "defer.Deferred[None]":
        """Starts the stop, or returns the one in progress."""
        if self._running is None:
            self._running = self._run()
        return self._running

    @defer.inlineCallbacks
    def _run(self) -> Any:
        schedule = self._schedule()
        supervisor.log(
            "leaving: announced to the fleet; requests in flight continue."
        )
        self.edge.drain()
        self.announce()
        refusal_loop = self._refusal_loop()
        refusal_loop.start()
        # Callers that detect the stop by a failed health check still connect.
        yield self._pause(self.settings.accept_seconds, schedule.last_end)
        yield self.edge_listener.stop()
        supervisor.log("leaving: new connections are no longer accepted.")
        # Peers still choose the local targets until they have learned of the
        # stop, and a request of a caller may already be in transit on a
        # connection that appears idle.
        remaining = schedule.late - self.reactor.seconds()
        yield self._pause(remaining, schedule.last_end)
        self.agent.accepting = False
        self.agent.idle.close()
        self.edge.close_idle()
        yield self._wait_until(schedule.cut, self._is_idle)
        refusal_loop.stop()
        self._abort_remaining()
        yield self._hand_over_shards()
        yield self._close_links()
        yield self.tree.stop()
        supervisor.log("stopped.")

    def _schedule(self) -> shutdown.Schedule:
        now = self.reactor.seconds()
        requested = now if self.requested_at is None else self.requested_at
        schedule = shutdown.Schedule(
            requested + self.settings.leave_seconds,
            requested + self.settings.stop_seconds,
        )
        self.shutdown_state.schedule = schedule
        return schedule

    def _pause(self, seconds: float, end: float) -> "defer.Deferred[None]":
        """Waits for some seconds, but not after the time `end`."""
        max_seconds = end - self.reactor.seconds()
        return task.deferLater(
            self.reactor, max(0.0, min(seconds, max_seconds))
        )

    def _wait_until(
        self, limit: float, condition: Callable[[], bool]
    ) -> "defer.Deferred[Any]":
        def check() -> None:
            if condition() or self.reactor.seconds() >= limit:
                polling.stop()

        polling = task.LoopingCall(check)
        polling.clock = self.reactor
        return polling.start(POLL_INTERVAL_SECONDS)

    def _refusal_loop(self) -> loops.Loop:
        return loops.Loop(
            "refusal of what waits",
            self._refuse_waiting,
            loops.periodic(REFUSAL_INTERVAL_SECONDS),
            self.reactor,
            self.rng,
        )

    def _refuse_waiting(self) -> None:
        """Rejects waiting requests that cannot end before the deadline."""
        self.forwarder.refuse_waiting()
        self.agent.refuse_waiting()
        schedule = self.shutdown_state.schedule
        if schedule and self.reactor.seconds() > schedule.last_end:
            self.edge.refuse_partial(shutdown.refusal())

    def _is_idle(self) -> bool:
        busy = any(accepted.busy for accepted in self.links)
        running = self.forwarder.running or self.agent.running
        return not (busy or running or self.edge.connections)

    def _abort_remaining(self) -> None:
        """Aborts the remaining work and logs the counts of the stop."""
        # The last interval is missed if the process was suspended.
        self._refuse_waiting()
        remaining = {
            "exchanges of callers": len(self.forwarder.running),
            "exchanges at targets": len(self.agent.running),
            "connections of callers": sum(
                connection.cut() for connection in list(self.edge.connections)
            ),
        }
        for name, count in remaining.items():
            if count:
                supervisor.log(f"the time limit cuts {count} {name}.")
        self.counts["stop_cut"] += remaining["exchanges of callers"]
        _log.info(
            "requests that the planned stop rejected and cut.",
            **{name: self.counts[name] for name in _COUNTERS},
        )

    def _hand_over_shards(self) -> "defer.Deferred[None]":
        result = self.hand_over()
        result.addTimeout(HANDOVER_TIMEOUT_SECONDS, self.reactor)
        return result.addErrback(self._log_failed_handover)

    def _log_failed_handover(self, _reason: failure.Failure) -> None:
        supervisor.log(
            "some shards were not handed over; their next owner waits until "
            "this process is known to have ended."
        )

    def _close_links(self) -> "defer.Deferred[Any]":
        for accepted in list(self.links):
            accepted.finish()
        self.calls.close()
        limit = self.reactor.seconds() + self.settings.link_close_seconds
        # Slow callers may not have received all of a complete response.
        return self._wait_until(
            limit, lambda: not (self.links or self.edge.connections)
        )
