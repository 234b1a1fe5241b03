"""Composition root of an instance beside one target."""

import http
import random
from collections.abc import Callable
from typing import Any

from cicadafront import loops, model, ports, prober
from cicadafront.agent import queue
from cicadafront.config import current, follow
from cicadafront.config import model as config_model
from cicadafront.daemon import options, root, supervisor
from cicadafront.edge import policies, server
from cicadafront.health import crashes, paths
from cicadafront.limits import coordinators, retries, shares
from cicadafront.membership import (
    beats,
    gossip,
    probing,
    records,
    registration,
    remembered,
    service,
)
from cicadafront.peer import exchange
from cicadafront.platform import documents, heartbeats, store, words
from cicadafront.routing import (
    gate,
    hedges,
    picker,
)
from cicadafront.sidecar import endpoints, settings, watch
from cicadafront.telemetry import logs, metrics, tracing

# Callers learn of a planned stop by the second health check that fails; the
# platform sends one each second.
ACCEPT_SECONDS = 2.5
# Time between the end of running requests and the platform's SIGKILL; the
# links are closed meanwhile.
STOP_MARGIN_SECONDS = 0.8
LINK_CLOSE_SECONDS = 0.4
# Round trips take 1 ms; a lost opening packet is sent again after 1 s, when
# another instance has long answered.
CONNECT_SECONDS = 0.3
# Targets of these sites are slow for 3 s after their start.
COLD = picker.SlowStart(seconds=3.0, weight=0.4)
# Candidates with a free slot, then places in a queue, then suspended targets.
DISPATCH = policies.DispatchPolicy(
    (
        policies.DispatchRound(exchange.REQUIRE_FREE_SLOT, 2, local_only=True),
        policies.DispatchRound(exchange.REQUIRE_FREE_SLOT, 4),
        policies.DispatchRound(exchange.ALLOW_QUEUEING, 3),
        policies.DispatchRound(exchange.ALLOW_SUSPENDED_TARGET, 2),
    ),
    # A short wait in the own data centre is cheaper than the way to another.
    large_body_rounds=(
        policies.DispatchRound(exchange.REQUIRE_FREE_SLOT, 4, local_only=True),
        policies.DispatchRound(exchange.ALLOW_QUEUEING, 2, local_only=True),
    ),
    free_redispatch=True,
    retry_server_errors=True,
    hedge_by_route=True,
    confirm=True,
    # A target at work is not cut off: the key was valid when it began.
    finish_with_withdrawn_key=True,
)
# A target that joins must get work within two seconds. The bytes bound the
# burst of announcements at the start of a fleet of 100 instances; a quiet
# fleet uses a small part of them.
PACE = gossip.Pace(
    bytes_per_second=4000.0,
    digest_seconds=1.5,
    eager=True,
    tick_seconds=0.2,
)
# When the whole fleet starts for the first time, comparing what each knows is
# cheaper than a broadcast of every target to all; until then no caller comes.
FIRST_START_SECONDS = 8.0
# Times after the start at which the state of the fleet is read again from a
# peer, which may have known little itself the first time.
JOIN_AGAIN_SECONDS = (3.0, 6.0)
# Time in which an instance that has started finds the others, if all of them
# start together.
SETTLE_SECONDS = 3.0

_log = logs.Log("sidecar")


