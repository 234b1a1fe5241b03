"""Composition root: creates and connects the components of a daemon."""

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
from cicadafront.edge import (
    byte_account,
    dependencies,
    forward,
    policies,
    server,
)
from cicadafront.edge import turns as turns_module
from cicadafront.health import downstream as downstream_module
from cicadafront.peer import codec, exchange, link, pool
from cicadafront.routing import eligibility as eligibility_module
from cicadafront.telemetry import metrics as metrics_module
from cicadafront.telemetry import tracing

IDLE_CHECK_SECONDS = 5.0
# Time without a frame after which an idle accepted link is closed.
ACCEPTED_IDLE_SECONDS = pool.IDLE_SECONDS + 3 * IDLE_CHECK_SECONDS


@attrs.define
class Fleet:
    """Components that depend on the fleet.

    The defaults of the optional ones suit a single process.

    Attributes:
        directory: Instances and targets.
        local_targets: Targets that are local to this instance.
        configuration: Returns the accepted configuration, or None.
        on_configuration: Registers a function to call with each new
            configuration.
        admission: Rate limiter of the client accounts.
        records: Idempotency records.
        confirmed: Returns whether the keys are confirmed as current.
        slots: Slots and queues of the local targets.
        watcher: Observer of the exchanges at the local targets.
        suspects: Rejects requests that are suspected of crashing targets.
        budget: Limits retries and hedges.
        hedges: Decides when a read is hedged.
        picker: Chooses targets; by default the less loaded of two random ones.
        metrics: Metrics of this instance.
        tracer: Tracer of this instance; created if None.
        report_path: Called with an instance and whether the network path to
            it works.
        announce_leaving: Announces a planned stop to the fleet.
        hand_over: Hands over the shards that this instance owns; called after
            its exchanges have ended and before its links are closed.
        before_links: Components that start before the peer listener.
        after_links: Components that need the peer listener; they stop before
            it.
        wire_dialect: Header names and conventions of the deployment.
        dispatch: How requests are dispatched to agents.
        local_service: Returns the service of the local target.
        repeated_share: Returns the share, from 0 to 1, of the requests at the
            local target that have been sent to another target before.
        downstream: Requests that the local targets send to other services.
        eligibility: Returns the rules on where requests may run.
        on_eligibility: Registers a function to call when these rules change.
        evacuated: Returns whether the data centre of this instance is
            evacuated.
        account: Bounds what the process holds for its clients.
        turns: Defers the work of busy connections; None if it is not bounded.
    """

    directory: ports.Directory
    local_targets: targets.LocalTargets
    configuration: Callable[[], config_model.Configuration | None]
    on_configuration: Callable[
        [Callable[[config_model.Configuration], None]], None
    ] = lambda _: None
    admission: ports.Admission = attrs.field(factory=local.UnlimitedAdmission)
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
    before_links: list[supervisor.Component] = attrs.field(factory=list)
    after_links: list[supervisor.Component] = attrs.field(factory=list)
    wire_dialect: dialect.Dialect = dialect.DEFAULT
    dispatch: policies.DispatchPolicy = policies.DispatchPolicy()
    local_service: Callable[[], str] = lambda: ""
    repeated_share: Callable[[], float] = lambda: 0.0
    downstream: downstream_module.DownstreamRequests = attrs.field(
        factory=downstream_module.DownstreamRequests
    )
    eligibility: Callable[[], eligibility_module.Eligibility] = lambda: (
        eligibility_module.UNRESTRICTED
    )
    on_eligibility: Callable[[Callable[[], None]], None] = lambda _: None
    evacuated: Callable[[], bool] = lambda: False
    account: byte_account.Account = attrs.field(factory=byte_account.Account)
    turns: turns_module.Turns | None = None


FleetBuilder = Callable[[ports.PeerCalls], Fleet]


