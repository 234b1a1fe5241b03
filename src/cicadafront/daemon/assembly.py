"""Builds the fleet components of a daemon from its settings."""

import random
import time
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.web import resource, server

from cicadafront import errors, loops, model, ports, prober, settings
from cicadafront.agent import queue
from cicadafront.agent import targets as agent_targets
from cicadafront.config import current, sync
from cicadafront.config import model as config_model
from cicadafront.daemon import (
    counted,
    measures,
    options,
    root,
    supervisor,
    views,
)
from cicadafront.health import crashes, paths, permit_owner, probe
from cicadafront.health import service as health_service
from cicadafront.limits import assembly as limits_assembly
from cicadafront.membership import (
    announce,
    announce_http,
    gossip,
    handover,
    records,
    service,
)
from cicadafront.routing import (
    hedges,
    picker,
    retry_budgets,
    slots,
    subset_view,
)
from cicadafront.store import client
from cicadafront.telemetry import metrics, operators, tracing


@attrs.frozen
class RegisteredTargets:
    """Local targets, as announced to this instance."""

    registry: announce.TargetRegistry
    health: health_service.HealthService
    instance: str
    data_centre: str

    def local(self, id: str) -> agent_targets.LocalTarget | None:
        """Returns a target, or None if it is not local to this instance."""
        registered = self.registry.target(id)
        if registered is None:
            return None
        target = model.Target(
            registered.id,
            registered.service,
            self.instance,
            registered.slots,
            state=self._state(registered),
            data_centre=self.data_centre,
        )
        return agent_targets.LocalTarget(target, *registered.address)

    def _state(self, registered: announce.LocalTarget) -> model.TargetState:
        ejected, _ = self.health.state(registered.id)
        if ejected and registered.state is model.TargetState.SERVING:
            return model.TargetState.EJECTED
        return registered.state


class OperatorResource(resource.Resource):
    """Serves the operators' endpoints and the announcements of targets."""

    isLeaf = True  # noqa: N815 (name required by Twisted)

    def __init__(
        self, endpoints: resource.Resource, announcements: resource.Resource
    ):
        super().__init__()
        self.endpoints = endpoints
        self.announcements = announcements

    def render(self, request: Any) -> Any:
        """Dispatches the request by its method and path."""
        changes = request.method in (b"PUT", b"DELETE")
        if changes and request.path.startswith(b"/v1/targets/"):
            return self.announcements.render(request)
        return self.endpoints.render(request)


def daemon_options(
    instance_settings: settings.Settings,
) -> options.DaemonOptions:
    """Returns the options of the request path."""
    return options.DaemonOptions(
        instance=instance_settings.instance,
        data_centre=instance_settings.data_centre,
        edge=instance_settings.edge,
        peer=instance_settings.peer,
        stop_seconds=instance_settings.drain_seconds,
    )


