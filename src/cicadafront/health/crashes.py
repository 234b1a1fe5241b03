"""Recognises crashed targets and shares the requests that they ran."""

from collections.abc import Callable
from typing import Any

import attrs
import eliot
from twisted.internet import defer

from cicadafront import errors, model, ports
from cicadafront.agent import observer
from cicadafront.health import suspects

TOPIC = "suspects"
# How an exchange ends when the target's process dies.
_DEATHS = frozenset({"closed", "short"})


@attrs.frozen(eq=False)
class Running:
    """A request that a target runs."""

    target: str
    account: str
    fingerprint: bytes


class Crashes:
    """Suspects of this instance; implements `edge.policies.Suspects`.

    Args:
        clock: Source of time in seconds.
        directory: Known targets.
        broadcaster: Urgent messages.
        refused: Tells whether a local target refuses connections.
    """

    def __init__(
        self,
        clock: Any,
        directory: ports.Directory,
        broadcaster: ports.Broadcaster,
        refused: Callable[[str], "defer.Deferred[bool]"],
    ):
        self.known = suspects.Suspects()
        self._clock = clock
        self._directory = directory
        self._broadcaster = broadcaster
        self._refused = refused
        self._running: dict[str, set[Running]] = {}
        self._examined: set[str] = set()
        broadcaster.on_broadcast(TOPIC, self._heard)

    # Agent.

    def started(self, running: Running) -> None:
        """Notes a request that is with its target."""
        self._running.setdefault(running.target, set()).add(running)

    def finished(self, running: Running, outcome: observer.Outcome) -> None:
        """Notes the end of a request; a death of the target is examined."""
        beside = self._running.get(running.target, set())
        match outcome:
            case observer.Failed(kind) if kind in _DEATHS:
                if running.target not in self._examined:
                    self._examine(running.target, frozenset(beside))
            case observer.Completed():
                self._completed(running, alone=len(beside) == 1)
        beside.discard(running)
        if not beside:
            self._running.pop(running.target, None)

    def _examine(self, target: str, victims: frozenset[Running]) -> None:
        self._examined.add(target)
        checking = self._refused(target)
        checking.addCallback(self._examined_target, target, victims)
        checking.addErrback(lambda _: self._examined.discard(target))

    def _examined_target(
        self, dead: bool, target: str, victims: frozenset[Running]
    ) -> None:
        self._examined.discard(target)
        if not dead:
            return
        prints = sorted({item.fingerprint for item in victims})
        eliot.log_message(
            message_type="health:crash",
            message=f"health: target {target} crashed",
            running=len(victims),
        )
        for item in victims:
            others = tuple(p for p in prints if p != item.fingerprint)
            self._share(
                suspects.Crash(
                    item.fingerprint,
                    item.account,
                    target,
                    len(victims) == 1,
                    others[: suspects.MAX_OTHERS],
                )
            )

    def _completed(self, running: Running, alone: bool) -> None:
        decision = self._decide(
            running.account, running.fingerprint, [running.target]
        )
        if alone and isinstance(decision, suspects.RunAlone):
            self._share(suspects.Cleared(running.fingerprint, running.account))

    def _share(self, event: suspects.Event) -> None:
        self.known.learn(self._clock.seconds(), event)
        self._broadcaster.broadcast(TOPIC, suspects.encode(event))

    def _heard(self, payload: bytes) -> None:
        try:
            event = suspects.decode(payload)
        except ValueError as error:
            eliot.log_message(
                message_type="health:bad_event",
                message="health: a crash event was dropped",
                reason=str(error),
            )
            return
        self.known.learn(self._clock.seconds(), event)

    def must_run_alone(self, account: str, fingerprint: bytes) -> bool:
        """Tells whether a request may only run on an idle target."""
        decision = self._decide(account, fingerprint, ["any"])
        return not isinstance(decision, suspects.RunNormally)

    # Entry.

    def check(self, account: str, fingerprint: bytes) -> None:
        """Raises `RequestCrashesTargetsError` for a refused request."""
        decision = self._decide(account, fingerprint, ["any"])
        if isinstance(decision, suspects.Refuse):
            raise self._refusal(decision)

    def lone_target(
        self, account: str, fingerprint: bytes, service: str
    ) -> str | None:
        """Returns the only target that may run a suspect, else None.

        Raises:
            RequestCrashesTargetsError: The request is refused.
        """
        if not len(self.known):
            return None
        serving = [
            target.id
            for target in self._directory.targets(service)
            if target.state is model.TargetState.SERVING
        ]
        match self._decide(account, fingerprint, serving):
            case suspects.RunAlone(target):
                return target
            case suspects.Refuse() as decision:
                raise self._refusal(decision)
        return None

    def _decide(
        self, account: str, fingerprint: bytes, targets: list[str]
    ) -> suspects.Decision:
        now = self._clock.seconds()
        return self.known.decide(now, account, fingerprint, targets)

    def _refusal(self, decision: suspects.Refuse) -> errors.RequestError:
        wait = max(1.0, decision.until - self._clock.seconds())
        return errors.RequestCrashesTargetsError(
            "Targets crashed while they ran this request; change it or have "
            "the service mended before it is sent again.",
            retry_after=wait,
        )
