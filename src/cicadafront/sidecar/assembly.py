"""Composition root of an instance that is the sidecar of one target."""

import collections
import http
import random
from collections.abc import Callable
from typing import Any

import attrs

from cicadafront import loops, model, ports, prober
from cicadafront.agent import queue
from cicadafront.config import current, evacuation_follow, follow
from cicadafront.config import model as config_model
from cicadafront.daemon import options, root, supervisor
from cicadafront.edge import byte_account, policies, server, turns
from cicadafront.health import crashes, downstream, paths
from cicadafront.limits import coordinators, retries, shares
from cicadafront.membership import (
    departures,
    gossip,
    handover,
    heartbeat_registry,
    probing,
    records,
    registration,
    service,
    store_era,
    stored_facts,
    stored_target,
    view,
)
from cicadafront.peer import exchange
from cicadafront.platform import documents, store, wire_names
from cicadafront.routing import (
    cold_start,
    cold_target,
    even_load,
    gate,
    hedges,
    picker,
)
from cicadafront.sidecar import (
    client_limits,
    confirmation,
    endpoints,
    evacuation,
    heartbeats,
    readiness,
    settings,
    watch,
)
from cicadafront.telemetry import logs, metrics, tracing

# Time for which new requests are accepted during a planned stop. Callers notice
# the stop at the second failed health check, and the platform sends one per
# second.
ACCEPT_SECONDS = 2.5
# Time between the end of the running requests and the platform's SIGKILL, in
# which the links are closed.
STOP_MARGIN_SECONDS = 0.8
LINK_CLOSE_SECONDS = 0.4
# Connection timeout. A round trip takes 1 ms. A lost SYN is retransmitted only
# after 1 s, and by then another instance can have served the request.
CONNECT_SECONDS = 0.3
# Targets of this deployment are slow for 3 s after their start.
SLOW_START = picker.SlowStart(seconds=3.0, weight=0.4)
# Candidates with a free slot come first, then queueing, then suspended targets.
DISPATCH = policies.DispatchPolicy(
    (
        policies.DispatchRound(exchange.REQUIRE_FREE_SLOT, 2, local_only=True),
        policies.DispatchRound(exchange.REQUIRE_FREE_SLOT, 4),
        policies.DispatchRound(exchange.ALLOW_QUEUEING, 3),
        policies.DispatchRound(exchange.ALLOW_SUSPENDED_TARGET, 2),
    ),
    # With many entries, most of what is known of targets is old: the wait is
    # shorter at the first free one of three than after further questions.
    large_fleet_rounds=(
        policies.DispatchRound(exchange.REQUIRE_FREE_SLOT, 2, local_only=True),
        policies.DispatchRound(exchange.REQUIRE_FREE_SLOT, 1),
        policies.DispatchRound(exchange.ALLOW_QUEUEING, 3, places=3),
        policies.DispatchRound(exchange.ALLOW_SUSPENDED_TARGET, 2),
    ),
    # A short wait in the local data centre costs less than sending a large body
    # to another one.
    large_body_rounds=(
        policies.DispatchRound(exchange.REQUIRE_FREE_SLOT, 4, local_only=True),
        policies.DispatchRound(exchange.ALLOW_QUEUEING, 2, local_only=True),
    ),
    free_redispatch=True,
    retry_server_errors=True,
    hedge_by_route=True,
    confirm=True,
    # A running request is not aborted when its key is withdrawn, since the key
    # was valid when the request started.
    finish_with_withdrawn_key=True,
)
# A target that joins must receive requests within two seconds. A fleet without
# changes uses a small part of the byte rate, and one that starts more.
GOSSIP_PARAMETERS = gossip.Parameters(
    bytes_per_second=4000.0,
    digest_seconds=1.5,
    broadcast_all_changes=True,
    tick_seconds=0.2,
)
# Time that a started instance needs to discover the others if all of them start
# at the same time.
SETTLE_SECONDS = 3.0

_log = logs.Log("sidecar")


