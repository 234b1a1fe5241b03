"""Judges the targets beside an instance and ejects gray ones."""

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
# Summaries go out this often, and less often to many instances, so that a
# fleet of the target size spends a few hundred bytes a second on them.
EXCHANGE_SECONDS = 1.0
MAX_EXCHANGE_SECONDS = 10.0
EXCHANGE_SECONDS_PER_PEER = 0.05
# Asked reports are fresh for 0.2 s.
ASK_SECONDS = 0.1
# Changes of weight below this do not spread.
WEIGHT_STEP = 0.1

_KINDS = {
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
class _Judge:
    """One local target with its evidence and state."""

    id: str
    service: str
    slots: int
    detector: detector.Detector
    ejection: ejection.Ejection
    published: tuple[bool, float] = (False, 1.0)
    asked_at: float = 0.0


@attrs.frozen(eq=False)
class _Token:
    work: outcomes.Work
    judge: _Judge
    running: crashes.Running


class HealthService:
    """Judges local targets; implements `agent.observer.Observer`.

    Args:
        instance: Id of this instance.
        clock: Twisted reactor or `task.Clock`.
        rng: Source of jitter.
        registry: Targets beside this instance; takes the judgements.
        directory: Known targets of the fleet.
        peers: Calls to other instances.
        owners: Calls to the owners of shards.
        configuration: Returns the configuration in force.
        crashed: Learns of requests and how they end.
        probe: Sends one probe to a local target; fires with whether it was
            answered well and in time.
        abandon: Gives up the repeatable requests that a target runs.
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
        crashed: crashes.Crashes,
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
        self._crashes = crashed
        self._probe = probe
        self._abandon = abandon
        self._judges: dict[str, _Judge] = {}
        self._references: dict[str, reference.References] = {}
        self._serials = itertools.count(1)
        self._next_exchange = 0.0
        peers.register(summaries.METHOD, self._serve_summaries)
        peers.register(permit_owner.RECALL, self._serve_recall)

    # From the agent.

    def started(
        self, now: float, target: str, request: exchange.OpenRequest
    ) -> object:
        """Notes a request that is wholly with the target."""
        judge = self._judge(now, target)
        if judge is None:
            return None
        head = request.head
        route = self._configuration().route_for(head.method, head.path)
        work = outcomes.Work(next(self._serials), route.id if route else "")
        judge.detector.started(now, work)
        running = crashes.Running(target, request.account, request.fingerprint)
        self._crashes.started(running)
        return _Token(work, judge, running)

    def answered(self, now: float, token: object, status: int) -> None:
        """Stops to look for a stall; the caller paces what follows."""
        if isinstance(token, _Token):
            token.judge.detector.answered(token.work)

    def finished(
        self, now: float, token: object, outcome: observer.Outcome
    ) -> None:
        """Takes the end of a request as evidence."""
        if not isinstance(token, _Token):
            return
        self._crashes.finished(token.running, outcome)
        token.judge.detector.finished(now, token.work, _converted(outcome))

    def mangled(self, now: float, target: str) -> None:
        """Takes bytes that belong to no request as evidence."""
        judge = self._judge(now, target)
        if judge is not None:
            work = outcomes.Work(next(self._serials))
            judge.detector.started(now, work)
            failed = outcomes.Failed(outcomes.FailureKind.MANGLED)
            judge.detector.finished(now, work, failed)

    def state(self, target: str) -> tuple[bool, float]:
        """Returns whether a local target is ejected, and its weight."""
        judge = self._judges.get(target)
        return judge.published if judge is not None else (False, 1.0)

    def _judge(self, now: float, target: str) -> _Judge | None:
        known = self._judges.get(target)
        if known is not None:
            return known
        local = self._registry.target(target)
        if local is None:
            return None
        # Serial numbers must grow across restarts of this process.
        first = int(time.time() * 1000)
        made = _Judge(
            target,
            local.service,
            local.slots,
            detector.Detector(target, now),
            ejection.Ejection(self._rng, first),
        )
        self._judges[target] = made
        return made

    # Periodic.

    def tick(self) -> None:
        """Judges all local targets; called every `TICK_SECONDS`."""
        now = self._clock.seconds()
        present = {target.id for target in self._registry.targets()}
        for id in self._judges.keys() - present:
            del self._judges[id]
        for id in present:
            judge = self._judge(now, id)
            if judge is not None:
                self._judge_now(now, judge)
        if now >= self._next_exchange:
            self._exchange_all(now)

    def _judge_now(self, now: float, judge: _Judge) -> None:
        known = self._references_of(judge.service)
        found = judge.detector.verdict(now, known.reference(now, judge.id))
        match found:
            case detector.Suspicious(_, ask) if ask is not None:
                if now - judge.asked_at >= ASK_SECONDS:
                    judge.asked_at = now
                    self._ask_peers(judge.service, ask)
            case detector.Gray(reason) if judge.ejection.state == "serving":
                eliot.log_message(
                    message_type="health:gray",
                    message=f"health: target {judge.id} is gray",
                    reason=reason,
                )
        self._act(judge, judge.ejection.verdict(now, found))
        self._act(judge, judge.ejection.tick(now))

    def _act(self, judge: _Judge, actions: list[ejection.Action]) -> None:
        for action in actions:
            match action:
                case ejection.AskPermit(serial, running):
                    self._ask_permit(judge, serial, running)
                case ejection.ReleasePermit(serial):
                    self._release(judge, serial)
                case ejection.Probe():
                    probing = self._probe(judge.id)
                    probing.addCallback(self._probed, judge)
                case ejection.ResetDetector(returning):
                    alarm = detector.evidence.ALARM
                    if returning:
                        alarm = detector.RETURN_ALARM
                    judge.detector.reset(alarm)
        self._publish(judge)

    def _probed(self, good: bool, judge: _Judge) -> None:
        now = self._clock.seconds()
        self._act(judge, judge.ejection.probed(now, good))

    def _publish(self, judge: _Judge) -> None:
        now = self._clock.seconds()
        ejected = judge.ejection.ejected
        weight = judge.ejection.weight(now)
        was_ejected, was_weight = judge.published
        small = abs(weight - was_weight) < WEIGHT_STEP
        settled = weight == 1.0 and was_weight != 1.0
        if ejected == was_ejected and small and not settled:
            return
        judge.published = (ejected, weight)
        self._registry.judge(now, judge.id, ejected=ejected, weight=weight)
        if ejected and not was_ejected:
            eliot.log_message(
                message_type="health:ejected",
                message=f"health: target {judge.id} is ejected",
            )
            self._abandon(judge.id)

    # Permits.

    @defer.inlineCallbacks
    def _ask_permit(self, judge: _Judge, serial: int, running: bool):
        body = {
            "service": judge.service,
            "target": judge.id,
            "slots": judge.slots,
            "serial": serial,
            "running": running,
        }
        try:
            reply, _ = yield self._owners.call(
                shards.shard_of(judge.service),
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
        self._act(judge, judge.ejection.answered(now, serial, answer))

    def _release(self, judge: _Judge, serial: int) -> None:
        body = {
            "service": judge.service,
            "target": judge.id,
            "serial": serial,
        }
        sent = self._owners.call(
            shards.shard_of(judge.service),
            permit_owner.RELEASE,
            body,
            PERMIT_SECONDS,
        )
        sent.addErrback(calls.ignore)

    def _serve_recall(self, caller: str, body: bytes) -> bytes:
        judge = self._judges.get(calls.unpack(body)["target"])
        if judge is not None:
            now = self._clock.seconds()
            self._act(judge, judge.ejection.recalled(now))
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

    def _exchange_all(self, now: float) -> None:
        services = {judge.service for judge in self._judges.values()}
        links = 0
        for service in services:
            present = [t.id for t in self._directory.targets(service)]
            self._references_of(service).retain(present)
            links += self._ask_peers(service, None)
        for service in self._references.keys() - services:
            del self._references[service]
        wait = min(
            MAX_EXCHANGE_SECONDS,
            max(EXCHANGE_SECONDS, EXCHANGE_SECONDS_PER_PEER * links),
        )
        self._next_exchange = now + wait * self._rng.uniform(0.8, 1.2)

    def _ask_peers(self, service: str, window: float | None) -> int:
        """Exchanges summaries with the agents of a service."""
        now = self._clock.seconds()
        body = summaries.encode(service, window, self._own(service, window))
        for summary in self._own(service, window):
            self._references_of(service).learn(now, summary)
        peers = self._peers_of(service)
        for peer in peers:
            asked = self._peers.call(peer, summaries.METHOD, body, CALL_SECONDS)
            asked.addCallback(self._learn)
            asked.addErrback(calls.ignore)
        return len(peers)

    def _own(
        self, service: str, window: float | None
    ) -> list[reference.Summary]:
        now = self._clock.seconds()
        return [
            judge.detector.summary(now, window)
            for judge in self._judges.values()
            if judge.service == service
        ]

    def _learn(self, body: bytes) -> None:
        service, _, found = summaries.decode(body)
        now = self._clock.seconds()
        for summary in found:
            self._references_of(service).learn(now, summary)

    def _serve_summaries(self, caller: str, body: bytes) -> bytes:
        service, window, _ = summaries.decode(body)
        self._learn(body)
        return summaries.encode(service, window, self._own(service, window))


def _converted(outcome: observer.Outcome) -> outcomes.Outcome:
    match outcome:
        case observer.Completed(status, seconds):
            return outcomes.Completed(status, seconds)
        case observer.Failed(kind):
            return outcomes.Failed(_KINDS[kind])
        case observer.Stalled():
            return outcomes.Failed(outcomes.FailureKind.TIMEOUT)
        case _:
            return outcomes.Cancelled()
