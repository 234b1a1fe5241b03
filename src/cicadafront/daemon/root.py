"""Composition root: builds a daemon out of its parts."""

import collections
import random
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer, protocol, task
from twisted.python import failure

from cicadafront import dialect, ports, shutdown
from cicadafront.agent import agent, observer, queue, targets
from cicadafront.config import model as config_model
from cicadafront.daemon import local, options, supervisor
from cicadafront.edge import forward, parts, policies, server
from cicadafront.peer import codec, exchange, link, pool
from cicadafront.telemetry import logs, tracing
from cicadafront.telemetry import metrics as metrics_module

IDLE_CHECK_SECONDS = 5.0
# Interval at which a planned stop refuses what waits; a part of the margin
# between the last refusal and the cut.
REFUSE_SECONDS = 0.1
# Interval at which a planned stop looks whether all work has ended.
DRAIN_CHECK_SECONDS = 0.02
# Limit of the hand-over of shards; their state is in memory and small.
HAND_OVER_SECONDS = 8.0

_log = logs.Log("daemon")


@attrs.define
class Fleet:
    """The parts that know the fleet; each has a stand-in for one process.

    Attributes:
        directory: Instances and targets.
        beside: Targets beside this instance.
        configuration: Returns the accepted configuration, or None.
        on_configuration: Registers a function to call with each new
            configuration.
        admission: Rates of client accounts.
        records: Idempotency records.
        confirmed: Whether keys can be trusted at the moment.
        slots: Slots and queue of the targets beside this instance.
        watcher: Judges the targets beside this instance.
        suspects: Refuses requests that crash targets.
        budget: Bounds retries and hedges.
        hedges: Decides when a read gets a second attempt.
        picker: Chooses targets; the least loaded of two without one.
        metrics: Metrics of this instance.
        tracer: Spans of this instance; a new one without it.
        judge_path: Takes whether the path to an instance works.
        announce_leaving: Tells the fleet about a planned stop.
        hand_over: Hands over what this instance owns, once its exchanges
            have ended and while its links are still open.
        before_links: Supervised parts that start before the peer listener.
        after_links: Supervised parts that need the peer listener; they stop
            while the links are still open.
        words: Header names of the deployment.
        asking: How often and how firmly agents are asked for one request.
        service_here: Returns the service beside which this instance runs.
    """

    directory: ports.Directory
    beside: targets.LocalTargets
    configuration: Callable[[], config_model.Configuration | None]
    on_configuration: Callable[
        [Callable[[config_model.Configuration], None]], None
    ] = lambda _: None
    admission: ports.Admission = attrs.field(factory=local.OpenAdmission)
    records: ports.OutcomeRecords = attrs.field(factory=local.LocalRecords)
    confirmed: Callable[[], bool] = lambda: True
    slots: queue.Queue = attrs.field(factory=queue.FifoQueue)
    watcher: observer.Observer = attrs.field(factory=observer.NullObserver)
    suspects: policies.Suspects = attrs.field(factory=policies.NoSuspects)
    budget: policies.RetryBudget = attrs.field(factory=policies.ShareBudget)
    hedges: policies.Hedges = attrs.field(factory=policies.NoHedges)
    picker: policies.Picker | None = None
    metrics: metrics_module.Metrics = attrs.field(
        factory=metrics_module.Metrics
    )
    tracer: tracing.Tracer | None = None
    judge_path: Callable[[str, bool], None] = lambda peer, works: None
    announce_leaving: Callable[[], None] = lambda: None
    hand_over: Callable[[], "defer.Deferred[None]"] = lambda: defer.succeed(
        None
    )
    before_links: list[supervisor.Part] = attrs.field(factory=list)
    after_links: list[supervisor.Part] = attrs.field(factory=list)
    words: dialect.Dialect = dialect.DEFAULT
    asking: policies.Asking = policies.Asking()
    service_here: Callable[[], str] = lambda: ""
    repeated_share: Callable[[], float] = lambda: 0.0


# Counters of requests that a planned stop did not serve.
_STOP_COUNTS = (
    "stop_refused_late",
    "stop_refused_waiting",
    "stop_refused_at_agent",
    "stop_cut",
)


FleetBuilder = Callable[[ports.PeerCalls], Fleet]


class _PeerFactory(protocol.Factory):
    noisy = False

    def __init__(self, services: link.Services):
        self._services = services
        self.links: set[link.Link] = set()

    def buildProtocol(self, addr: Any) -> link.Link:  # noqa: N802
        made = link.Link(self._services, on_closed=self.links.discard)
        self.links.add(made)
        return made