class SidecarAssembly:
    """Builds the parts of one daemon that know the fleet and the platform.

    Attributes:
        options: Options of the request path.
        metrics: Metrics of the instance.
        held: The configuration in force.
        leaving: Whether a planned stop has begun.
    """

    def __init__(self, reactor: Any, chosen: settings.SidecarSettings):
        self.reactor = reactor
        self.settings = chosen
        self.options = options.DaemonOptions(
            instance=chosen.instance,
            data_centre=chosen.data_centre,
            edge=chosen.edge,
            peer=chosen.peer,
            leave_seconds=ACCEPT_SECONDS,
            accept_seconds=ACCEPT_SECONDS,
            stop_seconds=chosen.stop_seconds - STOP_MARGIN_SECONDS,
            connect_seconds=CONNECT_SECONDS,
            link_close_seconds=LINK_CLOSE_SECONDS,
        )
        self.rng = random.Random(random.SystemRandom().getrandbits(64))
        self.loops = loops.Loops(reactor, self.rng)
        self.metrics = metrics.Metrics()
        self.tracer = tracing.Tracer(
            chosen.instance, reactor.seconds, limit=tracing.FEW_SPANS
        )
        self.held = current.CurrentConfiguration()
        self.store = store.Store(reactor, chosen.store)
        self.prober = prober.TcpProber(reactor)
        self.allowance = retries.Allowance(
            chosen.retry_share,
            chosen.retry_extra,
            chosen.retry_window_seconds,
        )
        self.tolerance = coordinators.Tolerance(
            chosen.rate_window_seconds,
            chosen.rate_tolerated_share,
            chosen.rate_tolerated_extra,
        )
        self.leaving = False
        self._knows_fleet = False
        self._started = reactor.seconds()
        # Set by the composition root once the links exist.
        self.is_down: Callable[[str], bool] = lambda _: False

    def build(self, calls: ports.PeerCalls) -> root.Fleet:
        """Creates the parts; a `root.FleetBuilder`."""
        self.calls = calls
        self._build_membership()
        self._build_configuration()
        self._build_decisions()
        self._count()
        return self._fleet()

    def _build_membership(self) -> None:
        chosen = self.settings
        now = self.reactor.seconds()
        me = records.InstanceRecord(
            chosen.instance,
            self.options.incarnation,
            1,
            chosen.data_centre,
            chosen.peer,
            chosen.gossip,
        )
        self.gossip = gossip.Gossip(me, self.rng, now, pace=PACE)
        self.membership = service.MembershipService(
            self.reactor, self.gossip, self.calls, self.rng
        )
        self.loops.keep(self.membership.loop)
        # The addresses of others come from the store.
        self.membership.joined = False
        if chosen.first_start:
            self.gossip.eager = False
        self.directory = self.membership.directory
        watch.FleetWatch(self.directory)
        self.registration = registration.Registration(
            chosen.instance,
            chosen.gossip,
            running=self.loops,
            store=self.store,
            found=self._found,
            alone=lambda: not self.gossip.peers(),
            target=self._kept_target,
            remembered=self._remember_target,
        )

    def _build_configuration(self) -> None:
        self.follower = follow.Follower(
            self.settings.instance,
            words.CONFIGURATION_KEY,
            documents.decode,
            running=self.loops,
            clock=self.reactor,
            rng=self.rng,
            store=self.store,
            directory=self.directory,
            broadcaster=self.membership.broadcaster,
            revisions=self.membership.revisions,
            calls=self.calls,
            held=self.held,
            on_return=self.registration.store_recovered,
            reachable=lambda id: self._usable(self.reactor.seconds(), id),
        )

    def _build_decisions(self) -> None:
        self.crashes = crashes.CrashTracker(
            self.reactor,
            self.directory,
            self.membership.broadcaster,
            self._refuses,
        )
        self.gate = gate.Gate(
            self.reactor,
            self.crashes,
            alone=self._must_run_alone,
            shed=self._shed,
            may_repeat=lambda: self.budget.may_repeat(self.reactor.seconds()),
        )
        self.registry = beats.HeartbeatRegistry(
            self.gossip,
            self.settings.instance,
            self.settings.data_centre,
            self.settings.target,
            on_leaving=self.gate.refuse_queued,
            on_gone=self.gate.forget,
            on_change=self.registration.target_changed,
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
        )
        self.paths = paths.Paths(self.rng)
        self.picker = picker.Picker(
            self.rng,
            self.directory.targets,
            self._usable,
            self.settings.data_centre,
            COLD,
        )
        self.budget = retries.FleetRetryBudget(self.admission, self.allowance)

    def _settle(self) -> None:
        """Plans what the membership does in its first seconds."""
        for seconds in JOIN_AGAIN_SECONDS:
            self.reactor.callLater(seconds, self.membership.rejoin)
        if self.settings.first_start:
            self.reactor.callLater(FIRST_START_SECONDS, self._be_eager)

    def _be_eager(self) -> None:
        self.gossip.eager = PACE.eager

    def _found(self, addresses: list[tuple[str, int]]) -> None:
        seeds = [*self.gossip.seeds, *addresses]
        me = self.settings.gossip
        self.gossip.seeds = [
            seed for seed in dict.fromkeys(seeds) if seed != me
        ]
        if not self.gossip.seeds:
            # The first instance of the fleet has nobody to learn from.
            self.membership.joined = True

    def _kept_target(self) -> dict[str, Any]:
        beat = self.registry.serving_heartbeat()
        return {} if beat is None else remembered.keep(beat)

    def _remember_target(self, kept: dict[str, Any]) -> None:
        beat = remembered.restore(kept)
        if beat is not None:
            self.registry.restore(self.reactor.seconds(), beat)
            self.reactor.callLater(beats.RESTORED_TIMEOUT_SECONDS, self._expire)

    def _usable(self, now: float, instance: str) -> bool:
        # Silence of the gossip alone is no reason to refuse requests: links
        # may work where datagrams are lost.
        return (
            not self.is_down(instance)
            and self.paths.usable(now, instance)
            and self.gossip.path(instance).strikes < probing.STRIKES
        )

    def _report_path(self, instance: str, works: bool) -> None:
        now = self.reactor.seconds()
        if works:
            self.paths.frame_received(now, instance)
        else:
            self.paths.open_failed(now, instance)

    def _must_run_alone(self, entry: queue.Entry) -> bool:
        return self.crashes.must_run_alone(entry.account, entry.fingerprint)

    def _shed(self, target: str, status: int) -> None:
        if status == http.HTTPStatus.MISDIRECTED_REQUEST:
            self.registry.replaced(self.reactor.seconds(), target)

    def _refuses(self, target: str) -> Any:
        return self.prober(*self.registry.address)

    def _objective(self, route: str) -> float:
        found = self.held.configuration.routes.get(route)
        return found.objective if found is not None else 0.0

    def _account(self, id: str) -> config_model.ClientAccount | None:
        found = self.held.configuration.accounts.get(id)
        return found or retries.budget_of(id, self.allowance)

    def _is_isolated(self) -> bool:
        # A process that has just started keeps every account, as far as it
        # knows, until it has learned of the others once.
        self._knows_fleet = self._knows_fleet or self.membership.joined
        now = self.reactor.seconds()
        return not self._knows_fleet or self.gossip.isolated(now)

    def _is_settling(self) -> bool:
        return self.reactor.seconds() - self._started < SETTLE_SECONDS

    def _limit(
        self, account: config_model.ClientAccount, seen: float
    ) -> coordinators.Limit:
        if retries.is_budget(account.id):
            return self.allowance.limit(seen)
        return self.tolerance.limit(account)

    def configuration(self) -> config_model.Configuration | None:
        """Returns the configuration in force, or None before the first."""
        return self.held.configuration if self.held.revision else None

    def local_service(self) -> str:
        """Returns the service of the target beside this instance."""
        return self.registry.service or self.settings.service

    def change(self, chosen: settings.SidecarSettings) -> None:
        """Takes settings that changed; addresses need a restart."""
        self.settings = chosen
        self.registry.address = chosen.target

    def count_logs(self, pipe: logs.Pipe) -> None:
        """Counts the log lines that were not written."""
        self.metrics.total_by(
            "log_lines_dropped",
            "reason",
            lambda: {
                "budget": logs.BUDGETS.dropped,
                "reader": pipe.dropped,
            },
        )

    # Endpoints.

    def _ready(self, head: model.RequestHead, body: bytes) -> endpoints.Page:
        if head.path.partition("?")[0] != words.READY_PATH:
            return endpoints.Page(404)
        ready = self.held.revision > 0 and not self.leaving
        return endpoints.Page(200 if ready else 503)

    def _heartbeat(
        self, head: model.RequestHead, body: bytes
    ) -> endpoints.Page:
        called = words.target_call(head)
        if called is None:
            return endpoints.Page(404)
        target, goodbye = called
        now = self.reactor.seconds()
        if goodbye:
            self.registry.leaving(now, target, heartbeats.incarnation(body))
            return endpoints.Page(200, heartbeats.ACCEPTED)
        try:
            beat = heartbeats.decode(target, body)
        except heartbeats.HeartbeatError as error:
            _log.info("a heartbeat was refused.", reason=error.message)
            return endpoints.Page(400)
        self.registry.heartbeat(now, beat)
        return endpoints.Page(200, heartbeats.ACCEPTED)

    def _metrics_page(
        self, head: model.RequestHead, body: bytes
    ) -> endpoints.Page:
        return endpoints.Page(
            200, self.metrics.text(), b"text/plain; version=0.0.4"
        )

    def _listener(
        self,
        name: str,
        address: settings.Address,
        answering: endpoints.Answering,
    ) -> supervisor.Listener:
        site = server.Site(endpoints.Endpoints(answering), self.reactor)
        return supervisor.Listener(
            name, self.reactor, address, server.Factory(site), self.rng
        )

    # Assembly.

    def _count(self) -> None:
        values = self.metrics
        values.total_by("store_calls", "call", lambda: self.store.counts)
        values.total_by("admissions", "kind", lambda: self.admission.counts)
        values.total_by("retry_budget", "decision", lambda: self.budget.counts)
        values.total_by("heartbeats", "ignored", lambda: self.registry.counts)
        values.gauge("configuration_revision", lambda: self.held.revision)
        values.gauge("configuration_newest", self._newest)
        values.gauge("configuration_parts_behind", lambda: self.held.behind)
        values.gauge("store_silent_seconds", self._store_silent)
        values.total_by("loop_failures", "loop", self.loops.failures)
        values.gauge("loops_stalled", lambda: len(self.loops.stalled()))
        values.gauge("peers", lambda: len(self.gossip.peers()))

    def _newest(self) -> int:
        """Returns the highest revision that any instance runs."""
        return max(self.held.revision, self.follower.ahead.newest)

    def _store_silent(self) -> float:
        """Returns the seconds since the store answered the follower."""
        since = self.follower.answered_at
        return self.reactor.seconds() - (
            self._started if since is None else since
        )

    def _leave(self) -> None:
        self.leaving = True
        self.membership.leave()

    def _parts(
        self,
    ) -> tuple[list[supervisor.Component], list[supervisor.Component]]:
        chosen = self.settings
        listeners: list[supervisor.Component] = [
            self._listener(name, address, answering)
            for name, address, answering in (
                ("heartbeat listener", chosen.heartbeats, self._heartbeat),
                ("readiness listener", chosen.readiness, self._ready),
                ("metrics listener", chosen.metrics, self._metrics_page),
            )
        ]
        steps: list[supervisor.Component] = [
            supervisor.FunctionComponent(name, part.start, part.stop)
            for name, part in (
                ("membership", self.membership),
                ("configuration", self.follower),
                ("registration", self.registration),
            )
        ]
        steps.append(
            supervisor.FunctionComponent("settling", self._settle, lambda: None)
        )
        periodic: list[supervisor.Component] = [
            self.loops.add("target", self._expire, loops.periodic(1.0))
        ]
        return listeners, [*steps, *periodic]

    def _expire(self) -> None:
        self.registry.expire(self.reactor.seconds())

    def _fleet(self) -> root.Fleet:
        before, after = self._parts()
        return root.Fleet(
            directory=self.directory,
            local_targets=self.registry,
            slots=self.gate,
            watcher=self.gate,
            suspects=self.crashes,
            budget=self.budget,
            hedges=hedges.ObjectiveHedges(self._objective),
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
            words=words.DIALECT,
            dispatch=DISPATCH,
            local_service=self.local_service,
            repeated_share=self.gate.repeated_share,
        )
