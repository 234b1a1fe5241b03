"""Monitors the local targets of an instance and ejects gray ones."""

import itertools
import random
import time
from collections.abc import Callable
from typing import Any

import attrs
import eliot
from twisted.internet import defer

from cicadafront import errors, model, ports
from cicadafront.agent import observer
from cicadafront.config import model as config_model
from cicadafront.health import (
    crashes,
    detector,
    ejection,
    outcomes,
    permit_owner,
    permits,
    reference,
    summaries,
)
from cicadafront.limits import calls, shards
from cicadafront.membership import announce
from cicadafront.peer import exchange

TICK_SECONDS = 0.1
CALL_SECONDS = 0.5
PERMIT_SECONDS = 1.0
# Interval of the summary exchange. It grows with the number of peers, so that a
# fleet of the design size sends only a few hundred bytes of summaries a second.
EXCHANGE_SECONDS = 1.0
MAX_EXCHANGE_SECONDS = 10.0
EXCHANGE_SECONDS_PER_PEER = 0.05
# Minimum interval between requests for reports, which stay fresh for 0.2 s.
REPORT_REQUEST_SECONDS = 0.1
# Smaller changes of weight are not published.
WEIGHT_STEP = 0.1

_FAILURE_KINDS = {
    "refused": outcomes.FailureKind.CONNECT,
    "closed": outcomes.FailureKind.RESET,
    "short": outcomes.FailureKind.SHORT,
    "mangled": outcomes.FailureKind.MANGLED,
    "endless": outcomes.FailureKind.MANGLED,
    "crossed": outcomes.FailureKind.CROSSED,
    "unstated": outcomes.FailureKind.MANGLED,
    "stalled": outcomes.FailureKind.TIMEOUT,
}


@attrs.define(eq=False)
class _MonitoredTarget:
    """One local target with its detector and ejection state."""

    id: str
    service: str
    slots: int
    detector: detector.Detector
    ejection: ejection.Ejection
    published: tuple[bool, float] = (False, 1.0)
    reports_requested_at: float = 0.0


@attrs.frozen(eq=False)
class _Token:
    sent_request: outcomes.Request
    monitored: _MonitoredTarget
    running: crashes.RunningRequest


