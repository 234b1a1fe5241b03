"""Composition root: builds a daemon out of its parts."""

import collections
import random
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer, protocol

from cicadafront import dialect, loops, ports, shutdown
from cicadafront.agent import agent, observer, queue, targets
from cicadafront.config import model as config_model
from cicadafront.daemon import local, options, planned_stop, supervisor
from cicadafront.edge import dependencies, forward, policies, server
from cicadafront.peer import codec, exchange, link, pool
from cicadafront.telemetry import metrics as metrics_module
from cicadafront.telemetry import tracing

IDLE_CHECK_SECONDS = 5.0


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
        report_path: Takes whether the path to an instance works.
        announce_leaving: Tells the fleet about a planned stop.
        hand_over: Hands over what this instance owns, once its exchanges
            have ended and while its links are still open.
        before_links: Supervised parts that start before the peer listener.
        after_links: Supervised parts that need the peer listener; they stop
            while the links are still open.
        words: Header names of the deployment.
        dispatch: How often and how firmly agents are asked for one request.
        local_service: Returns the service beside which this instance runs.
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
    budget: policies.RetryBudget = attrs.field(
        factory=policies.RatioRetryBudget
    )
    hedges: policies.Hedges = attrs.field(factory=policies.NoHedges)
    picker: policies.Picker | None = None
    metrics: metrics_module.Metrics = attrs.field(
        factory=metrics_module.Metrics
    )
    tracer: tracing.Tracer | None = None
    report_path: Callable[[str, bool], None] = lambda peer, works: None
    announce_leaving: Callable[[], None] = lambda: None
    hand_over: Callable[[], "defer.Deferred[None]"] = lambda: defer.succeed(
        None
    )
    before_links: list[supervisor.Part] = attrs.field(factory=list)
    after_links: list[supervisor.Part] = attrs.field(factory=list)
    words: dialect.Dialect = dialect.DEFAULT
    dispatch: policies.DispatchPolicy = policies.DispatchPolicy()
    local_service: Callable[[], str] = lambda: ""
    repeated_share: Callable[[], float] = lambda: 0.0


FleetBuilder = Callable[[ports.PeerCalls], Fleet]


class _PeerFactory(protocol.Factory):
    noisy = False

    def __init__(self, services: link.LinkContext):
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
        self._build_stop()

    def _build_peer(self) -> None:
        settings = self._settings
        handlers: dict[str, ports.CallHandler] = {}
        hello = codec.Hello(
            settings.instance, settings.incarnation, link.PROTOCOL_VERSION
        )
        opener = pool.Relay(settings.instance, self, self._open_at)
        services = link.LinkContext(
            hello,
            opener,
            handlers,
            self._reactor,
            self.counts,
            self._report_path,
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
        picker = fleet.picker or policies.PowerOfTwoChoices(
            fleet.directory.targets, self._rng
        )
        site = dependencies.Dependencies(
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
            dispatch=fleet.dispatch,
            instance=self._settings.instance,
            data_centre=self._settings.data_centre,
            local_service=fleet.local_service,
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
            loops.Loop(
                "idle link check",
                self.calls.close_idle,
                loops.periodic(IDLE_CHECK_SECONDS),
                self._reactor,
                self._rng,
            )
        )
        for part in self._fleet.after_links:
            self.tree.add(part)
        self.tree.add(self._edge_port)

    def _build_stop(self) -> None:
        self._stop = planned_stop.PlannedStop(
            reactor=self._reactor,
            settings=self._settings,
            planned=self._planned,
            agent=self.agent,
            forwarder=self._forwarder,
            edge=self._edge,
            edge_port=self._edge_port,
            links=self._peers.links,
            calls=self.calls,
            tree=self.tree,
            counts=self.counts,
            rng=self._rng,
            announce=self._fleet.announce_leaving,
            hand_over=self._fleet.hand_over,
        )

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

    def _report_path(self, peer: str, works: bool) -> None:
        self._fleet.report_path(peer, works)

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
        return self._stop.ask()

    def stop(self) -> "defer.Deferred[None]":
        """Stops gracefully: running exchanges of all roles are finished."""
        return self._stop.run()