class FleetAssembly:
    """Builds membership, configuration, limits and health of one daemon.

    Attributes:
        options: Options of the request path.
        metrics: Metrics of the instance.
        tracer: Tracer of the instance.
        current_configuration: The configuration in force.
    """

    def __init__(self, reactor: Any, instance_settings: settings.Settings):
        self.reactor = reactor
        self.settings = instance_settings
        self.options = daemon_options(instance_settings)
        self.rng = random.Random(random.SystemRandom().getrandbits(64))
        self.metrics = metrics.Metrics()
        self.tracer = tracing.Tracer(
            instance_settings.instance, reactor.seconds
        )
        self.http_store = client.HttpStore(reactor, instance_settings.store_url)
        self.current_configuration = current.CurrentConfiguration()
        self.started = time.time()
        self.prober = prober.TcpProber(reactor)
        # Set by `daemon.main` once the agent and the peer links exist.
        self.abandon: Callable[[str], None] = lambda _: None
        self.is_down: Callable[[str], bool] = lambda _: False

    def build(self, calls: ports.PeerCalls) -> root.Fleet:
        """Creates the components; a `root.FleetBuilder`."""
        self.calls = calls
        self._build_membership()
        self._build_configuration()
        self._build_limits()
        self._build_health()
        return self._fleet()

    def _build_membership(self) -> None:
        instance_settings = self.settings
        now = self.reactor.seconds()
        own_record = records.InstanceRecord(
            instance_settings.instance,
            self.options.incarnation,
            1,
            instance_settings.data_centre,
            instance_settings.peer,
            instance_settings.gossip,
            operators_address=instance_settings.operators,
        )
        self.gossip = gossip.Gossip(
            own_record, self.rng, now, instance_settings.seeds
        )
        self.registry = announce.TargetRegistry(self.gossip, now)
        self.facts = handover.Handover(instance_settings.instance)
        self.membership = service.MembershipService(
            self.reactor,
            self.gossip,
            self.calls,
            self.rng,
            self.registry,
            self.facts,
        )
        self.directory = self.membership.directory
        self.subset = subset_view.SubsetView(
            instance_settings.instance, self.directory
        )

    def _build_configuration(self) -> None:
        instance_settings = self.settings
        self.sync = sync.ConfigSync(
            instance_settings.instance,
            instance_settings.data_centre,
            clock=self.reactor,
            rng=self.rng,
            store=self.http_store,
            directory=self.directory,
            broadcaster=self.membership.broadcaster,
            calls=self.calls,
            held=self.current_configuration,
        )

    def _build_limits(self) -> None:
        info = ports.InstanceInfo(
            self.settings.instance,
            self.options.incarnation,
            self.settings.data_centre,
            self.settings.peer,
        )
        self.limits = limits_assembly.Limits(
            info,
            # Ownership has its own backoff. The rate limit on calls to a
            # recovering store would delay the handover of 85 shards by 17 s.
            self.http_store,
            self.calls,
            self.directory,
            self.reactor,
            self.rng,
            self.prober,
            self._account,
            unix_offset=time.time() - self.reactor.seconds(),
        )
        self.admission = counted.CountedAdmission(self.limits.admission)
        self.records = counted.CountedRecords(self.limits.outcomes)

    def _build_health(self) -> None:
        configuration = self.configuration_in_force
        self.crashes = crashes.CrashTracker(
            self.reactor,
            self.directory,
            self.membership.broadcaster,
            self._refuses_connections,
            self.facts,
        )
        self.health = health_service.HealthService(
            self.settings.instance,
            clock=self.reactor,
            rng=self.rng,
            registry=self.registry,
            directory=self.directory,
            peers=self.calls,
            owners=self.limits.owners,
            configuration=configuration,
            crash_tracker=self.crashes,
            probe=self._probe,
            abandon=self._abandon,
        )
        self.permits = permit_owner.PermitOwner(
            self.limits.ownership,
            self.calls,
            self.directory,
            self.reactor,
            configuration,
            self.gossip.reachable,
        )
        self.slots = slots.FairSlots(
            self.reactor, self._must_run_alone, self._crash_refusal
        )
        self.paths = paths.Paths(self.rng)
        self.picker = picker.Picker(
            self.rng,
            self.subset.targets,
            self._usable,
            self.settings.data_centre,
        )

    def configuration_in_force(self) -> config_model.Configuration:
        """Returns the configuration in force; empty before the first one."""
        return self.current_configuration.configuration

    def _must_run_alone(self, entry: queue.Entry) -> bool:
        return self.crashes.must_run_alone(entry.account, entry.fingerprint)

    def _crash_refusal(self, entry: queue.Entry) -> errors.RequestError | None:
        return self.crashes.refusal(entry.account, entry.fingerprint)

    def _abandon(self, target: str) -> None:
        self.abandon(target)

    def _usable(self, now: float, instance: str) -> bool:
        return (
            not self.is_down(instance)
            and self.paths.usable(now, instance)
            and self.gossip.reachable(instance)
        )

    def _report_path(self, instance: str, works: bool) -> None:
        now = self.reactor.seconds()
        if works:
            self.paths.frame_received(now, instance)
        else:
            self.paths.open_failed(now, instance)

    def _refuses_connections(self, target: str) -> "defer.Deferred[bool]":
        local = self.registry.target(target)
        if local is None:
            return defer.succeed(True)
        return self.prober(*local.address)

    def _probe(self, target: str) -> "defer.Deferred[bool]":
        local = self.registry.target(target)
        if local is None:
            return defer.succeed(False)
        return probe.probe(self.reactor, local.address)

    def _account(self, id: str) -> config_model.ClientAccount | None:
        return self.current_configuration.configuration.accounts.get(id)

    def _fleet(self) -> root.Fleet:
        instance_settings = self.settings
        endpoints = supervisor.Listener(
            "operators listener",
            self.reactor,
            instance_settings.operators,
            self._operators_site(),
            self.rng,
        )
        membership = supervisor.FunctionComponent(
            "membership", self.membership.start, self.membership.stop
        )
        configuration = supervisor.FunctionComponent(
            "configuration", self.sync.start, self.sync.stop
        )
        limits = supervisor.FunctionComponent(
            "limits", self.limits.start, lambda: None
        )
        health = [
            loops.Loop(
                name, action, loops.periodic(seconds), self.reactor, self.rng
            )
            for name, seconds, action in (
                ("health", health_service.TICK_SECONDS, self.health.tick),
                ("permits", permit_owner.TICK_SECONDS, self.permits.tick),
                ("queues", slots.TICK_SECONDS, self.slots.tick),
            )
        ]
        local_targets = RegisteredTargets(
            self.registry,
            self.health,
            instance_settings.instance,
            instance_settings.data_centre,
        )
        measures.register(
            self.metrics,
            measures.LocalLoad(self.registry, local_targets, self.slots),
            self.membership,
            self.http_store,
            self.admission,
            self.records,
        )
        return root.Fleet(
            directory=self.directory,
            local_targets=local_targets,
            slots=self.slots,
            watcher=self.health,
            suspects=self.crashes,
            budget=retry_budgets.RetryBudgets(),
            hedges=hedges.ServiceHedges(),
            picker=self.picker,
            metrics=self.metrics,
            tracer=self.tracer,
            configuration=self.configuration,
            on_configuration=self.current_configuration.on_change,
            admission=self.admission,
            records=self.records,
            hand_over=self.limits.stop,
            confirmed=lambda: self.sync.confirmed(self.reactor.seconds()),
            report_path=self._report_path,
            announce_leaving=self.membership.leave,
            before_links=[endpoints],
            after_links=[membership, configuration, limits, *health],
        )

    def configuration(self) -> config_model.Configuration | None:
        """Returns the configuration in force; None before the first one."""
        return (
            self.current_configuration.configuration
            if self.current_configuration.revision
            else None
        )

    def _operators_site(self) -> server.Site:
        daemon_views = views.DaemonViews(self)
        changes = operators.Changes(
            self.limits.releases.release, self.limits.releases.clear
        )
        endpoints = operators.OperatorEndpoints(
            daemon_views.views(), self.metrics, self.tracer, changes
        )
        announcements = announce_http.resource(
            self.registry, self.reactor.seconds
        )
        combined = OperatorResource(endpoints.resource(), announcements)
        return server.Site(combined)