class HealthService:
    """Monitors local targets; implements `agent.observer.Observer`.

    Args:
        instance: Id of this instance.
        clock: Twisted reactor or `task.Clock`.
        rng: Source of jitter.
        registry: Local targets; receives their ejection state and weight.
        directory: Known targets of the fleet.
        peers: Calls from and to other instances.
        owners: Calls to the owners of shards.
        configuration: Returns the active configuration.
        crash_tracker: Receives the start and the outcome of each request.
        probe: Sends a health check to a local target; fires with whether it
            succeeded in time.
        abandon: Cancels the repeatable requests that a target is running.
    """

    def __init__(
        self,
        instance: str,
        *,
        clock: Any,
        rng: random.Random,
        registry: announce.TargetRegistry,
        directory: ports.Directory,
        peers: ports.PeerCalls,
        owners: calls.OwnerCalls,
        configuration: Callable[[], config_model.Configuration],
        crash_tracker: crashes.CrashTracker,
        probe: Callable[[str], "defer.Deferred[bool]"],
        abandon: Callable[[str], None],
    ):
        self._instance = instance
        self._clock = clock
        self._rng = rng
        self._registry = registry
        self._directory = directory
        self._peers = peers
        self._owners = owners
        self._configuration = configuration
        self._crashes = crash_tracker
        self._probe = probe
        self._abandon = abandon
        self._monitored: dict[str, _MonitoredTarget] = {}
        self._references: dict[str, reference.References] = {}
        self._serials = itertools.count(1)
        self._next_exchange = 0.0
        peers.register(summaries.METHOD, self._serve_summaries)
        peers.register(permit_owner.RECALL, self._serve_recall)

    # Interface for the agent.

    def started(
        self, now: float, target: str, request: exchange.OpenRequest
    ) -> object:
        """Records a request that was completely sent to the target."""
        monitored = self._monitor(now, target)
        if monitored is None:
            return None
        head = request.head
        route = self._configuration().route_for(head.method, head.path)
        sent_request = outcomes.Request(
            next(self._serials), route.id if route else ""
        )
        monitored.detector.started(now, sent_request)
        running = crashes.RunningRequest(
            target, request.account, request.fingerprint
        )
        self._crashes.started(running)
        return _Token(sent_request, monitored, running)

    def answered(self, now: float, token: object, status: int) -> None:
        """Records the start of a response.

        The request no longer counts as stalled, because the client may limit
        the speed of the rest of the response.
        """
        if isinstance(token, _Token):
            token.monitored.detector.answered(token.sent_request)

    def finished(
        self, now: float, token: object, outcome: observer.Outcome
    ) -> None:
        """Records the outcome of a request."""
        if not isinstance(token, _Token):
            return
        self._crashes.finished(token.running, outcome)
        token.monitored.detector.finished(
            now, token.sent_request, _to_outcome(outcome)
        )

    def mangled(self, now: float, target: str) -> None:
        """Records received bytes that belong to no request as a failure."""
        monitored = self._monitor(now, target)
        if monitored is not None:
            sent_request = outcomes.Request(next(self._serials))
            monitored.detector.started(now, sent_request)
            failed = outcomes.Failed(outcomes.FailureKind.MANGLED)
            monitored.detector.finished(now, sent_request, failed)

    def state(self, target: str) -> tuple[bool, float]:
        """Returns whether a local target is ejected, and its weight."""
        monitored = self._monitored.get(target)
        return monitored.published if monitored is not None else (False, 1.0)

    def _monitor(self, now: float, target: str) -> _MonitoredTarget | None:
        known = self._monitored.get(target)
        if known is not None:
            return known
        local = self._registry.target(target)
        if local is None:
            return None
        # Sequence numbers must increase across restarts of this process.
        first = int(time.time() * 1000)
        made = _MonitoredTarget(
            target,
            local.service,
            local.slots,
            detector.Detector(target, now),
            ejection.Ejection(self._rng, first),
        )
        self._monitored[target] = made
        return made

    # Periodic evaluation.

    def tick(self) -> None:
        """Evaluates all local targets; called every `TICK_SECONDS`."""
        now = self._clock.seconds()
        present = {target.id for target in self._registry.targets()}
        for id in self._monitored.keys() - present:
            del self._monitored[id]
        for id in present:
            monitored = self._monitor(now, id)
            if monitored is not None:
                self._evaluate(now, monitored)
        if now >= self._next_exchange:
            self._exchange_periodically(now)

    def _evaluate(self, now: float, monitored: _MonitoredTarget) -> None:
        known = self._references_of(monitored.service)
        found = monitored.detector.verdict(
            now, known.reference(now, monitored.id)
        )
        match found:
            case detector.Suspicious(_, report_window) if (
                report_window is not None
            ):
                if (
                    now - monitored.reports_requested_at
                    >= REPORT_REQUEST_SECONDS
                ):
                    monitored.reports_requested_at = now
                    self._exchange_summaries(monitored.service, report_window)
            case detector.Gray(reason) if monitored.ejection.state == "serving":
                eliot.log_message(
                    message_type="health:gray",
                    message=f"health: target {monitored.id} shows gray failure",
                    reason=reason,
                )
        self._apply(monitored, monitored.ejection.verdict(now, found))
        self._apply(monitored, monitored.ejection.tick(now))

    def _apply(
        self, monitored: _MonitoredTarget, actions: list[ejection.Action]
    ) -> None:
        for action in actions:
            match action:
                case ejection.RequestPermit(serial, running):
                    self._request_permit(monitored, serial, running)
                case ejection.ReleasePermit(serial):
                    self._release(monitored, serial)
                case ejection.Probe():
                    probing = self._probe(monitored.id)
                    probing.addCallback(self._probed, monitored)
                case ejection.ResetDetector(returning):
                    alarm = detector.evidence.ALARM
                    if returning:
                        alarm = detector.RETURN_ALARM
                    monitored.detector.reset(alarm)
        self._publish(monitored)

    def _probed(self, good: bool, monitored: _MonitoredTarget) -> None:
        now = self._clock.seconds()
        self._apply(monitored, monitored.ejection.probed(now, good))

    def _publish(self, monitored: _MonitoredTarget) -> None:
        now = self._clock.seconds()
        ejected = monitored.ejection.ejected
        weight = monitored.ejection.weight(now)
        was_ejected, was_weight = monitored.published
        small = abs(weight - was_weight) < WEIGHT_STEP
        settled = weight == 1.0 and was_weight != 1.0
        if ejected == was_ejected and small and not settled:
            return
        monitored.published = (ejected, weight)
        self._registry.judge(now, monitored.id, ejected=ejected, weight=weight)
        if ejected and not was_ejected:
            eliot.log_message(
                message_type="health:ejected",
                message=f"health: target {monitored.id} is ejected",
            )
            self._abandon(monitored.id)

    # Permits.

    @defer.inlineCallbacks
    def _request_permit(
        self, monitored: _MonitoredTarget, serial: int, running: bool
    ):
        body = {
            "service": monitored.service,
            "target": monitored.id,
            "slots": monitored.slots,
            "serial": serial,
            "running": running,
        }
        try:
            reply, _ = yield self._owners.call(
                shards.shard_of(monitored.service),
                permit_owner.PERMIT,
                body,
                PERMIT_SECONDS,
            )
        except errors.CallFailedError:
            return
        answer: permits.Answer
        if "denied" in reply:
            answer = permits.Denied(reply["denied"])
        else:
            answer = permits.Granted(reply["until"], reply["epoch"])
        now = self._clock.seconds()
        self._apply(monitored, monitored.ejection.answered(now, serial, answer))

    def _release(self, monitored: _MonitoredTarget, serial: int) -> None:
        body = {
            "service": monitored.service,
            "target": monitored.id,
            "serial": serial,
        }
        sent = self._owners.call(
            shards.shard_of(monitored.service),
            permit_owner.RELEASE,
            body,
            PERMIT_SECONDS,
        )
        sent.addErrback(calls.ignore)

    def _serve_recall(self, caller: str, body: bytes) -> bytes:
        monitored = self._monitored.get(calls.unpack(body)["target"])
        if monitored is not None:
            now = self._clock.seconds()
            self._apply(monitored, monitored.ejection.recalled(now))
        return b""

    # Summaries.

    def _references_of(self, service: str) -> reference.References:
        return self._references.setdefault(service, reference.References())

    def _peers_of(self, service: str) -> set[str]:
        return {
            target.instance
            for target in self._directory.targets(service)
            if target.instance != self._instance
            and target.state is not model.TargetState.LEAVING
        }

    def _exchange_periodically(self, now: float) -> None:
        services = {monitored.service for monitored in self._monitored.values()}
        links = 0
        for service in services:
            present = [t.id for t in self._directory.targets(service)]
            self._references_of(service).retain(present)
            links += self._exchange_summaries(service, None)
        for service in self._references.keys() - services:
            del self._references[service]
        wait = min(
            MAX_EXCHANGE_SECONDS,
            max(EXCHANGE_SECONDS, EXCHANGE_SECONDS_PER_PEER * links),
        )
        self._next_exchange = now + wait * self._rng.uniform(0.8, 1.2)

    def _exchange_summaries(self, service: str, window: float | None) -> int:
        """Exchanges summaries with the other agents of a service.

        Args:
            service: Id of the service.
            window: Time span of the requested slowdown, in seconds; None for
                a periodic exchange.

        Returns:
            Number of instances to which a call was sent.
        """
        now = self._clock.seconds()
        body = summaries.encode(
            service, window, self._own_summaries(service, window)
        )
        for summary in self._own_summaries(service, window):
            self._references_of(service).learn(now, summary)
        peers = self._peers_of(service)
        for peer in peers:
            asked = self._peers.call(peer, summaries.METHOD, body, CALL_SECONDS)
            asked.addCallback(self._learn_summaries)
            asked.addErrback(calls.ignore)
        return len(peers)

    def _own_summaries(
        self, service: str, window: float | None
    ) -> list[reference.Summary]:
        now = self._clock.seconds()
        return [
            monitored.detector.summary(now, window)
            for monitored in self._monitored.values()
            if monitored.service == service
        ]

    def _learn_summaries(self, body: bytes) -> None:
        service, _, found = summaries.decode(body)
        now = self._clock.seconds()
        for summary in found:
            self._references_of(service).learn(now, summary)

    def _serve_summaries(self, caller: str, body: bytes) -> bytes:
        service, window, _ = summaries.decode(body)
        self._learn_summaries(body)
        return summaries.encode(
            service, window, self._own_summaries(service, window)
        )


def _to_outcome(outcome: observer.Outcome) -> outcomes.Outcome:
    match outcome:
        case observer.Completed(status, seconds):
            return outcomes.Completed(status, seconds)
        case observer.Failed(kind):
            return outcomes.Failed(_FAILURE_KINDS[kind])
        case observer.Stalled():
            return outcomes.Failed(outcomes.FailureKind.TIMEOUT)
        case _:
            return outcomes.Cancelled()