class SidecarAssembly:
    """Builds the components of a daemon that depend on fleet and platform.

    Attributes:
        options: Options of the request path.
        metrics: Metrics of the instance.
        held: Holds the configuration in force.
        unknown_values: Values of decoded configurations that are not known,
            by field.
        leaving: Whether a planned stop has begun.
    """

    def __init__(
        self, reactor: Any, sidecar_settings: settings.SidecarSettings
    ):
        self.reactor = reactor
        self.settings = sidecar_settings
        self.options = options.DaemonOptions(
            instance=sidecar_settings.instance,
            data_centre=sidecar_settings.data_centre,
            edge=sidecar_settings.edge,
            peer=sidecar_settings.peer,
            leave_seconds=ACCEPT_SECONDS,
            accept_seconds=ACCEPT_SECONDS,
            stop_seconds=sidecar_settings.stop_seconds - STOP_MARGIN_SECONDS,
            connect_seconds=CONNECT_SECONDS,
            link_close_seconds=LINK_CLOSE_SECONDS,
        )
        self.rng = random.Random(random.SystemRandom().getrandbits(64))
        self.loops = loops.Loops(reactor, self.rng)
        self.metrics = metrics.Metrics()
        self.tracer = tracing.Tracer(
            sidecar_settings.instance,
            reactor.seconds,
            limit=tracing.MAX_SIDECAR_SPANS,
        )
        self.held = current.CurrentConfiguration()
        self.unknown_values: collections.Counter[str] = collections.Counter()
        self.store = store.Store(reactor, sidecar_settings.store)
        self.prober = prober.TcpProber(reactor)
        self.allowance = retries.Allowance(
            sidecar_settings.retry_share,
            sidecar_settings.retry_extra,
            sidecar_settings.retry_window_seconds,
        )
        self.tolerance = coordinators.Tolerance(
            sidecar_settings.rate_window_seconds,
            sidecar_settings.rate_tolerated_share,
            sidecar_settings.rate_tolerated_extra,
        )
        self.account = client_limits.account(
            sidecar_settings.memory_mb, sidecar_settings.max_descriptors
        )
        self.turns = turns.Turns(reactor) if self.account.bounded else None
        self.leaving = False
        self._last_readiness: readiness.Readiness | None = None
        self._has_joined = False
        self._confirmation = confirmation.Confirmation()
        self._started = reactor.seconds()
        # Replaced by the caller as soon as links and listeners exist.
        self.is_down: Callable[[str], bool] = lambda _: False
        self.accepts_callers: Callable[[], bool] = lambda: True

    def build(self, calls: ports.PeerCalls) -> root.Fleet:
        """Creates the components; a `root.FleetBuilder`."""
        self.calls = calls
        self._build_membership()
        self._build_configuration()
        self._build_evacuations()
        self._build_request_path()
        self._register_metrics()
        return self._fleet()

    def _build_membership(self) -> None:
        sidecar_settings = self.settings
        now = self.reactor.seconds()
        me = records.InstanceRecord(
            sidecar_settings.instance,
            self.options.incarnation,
            1,
            sidecar_settings.data_centre,
            sidecar_settings.peer,
            sidecar_settings.gossip,
        )
        self.gossip = gossip.Gossip(
            me, self.rng, now, parameters=GOSSIP_PARAMETERS
        )
        self.facts = handover.Handover(sidecar_settings.instance)
        self.membership = service.MembershipService(
            self.reactor, self.gossip, self.calls, self.rng, facts=self.facts
        )
        self.loops.keep(self.membership.loop)
        # The addresses of the other instances come from the store.
        self.membership.joined = False
        self.directory = self.membership.directory
        watch.FleetWatch(self.directory)
        self.stored_facts = stored_facts.StoredFacts(
            registration.entry_key(sidecar_settings.instance),
            running=self.loops,
            store=self.store,
            facts=self.facts,
            clock=self.reactor,
            rng=self.rng,
            era=lambda: self.store.era,
        )
        self.era_notices = store_era.EraNotices(
            self.store,
            registration.entry_key(sidecar_settings.instance),
            broadcaster=self.membership.broadcaster,
            clock=self.reactor,
            rng=self.rng,
        )
        self.facts.on_informed(self._release_heartbeats)
        self.registration = registration.Registration(
            sidecar_settings.instance,
            sidecar_settings.gossip,
            running=self.loops,
            store=self.store,
            found=self._add_seeds,
            alone=lambda: not self.gossip.peers(),
            target=self._target_to_store,
            restore_target=self._restore_target,
            on_first_list=self.stored_facts.learn,
            era=lambda: self.store.era,
        )

    def _build_configuration(self) -> None:
        self.follower = follow.Follower(
            self.settings.instance,
            wire_names.CONFIGURATION_KEY,
            lambda document: documents.decode(document, self.unknown_values),
            running=self.loops,
            clock=self.reactor,
            rng=self.rng,
            store=self.store,
            directory=self.directory,
            broadcaster=self.membership.broadcaster,
            revisions=self.membership.revisions,
            calls=self.calls,
            held=self.held,
            read_stale=self.store.get_stale,
            on_store_recovered=self._store_recovered,
            reachable=lambda id: self._instance_usable(
                self.reactor.seconds(), id
            ),
            isolated=lambda: self.gossip.isolated(self.reactor.seconds()),
            era=lambda: self.store.era,
        )
        for part in (
            self.follower,
            self.registration,
            self.stored_facts,
            self.era_notices,
        ):
            self.store.on_new_era(part.store_reverted)

    def _build_evacuations(self) -> None:
        self.evacuations: evacuation_follow.EvacuationFollower | None = None
        if self.settings.evacuation_seconds is not None:
            self.evacuations = evacuation_follow.EvacuationFollower(
                self.settings.instance,
                wire_names.EVACUATION_PREFIX,
                running=self.loops,
                clock=self.reactor,
                rng=self.rng,
                store=self.store,
                directory=self.directory,
                broadcaster=self.membership.broadcaster,
                tokens=view.GossipEvacuations(self.gossip),
                calls=self.calls,
                reachable=lambda id: self._instance_usable(
                    self.reactor.seconds(), id
                ),
                isolated=lambda: self.gossip.isolated(self.reactor.seconds()),
                era=lambda: self.store.era,
            )
            self.store.on_new_era(self.evacuations.era_changed)
            self.evacuations.on_change(self._evacuations_changed)

    def _evacuations_changed(
        self, added: frozenset[str], removed: frozenset[str]
    ) -> None:
        if self.settings.data_centre in removed:
            self.cold_target.evacuation_ended(self.reactor.seconds())

    def _build_request_path(self) -> None:
        self.crashes = crashes.CrashTracker(
            self.reactor,
            self.directory,
            self.membership.broadcaster,
            self._probe_target,
            self.facts,
        )
        self.downstream = downstream.DownstreamRequests()
        self.cold_target = cold_target.ColdTarget(
            self._cold_limits,
            self.reactor.seconds(),
            self._announce_cold,
        )
        self.gate = gate.Gate(
            self.reactor,
            self.crashes,
            alone=self._must_run_alone,
            shed=self._target_shed,
            may_repeat=lambda: self.budget.may_repeat(self.reactor.seconds()),
            downstream_requests=self.downstream,
            cold=self.cold_target,
            shared=lambda: self.held.configuration.is_shared(
                self.settings.service
            ),
        )
        self.rules = evacuation.EvacuationRules(
            self.settings.data_centre,
            self.settings.areas,
            self.evacuations,
            self.gate.refuse_all_queued,
        )
        self.departures = departures.Departures(
            self.settings.instance,
            peers=self._reachable_peers,
            calls=self.calls,
            broadcaster=self.membership.broadcaster,
            facts=self.facts,
            recall=lambda id, incarnation: self.registry.recall(
                self.reactor.seconds(), id, incarnation
            ),
            when_written=self.stored_facts.when_written,
            rng=self.rng,
        )
        self.gossip.on_departure(self.departures.observed)
        self.registry = heartbeat_registry.HeartbeatRegistry(
            self.gossip,
            self.settings.instance,
            self.settings.data_centre,
            self.settings.target,
            self.settings.service,
            on_leaving=self.gate.refuse_queued,
            on_gone=self.gate.forget,
            on_change=self.registration.content_changed,
            on_departed=self.departures.record,
            on_heartbeat=self._report_heartbeat,
        )
        self.registry.hold()
        self.heartbeats = heartbeats.HeartbeatEndpoint(
            self.registry,
            self.stored_facts,
            self.membership.send_urgent,
            self.departures.tell_peers,
            self.reactor,
        )
        self.admission = shares.SharedAdmission(
            self.settings.instance,
            self.reactor,
            self.calls,
            self.directory,
            self._account,
            self._is_isolated,
            self._limit,
            lambda: len(self.gossip.seeds) + 1,
            self._is_settling,
            lambda id: self._instance_usable(self.reactor.seconds(), id),
            configured=lambda: bool(self.held.revision),
        )
        self.paths = paths.Paths(self.rng)
        choice = (
            self.rng,
            self.directory.targets,
            self._instance_usable,
            self.settings.data_centre,
            SLOW_START,
        )
        self.even_load = even_load.EvenLoad(*choice)
        self.picker = even_load.BySize(
            picker.Picker(*choice),
            self.even_load,
            least=lambda: self.settings.even_load_instances,
            instances=lambda: len(self.gossip.peers()) + 1,
        )
        self.budget = retries.FleetRetryBudget(self.admission, self.allowance)

    def _add_seeds(self, addresses: list[tuple[str, int]]) -> None:
        seeds = [*self.gossip.seeds, *addresses]
        me = self.settings.gossip
        self.gossip.seeds = [
            seed for seed in dict.fromkeys(seeds) if seed != me
        ]
        if not self.gossip.seeds:
            # The first instance of the fleet has no peer to join.
            self.membership.joined = True

    def _target_to_store(self) -> dict[str, Any]:
        heartbeat = self.registry.serving_heartbeat()
        return {} if heartbeat is None else stored_target.keep(heartbeat)

    def _restore_target(self, stored: dict[str, Any]) -> None:
        if not self.facts.informed:
            # The stored entry may be that of a target which has left since.
            self.facts.on_informed(lambda: self._restore_target(stored))
            return
        heartbeat = stored_target.restore(stored)
        if heartbeat is not None:
            self.registry.restore(self.reactor.seconds(), heartbeat)
            self.reactor.callLater(
                heartbeat_registry.RESTORED_TIMEOUT_SECONDS,
                self._expire_targets,
            )

    def _store_recovered(self) -> None:
        self.registration.store_recovered()
        self.stored_facts.store_recovered()

    def _reachable_peers(self) -> list[str]:
        now = self.reactor.seconds()
        return [
            id for id in self.gossip.peers() if self._instance_usable(now, id)
        ]

    def _release_heartbeats(self) -> None:
        self.registry.release(self.reactor.seconds())

    def _instance_usable(self, now: float, instance: str) -> bool:
        # Missing gossip alone does not make an instance unusable: the links may
        # work although datagrams are lost.
        return (
            not self.is_down(instance)
            and self.paths.usable(now, instance)
            and self.gossip.path(instance).direct_failures
            < probing.DIRECT_FAILURE_THRESHOLD
        )

    def _report_path(self, instance: str, works: bool) -> None:
        now = self.reactor.seconds()
        if works:
            self.paths.frame_received(now, instance)
            self.admission.path_works(instance)
        else:
            self.paths.open_failed(now, instance)

    def _must_run_alone(self, entry: queue.Entry) -> bool:
        return self.crashes.must_run_alone(entry.account, entry.fingerprint)

    def _cold_limits(self) -> cold_start.Limits | None:
        found = self.held.configuration.services.get(self.settings.service)
        if found is None:
            return None
        return cold_start.limits(
            found.cold_rate,
            found.cold_seconds,
            self.settings.cold_overage,
            self.settings.cold_slack,
        )

    def _announce_cold(self, now: float) -> None:
        self.registry.announce_cold(now)

    def _report_heartbeat(
        self, now: float, heartbeat: heartbeat_registry.Heartbeat, new: bool
    ) -> None:
        self.cold_target.heartbeat(
            now, heartbeat.target, heartbeat.warm_up_seconds, new
        )

    def _target_shed(self, target: str, status: int) -> None:
        if status == http.HTTPStatus.MISDIRECTED_REQUEST:
            self.registry.replaced(self.reactor.seconds(), target)

    def _probe_target(self, target: str) -> Any:
        return self.prober(*self.registry.address)

    def _latency_objective(self, route: str) -> float:
        found = self.held.configuration.routes.get(route)
        return found.objective if found is not None else 0.0

    def _account(self, id: str) -> config_model.ClientAccount | None:
        found = self.held.configuration.accounts.get(id)
        return found or retries.budget_of(id, self.allowance)

    def _is_isolated(self) -> bool:
        # A started process counts as isolated until it has joined once: it
        # would otherwise consider itself the coordinator of every account.
        self._has_joined = self._has_joined or self.membership.joined
        now = self.reactor.seconds()
        return not self._has_joined or self.gossip.isolated(now)

    def _is_settling(self) -> bool:
        return self.reactor.seconds() - self._started < SETTLE_SECONDS

    def _limit(
        self, account: config_model.ClientAccount, seen: float
    ) -> coordinators.Limit:
        if retries.is_budget(account.id):
            return self.allowance.limit(seen)
        return self.tolerance.limit(account)

    def configuration(self) -> config_model.Configuration | None:
        """Returns the configuration in force, or None if there is none yet."""
        return self.held.configuration if self._configured() else None

    def _configured(self) -> bool:
        return self._confirmation.update(
            self.reactor.seconds() - self._started,
            era=self.store.era,
            joined=self.membership.joined,
            revision=self.held.revision,
            newest=self._newest_revision(),
        )

    def local_service(self) -> str:
        """Returns the service of the local target."""
        return self.settings.service

    def apply_settings(
        self, sidecar_settings: settings.SidecarSettings
    ) -> None:
        """Applies changed settings.

        The address and the service of the target take effect at once; the
        other addresses need a restart.
        """
        self.settings = sidecar_settings
        self.registry.address = sidecar_settings.target
        self.registry.service = sidecar_settings.service
        self.rules.set_areas(sidecar_settings.areas)

    def count_logs(self, pipe: logs.Pipe) -> None:
        """Adds a metric of the dropped log lines."""
        self.metrics.total_by(
            "log_lines_dropped",
            "reason",
            lambda: {
                "budget": logs.LINE_LIMITER.dropped,
                "reader": pipe.dropped,
            },
        )

    # Endpoints.

    def _ready(
        self, head: model.RequestHead, body: bytes
    ) -> endpoints.Response:
        if head.path.partition("?")[0] != wire_names.READY_PATH:
            return endpoints.Response(404)
        found = self._readiness()
        if found is not self._last_readiness:
            self._last_readiness = found
            _log.info("readiness changed.", readiness=found.value)
        ready = found is readiness.Readiness.READY
        return endpoints.Response(200 if ready else 503)

    def _readiness(self) -> readiness.Readiness:
        return readiness.Knowledge(
            configured=self._configured(),
            joined=self.membership.joined,
            routable=all(map(self.directory.targets, self._routed_services())),
            leaving=self.leaving,
            age=self.reactor.seconds() - self._started,
            evacuations_known=self.rules.known,
            accepts_callers=self.accepts_callers(),
        ).readiness()

    def _routed_services(self) -> set[str]:
        routes = self.held.configuration.routes.values()
        return {service for route in routes for service in route.services()}

    def _metrics_page(
        self, head: model.RequestHead, body: bytes
    ) -> endpoints.Response:
        return endpoints.Response(
            200, self.metrics.text(), b"text/plain; version=0.0.4"
        )

    def _listener(
        self,
        name: str,
        address: settings.Address,
        respond: endpoints.Responder,
    ) -> supervisor.Listener:
        site = server.Site(
            endpoints.EndpointHandler(respond),
            self.reactor,
            account=self.account,
            turns=self.turns,
        )
        return supervisor.Listener(
            name,
            self.reactor,
            address,
            server.Factory(site),
            self.rng,
            byte_account.RECEIVE_BYTES if self.account.bounded else 0,
        )

    # Assembly.

    def _register_metrics(self) -> None:
        values = self.metrics
        values.total_by("store_calls", "call", lambda: self.store.counts)
        values.gauge("store_era", lambda: self.store.era)
        values.total_by("admissions", "kind", lambda: self.admission.counts)
        values.total_by(
            "even_load_choices", "reason", lambda: self.even_load.counts
        )
        values.total_by("retry_budget", "decision", lambda: self.budget.counts)
        values.total_by(
            "configuration_unknown_values",
            "field",
            lambda: self.unknown_values,
        )
        values.total_by("heartbeats", "ignored", lambda: self.registry.counts)
        values.total_by("cold_target", "event", lambda: self.cold_target.counts)
        values.gauge(
            "target_cold",
            lambda: int(self.cold_target.is_cold(self.reactor.seconds())),
        )
        values.gauge("configuration_revision", lambda: self.held.revision)
        values.total_by(
            "configuration_transfers",
            "event",
            lambda: self.follower.peer_documents.counts,
        )
        values.gauge("configuration_newest", self._newest_revision)
        values.gauge(
            "configuration_parts_behind", lambda: self.held.pending_handlers
        )
        values.gauge("store_silent_seconds", self._store_silent_seconds)
        values.total_by("loop_failures", "loop", self.loops.failures)
        values.gauge("loops_stalled", lambda: len(self.loops.stalled()))
        client_limits.register(values, self.account)
        values.gauge("peers", lambda: len(self.gossip.peers()))
        self.rules.register_metrics(values)

    def _newest_revision(self) -> int:
        """Returns the highest known configuration revision of the fleet."""
        return max(self.held.revision, self.follower.newer_peers.newest)

    def _store_silent_seconds(self) -> float:
        """Returns the seconds since the follower last read from the store."""
        since = self.follower.stored.answered_at
        return self.reactor.seconds() - (
            self._started if since is None else since
        )

    def _leave(self) -> None:
        self.leaving = True
        self.membership.leave()

    def _parts(
        self,
    ) -> tuple[list[supervisor.Component], list[supervisor.Component]]:
        sidecar_settings = self.settings
        listeners: list[supervisor.Component] = [
            self._listener(name, address, respond)
            for name, address, respond in (
                (
                    "heartbeat listener",
                    sidecar_settings.heartbeats,
                    self.heartbeats.respond,
                ),
                ("readiness listener", sidecar_settings.readiness, self._ready),
                (
                    "metrics listener",
                    sidecar_settings.metrics,
                    self._metrics_page,
                ),
            )
        ]
        steps: list[supervisor.Component] = [
            supervisor.FunctionComponent(name, part.start, part.stop)
            for name, part in (
                ("membership", self.membership),
                ("configuration", self.follower),
                ("registration", self.registration),
                ("facts", self.stored_facts),
            )
        ]
        if self.evacuations is not None:
            followed = self.evacuations
            steps.append(
                supervisor.FunctionComponent(
                    "evacuations", followed.start, followed.stop
                )
            )
        periodic: list[supervisor.Component] = [
            self.loops.add("target", self._expire_targets, loops.periodic(1.0))
        ]
        return listeners, [*steps, *periodic]

    def _expire_targets(self) -> None:
        self.registry.expire(self.reactor.seconds())
        self.cold_target.check(self.reactor.seconds())

    def _fleet(self) -> root.Fleet:
        before, after = self._parts()
        return root.Fleet(
            directory=self.directory,
            local_targets=self.registry,
            slots=self.gate,
            watcher=self.gate,
            suspects=self.crashes,
            budget=self.budget,
            hedges=hedges.ObjectiveHedges(self._latency_objective),
            picker=self.picker,
            metrics=self.metrics,
            tracer=self.tracer,
            configuration=self.configuration,
            on_configuration=self.held.on_change,
            admission=self.admission,
            report_path=self._report_path,
            announce_leaving=self._leave,
            before_links=before,
            after_links=after,
            wire_dialect=wire_names.DIALECT,
            dispatch=attrs.evolve(
                DISPATCH, is_large_fleet=self.picker.is_large
            ),
            local_service=self.local_service,
            repeated_share=self.gate.repeated_share,
            downstream=self.downstream,
            eligibility=self.rules.eligibility,
            on_eligibility=self.rules.on_change,
            evacuated=self.rules.evacuated,
            account=self.account,
            turns=self.turns,
        )