class Daemon:
    """One instance.

    Attributes:
        counts: Counters of all parts.
        calls: Calls to and from other instances.
    """

    def __init__(
        self,
        reactor: Any,
        settings: options.DaemonOptions,
        build_fleet: FleetBuilder,
        rng: random.Random | None = None,
    ):
        """Creates all parts.

        Args:
            reactor: Twisted reactor.
            settings: Identity, addresses and limits.
            build_fleet: Creates the parts that know the fleet; they may
                register calls from peers, but make none before the start.
            rng: Source of jitter and choices.
        """
        self._reactor = reactor
        self._settings = settings
        self._rng = rng or random.Random()
        self._stopping: defer.Deferred[None] | None = None
        # Time at which a signal asked for the stop.
        self._asked: float | None = None
        self.counts: collections.Counter[str] = collections.Counter()
        self._planned = shutdown.Shutdown()
        self._build_peer()
        self._fleet = fleet = build_fleet(self.calls)
        if fleet.tracer is None:
            fleet.tracer = tracing.Tracer(settings.instance, reactor.seconds)
        self.agent = agent.Agent(
            fleet.beside,
            fleet.slots,
            fleet.watcher,
            targets.TcpConnector(reactor),
            reactor,
            fleet.metrics,
            fleet.tracer,
            fleet.words,
            self._planned,
            self.counts,
        )
        self._build_edge()
        self._build_metrics()
        self._build_tree()

    def _build_peer(self) -> None:
        settings = self._settings
        handlers: dict[str, ports.CallHandler] = {}
        hello = codec.Hello(
            settings.instance, settings.incarnation, link.PROTOCOL_VERSION
        )
        opener = pool.Relay(settings.instance, self, self._open_at)
        services = link.Services(
            hello,
            opener,
            handlers,
            self._reactor,
            self.counts,
            self._judge_path,
        )
        self.calls = pool.Pool(
            services,
            self._address_of,
            self._reactor,
            handlers,
            connect_seconds=settings.connect_seconds,
        )
        self._peers = _PeerFactory(services)

    def _build_edge(self) -> None:
        fleet = self._fleet
        picker = fleet.picker or policies.LeastOfTwo(
            fleet.directory.targets, self._rng
        )
        site = parts.Parts(
            configuration=fleet.configuration,
            admission=fleet.admission,
            records=fleet.records,
            picker=picker,
            budget=fleet.budget,
            hedges=fleet.hedges,
            open_at=self.calls.open,
            targets=fleet.directory.targets,
            relay=self._relay,
            clock=self._reactor,
            suspects=fleet.suspects,
            confirmed=fleet.confirmed,
            counts=self.counts,
            metrics=fleet.metrics,
            tracer=self.agent.tracer,
            words=fleet.words,
            asking=fleet.asking,
            instance=self._settings.instance,
            data_centre=self._settings.data_centre,
            service_here=fleet.service_here,
            repeated_share=fleet.repeated_share,
            rng=self._rng,
            stopping=self._planned,
        )
        self._forwarder = forward.Forwarder(site)
        self._edge = server.Site(
            self._forwarder, self._reactor, self.counts, words=fleet.words
        )
        fleet.on_configuration(self._check_keys)
        fleet.on_configuration(self._limit_callers)

    def _limit_callers(self, new: config_model.Configuration) -> None:
        if new.limits is not None:
            self._edge.idle_seconds = new.limits.idle_seconds
            self._edge.head_seconds = new.limits.head_seconds
            self._edge.body_bytes = new.limits.body_bytes
            self._edge.head_bytes = new.limits.head_bytes

    def _check_keys(self, new: config_model.Configuration) -> None:
        """Ends what callers with withdrawn keys have open here."""
        self._forwarder.check_keys()
        self._edge.close_withdrawn(
            lambda token: new.account_for(token) is not None
        )

    def _build_metrics(self) -> None:
        self._fleet.metrics.total_by("events", "event", lambda: self.counts)
        self._fleet.metrics.gauge("links_opened", lambda: len(self.calls))
        self._fleet.metrics.gauge(
            "links_accepted", lambda: len(self._peers.links)
        )
        self._fleet.metrics.gauge(
            "running_exchanges", lambda: len(self.agent.running)
        )

    def _build_tree(self) -> None:
        self._peer_port = supervisor.Listener(
            "peer listener",
            self._reactor,
            self._settings.peer,
            self._peers,
            self._rng,
        )
        self._edge_port = supervisor.Listener(
            "edge listener",
            self._reactor,
            self._settings.edge,
            server.Factory(self._edge),
            self._rng,
        )
        self.tree = supervisor.Supervisor()
        for part in self._fleet.before_links:
            self.tree.add(part)
        self.tree.add(self._peer_port)
        self.tree.add(
            supervisor.Periodic(
                "idle link check",
                self._reactor,
                IDLE_CHECK_SECONDS,
                self.calls.close_idle,
                self._rng,
            )
        )
        for part in self._fleet.after_links:
            self.tree.add(part)
        self.tree.add(self._edge_port)

    @property
    def edge_port(self) -> int:
        """Port for callers, once started."""
        return self._edge_port.port

    @property
    def peer_port(self) -> int:
        """Port for other instances, once started."""
        return self._peer_port.port

    def _address_of(self, instance: str) -> tuple[str, int] | None:
        found = self._fleet.directory.instance(instance)
        return found.peer_address if found is not None else None

    def _judge_path(self, peer: str, works: bool) -> None:
        self._fleet.judge_path(peer, works)

    def open(
        self, request: exchange.OpenRequest, response: exchange.ResponseSink
    ) -> exchange.RequestSink:
        """Starts an exchange at the agent of this instance."""
        return self.agent.open(request, response)

    def _open_at(
        self,
        instance: str,
        request: exchange.OpenRequest,
        response: exchange.ResponseSink,
    ) -> exchange.RequestSink:
        return self.calls.open(instance, request, response)

    def _relay(self, instance: str) -> str | None:
        here = self._settings.instance
        third = [
            other.id
            for other in self._fleet.directory.instances()
            if other.id not in (here, instance)
            and other.alive
            and not other.leaving
            and not self.calls.is_down(other.id)
        ]
        return self._rng.choice(third) if third else None

    def start(self) -> "defer.Deferred[None]":
        """Starts all parts; fails with `StartError`."""
        return self.tree.start()

    def asked_to_stop(self) -> bool:
        """Notes that a planned stop is due, whose time counts from now.

        Returns:
            Whether this is the first time.
        """
        if self._asked is not None:
            return False
        self._asked = self._reactor.seconds()
        return True

    def stop(self) -> "defer.Deferred[None]":
        """Stops gracefully: running exchanges of all roles are finished."""
        if self._stopping is None:
            self._stopping = self._drain()
        return self._stopping

    @defer.inlineCallbacks
    def _drain(self) -> Any:
        settings = self._settings
        now = self._reactor.seconds()
        began = now if self._asked is None else self._asked
        self._planned.schedule = planned = shutdown.Schedule(
            began + settings.leave_seconds, began + settings.stop_seconds
        )
        supervisor.log("leaving: the fleet is told; running requests end.")
        self._edge.drain()
        self._fleet.announce_leaving()
        refusing = supervisor.Periodic(
            "refusal of what waits",
            self._reactor,
            REFUSE_SECONDS,
            self._refuse_waiting,
            self._rng,
        )
        refusing.start()
        # Callers that learn of the stop by the health check still come.
        yield self._pause(settings.accept_seconds, planned.last_end)
        yield self._edge_port.stop()
        supervisor.log("leaving: no new connections are accepted.")
        # Peers choose the targets here until they learn of the stop, and
        # callers may have sent a request on a connection that looks idle.
        left = planned.late - self._reactor.seconds()
        yield self._pause(left, planned.last_end)
        self.agent.accepting = False
        self.agent.idle.close()
        self._edge.close_idle()
        yield self._until(planned.cut, self._finished)
        refusing.stop()
        self._cut()
        yield self._hand_over()
        yield self._close_links()
        yield self.tree.stop()
        supervisor.log("stopped.")

    def _pause(self, seconds: float, end: float) -> "defer.Deferred[None]":
        """Waits for some time, but not beyond a moment."""
        most = end - self._reactor.seconds()
        return task.deferLater(self._reactor, max(0.0, min(seconds, most)))

    def _refuse_waiting(self) -> None:
        """Refuses what waits for a target and cannot end before the cut."""
        self._forwarder.refuse_waiting()
        self.agent.refuse_waiting()
        schedule = self._planned.schedule
        if schedule and self._reactor.seconds() > schedule.last_end:
            self._edge.refuse_partial(shutdown.refusal())

    def _finished(self) -> bool:
        busy = any(accepted.busy for accepted in self._peers.links)
        running = self._forwarder.running or self.agent.running
        return not (busy or running or self._edge.connections)

    def _until(
        self, limit: float, condition: Callable[[], bool]
    ) -> "defer.Deferred[Any]":
        def check() -> None:
            if condition() or self._reactor.seconds() >= limit:
                waiting.stop()

        waiting = task.LoopingCall(check)
        waiting.clock = self._reactor
        return waiting.start(DRAIN_CHECK_SECONDS)

    def _hand_over(self) -> "defer.Deferred[None]":
        handing = self._fleet.hand_over()
        handing.addTimeout(HAND_OVER_SECONDS, self._reactor)
        return handing.addErrback(self._not_handed_over)

    def _not_handed_over(self, _reason: failure.Failure) -> None:
        supervisor.log(
            "some shards were not handed over; their next owner waits until "
            "this process is known to have ended."
        )

    def _cut(self) -> None:
        """Ends what is left and logs what the stop refused and cut."""
        # A process that was paused may have missed the last interval.
        self._refuse_waiting()
        left = {
            "exchanges of callers": len(self._forwarder.running),
            "exchanges at targets": len(self.agent.running),
            "connections of callers": sum(
                connection.cut() for connection in list(self._edge.connections)
            ),
        }
        for name, count in left.items():
            if count:
                supervisor.log(f"the time limit cuts {count} {name}.")
        self.counts["stop_cut"] += left["exchanges of callers"]
        _log.info(
            "what the planned stop refused and cut.",
            **{name: self.counts[name] for name in _STOP_COUNTS},
        )

    def _close_links(self) -> "defer.Deferred[Any]":
        for accepted in list(self._peers.links):
            accepted.finish()
        self.calls.close()
        limit = self._reactor.seconds() + self._settings.link_close_seconds
        # Answers that are whole may still be on their way to slow callers.
        return self._until(
            limit, lambda: not (self._peers.links or self._edge.connections)
        )