class _PeerFactory(protocol.Factory):
    noisy = False

    def __init__(self, link_context: link.LinkContext):
        self._link_context = link_context
        self.links: set[link.Link] = set()
        self.account: byte_account.Account | None = None

    def buildProtocol(self, addr: Any) -> link.Link | None:  # noqa: N802
        now = self._link_context.clock.seconds()
        if self.account is not None and not self.account.admits(now):
            return None
        new_link = link.Link(
            self._link_context,
            on_closed=self.links.discard,
            account=self.account,
        )
        self.links.add(new_link)
        return new_link


class Daemon:
    """One instance.

    Attributes:
        counts: Event counters of all components.
        agent: Runs requests at the local targets.
        calls: Calls to and from other instances.
        peer_links: Factory of the links that other instances open.
        tree: Starts and stops the components.
    """

    def __init__(
        self,
        reactor: Any,
        settings: options.DaemonOptions,
        build_fleet: FleetBuilder,
        rng: random.Random | None = None,
    ):
        """Creates all components.

        Args:
            reactor: Twisted reactor.
            settings: Identity, addresses and limits.
            build_fleet: Creates the fleet components. They may register
                handlers of peer calls, but call no peer before the start.
            rng: Random number generator for jitter and load balancing.
        """
        self._reactor = reactor
        self._settings = settings
        self._rng = rng or random.Random()
        self.counts: collections.Counter[str] = collections.Counter()
        self._shutdown = shutdown.Shutdown()
        self._build_peer()
        self._fleet = fleet = build_fleet(self.calls)
        if fleet.tracer is None:
            fleet.tracer = tracing.Tracer(settings.instance, reactor.seconds)
        self.agent = agent.Agent(
            fleet.local_targets,
            fleet.slots,
            fleet.watcher,
            targets.TcpConnector(reactor),
            reactor,
            fleet.metrics,
            fleet.tracer,
            fleet.wire_dialect,
            self._shutdown,
            self.counts,
            fleet.evacuated,
        )
        if fleet.account.bounded:
            self.peer_links.account = fleet.account
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
        link_context = link.LinkContext(
            hello,
            opener,
            handlers,
            self._reactor,
            self.counts,
            self._report_path,
        )
        self.calls = pool.Pool(
            link_context,
            self._address_of,
            self._reactor,
            handlers,
            connect_seconds=settings.connect_seconds,
        )
        self.peer_links = _PeerFactory(link_context)

    def _build_edge(self) -> None:
        fleet = self._fleet
        picker = fleet.picker or policies.PowerOfTwoChoices(
            fleet.directory.targets, self._rng
        )
        edge_dependencies = dependencies.Dependencies(
            configuration=fleet.configuration,
            admission=fleet.admission,
            records=fleet.records,
            picker=picker,
            budget=fleet.budget,
            hedges=fleet.hedges,
            open_at=self.calls.open,
            targets=fleet.directory.targets,
            relay=self._choose_relay,
            clock=self._reactor,
            suspects=fleet.suspects,
            confirmed=fleet.confirmed,
            counts=self.counts,
            metrics=fleet.metrics,
            tracer=self.agent.tracer,
            wire_dialect=fleet.wire_dialect,
            dispatch=fleet.dispatch,
            instance=self._settings.instance,
            data_centre=self._settings.data_centre,
            local_service=fleet.local_service,
            repeated_share=fleet.repeated_share,
            downstream=fleet.downstream,
            rng=self._rng,
            stopping=self._shutdown,
            eligibility=fleet.eligibility,
        )
        self._forwarder = forward.Forwarder(edge_dependencies)
        self._edge = server.Site(
            self._forwarder,
            self._reactor,
            self.counts,
            wire_dialect=fleet.wire_dialect,
            account=fleet.account,
            turns=fleet.turns,
        )
        fleet.on_eligibility(self._forwarder.check_eligibility)
        fleet.on_configuration(self._close_withdrawn)
        fleet.on_configuration(self._apply_caller_limits)

    def _apply_caller_limits(
        self, configuration: config_model.Configuration
    ) -> None:
        if configuration.limits is not None:
            self._edge.idle_seconds = configuration.limits.idle_seconds
            self._edge.head_seconds = configuration.limits.head_seconds
            self._edge.body_bytes = configuration.limits.body_bytes
            self._edge.head_bytes = configuration.limits.head_bytes

    def _close_withdrawn(
        self, configuration: config_model.Configuration
    ) -> None:
        """Ends exchanges and connections of callers with withdrawn keys."""
        self._forwarder.check_keys()
        self._edge.close_withdrawn(
            lambda token: configuration.account_for(token) is not None
        )

    def _build_metrics(self) -> None:
        self._fleet.metrics.total_by("events", "event", lambda: self.counts)
        self._fleet.metrics.gauge("links_opened", lambda: len(self.calls))
        self._fleet.metrics.gauge(
            "links_accepted", lambda: len(self.peer_links.links)
        )
        self._fleet.metrics.gauge(
            "running_exchanges", lambda: len(self.agent.running)
        )

    def _build_tree(self) -> None:
        fleet = self._fleet
        self._peer_listener = supervisor.Listener(
            "peer listener",
            self._reactor,
            self._settings.peer,
            self.peer_links,
            self._rng,
        )
        self._edge_listener = supervisor.Listener(
            "edge listener",
            self._reactor,
            self._settings.edge,
            server.Factory(self._edge),
            self._rng,
            byte_account.RECEIVE_BYTES if fleet.account.bounded else 0,
        )
        self.tree = supervisor.Supervisor()
        for component in self._fleet.before_links:
            self.tree.add(component)
        self.tree.add(self._peer_listener)
        self.tree.add(
            loops.Loop(
                "idle link check",
                self.close_idle_links,
                loops.periodic(IDLE_CHECK_SECONDS),
                self._reactor,
                self._rng,
            )
        )
        for component in self._fleet.after_links:
            self.tree.add(component)
        self.tree.add(self._edge_listener)

    def close_idle_links(self) -> None:
        """Closes idle links, and accepted ones whose peer is gone."""
        self.calls.close_idle()
        # The peer closes an idle link; one that outlives this has no peer.
        limit = self._reactor.seconds() - ACCEPTED_IDLE_SECONDS
        for accepted in list(self.peer_links.links):
            if not accepted.busy and accepted.last_used <= limit:
                accepted.close()

    def _build_stop(self) -> None:
        self._stop = planned_stop.PlannedStop(
            reactor=self._reactor,
            settings=self._settings,
            shutdown_state=self._shutdown,
            agent=self.agent,
            forwarder=self._forwarder,
            edge=self._edge,
            edge_listener=self._edge_listener,
            links=self.peer_links.links,
            calls=self.calls,
            tree=self.tree,
            counts=self.counts,
            rng=self._rng,
            announce=self._fleet.announce_leaving,
            hand_over=self._fleet.hand_over,
        )

    @property
    def accepts_callers(self) -> bool:
        """Whether the listener for callers is open."""
        return self._edge_listener.open

    @property
    def edge_port(self) -> int:
        """TCP port for callers; valid after the start."""
        return self._edge_listener.port

    @property
    def peer_port(self) -> int:
        """TCP port for other instances; valid after the start."""
        return self._peer_listener.port

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

    def _choose_relay(
        self,
        instance: str,
        permits: Callable[[str], bool] = lambda data_centre: True,
    ) -> str | None:
        """Returns an instance that can relay to another one, or None.

        Args:
            instance: Id of the instance to reach.
            permits: Returns whether instances of a data centre may relay.
        """
        own_id = self._settings.instance
        candidates = [
            other.id
            for other in self._fleet.directory.instances()
            if other.id not in (own_id, instance)
            and other.alive
            and not other.leaving
            and not self.calls.is_down(other.id)
            and permits(other.data_centre)
        ]
        return self._rng.choice(candidates) if candidates else None

    def start(self) -> "defer.Deferred[None]":
        """Starts all components; fails with `StartError`."""
        return self.tree.start()

    def request_stop(self) -> bool:
        """Records the time of a stop request, from which its limits count.

        Returns:
            True for the first request, else False.
        """
        return self._stop.request()

    def stop(self) -> "defer.Deferred[None]":
        """Stops gracefully; exchanges in flight may end in a limited time."""
        return self._stop.run()
