"""Detects crashed targets and broadcasts the requests they were running."""

from collections.abc import Callable
from typing import Any

import attrs
import eliot
from twisted.internet import defer

from cicadafront import errors, model, ports
from cicadafront.agent import observer
from cicadafront.health import suspects
from cicadafront.membership import handover

TOPIC = "suspects"
# Failures that a crash of the target's process causes.
_CRASH_FAILURES = frozenset({"closed", "short"})


@attrs.frozen(eq=False)
class RunningRequest:
    """A request that a target is running."""

    target: str
    account: str
    fingerprint: bytes


class CrashTracker:
    """Tracks suspect requests; implements `edge.policies.Suspects`.

    Args:
        clock: Source of time in seconds.
        directory: Known targets.
        broadcaster: Broadcasts crash events to all instances.
        refused: Returns whether a local target refuses connections.
        facts: Hands the crashes to new processes.
    """

    def __init__(
        self,
        clock: Any,
        directory: ports.Directory,
        broadcaster: ports.Broadcaster,
        refused: Callable[[str], "defer.Deferred[bool]"],
        facts: handover.Handover | None = None,
    ):
        self.suspects = suspects.Suspects()
        self._clock = clock
        self._directory = directory
        self._broadcaster = broadcaster
        self._refused = refused
        self._running: dict[str, set[RunningRequest]] = {}
        self._checking: set[str] = set()
        self._facts = facts or handover.Handover("")
        self._facts.on_fact(TOPIC, self._on_fact)
        broadcaster.on_broadcast(TOPIC, self._on_event)

    # Interface for the agent.

    def started(self, running: RunningRequest) -> None:
        """Records a request that was sent to its target."""
        self._running.setdefault(running.target, set()).add(running)

    def finished(
        self, running: RunningRequest, outcome: observer.Outcome
    ) -> None:
        """Records the end of a request; checks whether its target crashed."""
        concurrent = self._running.get(running.target, set())
        match outcome:
            case observer.Failed(kind) if kind in _CRASH_FAILURES:
                if running.target not in self._checking:
                    self._check_for_crash(running.target, frozenset(concurrent))
            case observer.Completed():
                self._completed(running, alone=len(concurrent) == 1)
        concurrent.discard(running)
        if not concurrent:
            self._running.pop(running.target, None)

    def _check_for_crash(
        self, target: str, interrupted: frozenset[RunningRequest]
    ) -> None:
        self._checking.add(target)
        checking = self._refused(target)
        checking.addCallback(self._crash_checked, target, interrupted)
        checking.addErrback(lambda _: self._checking.discard(target))

    def _crash_checked(
        self, dead: bool, target: str, interrupted: frozenset[RunningRequest]
    ) -> None:
        self._checking.discard(target)
        if not dead:
            return
        fingerprints = sorted({item.fingerprint for item in interrupted})
        eliot.log_message(
            message_type="health:crash",
            message=f"health: target {target} crashed",
            running=len(interrupted),
        )
        for item in interrupted:
            others = tuple(p for p in fingerprints if p != item.fingerprint)
            self._publish(
                suspects.Crash(
                    item.fingerprint,
                    item.account,
                    target,
                    len(interrupted) == 1,
                    others[: suspects.MAX_OTHERS],
                )
            )

    def _completed(self, running: RunningRequest, alone: bool) -> None:
        decision = self._decide(
            running.account, running.fingerprint, [running.target]
        )
        if alone and isinstance(decision, suspects.RunIsolated):
            self._publish(
                suspects.Cleared(running.fingerprint, running.account)
            )

    def _publish(self, event: suspects.Event) -> None:
        payload = suspects.encode(event)
        self._learn(event, payload, own=True)
        self._broadcaster.broadcast(TOPIC, payload)

    def _learn(
        self, event: suspects.Event, payload: bytes, *, own: bool
    ) -> None:
        self.suspects.learn(self._clock.seconds(), event)
        subject = event.fingerprint + event.account.encode()
        match event:
            case suspects.Crash():
                self._facts.add(TOPIC, subject, payload, own=own)
            case suspects.Cleared():
                self._facts.discard(TOPIC, subject)

    def _on_fact(self, payload: bytes, age: float) -> None:
        event = suspects.decode(payload)
        self.suspects.learn(self._clock.seconds() - age, event)

    def _on_event(self, payload: bytes) -> None:
        try:
            event = suspects.decode(payload)
        except ValueError as error:
            eliot.log_message(
                message_type="health:bad_event",
                message="health: dropped an invalid crash event",
                reason=str(error),
            )
            return
        self._learn(event, payload, own=False)

    def must_run_alone(self, account: str, fingerprint: bytes) -> bool:
        """Returns whether a request may run only on an idle target."""
        decision = self._decide(account, fingerprint, ["any"])
        return not isinstance(decision, suspects.RunNormally)

    def refusal(
        self, account: str, fingerprint: bytes
    ) -> errors.RequestError | None:
        """Returns why a request is refused, or None if it may run."""
        decision = self._decide(account, fingerprint, ["any"])
        if isinstance(decision, suspects.Refuse):
            return self._refusal(decision)
        return None

    # Interface for the entry.

    def check(self, account: str, fingerprint: bytes) -> None:
        """Checks that a request is not refused.

        Raises:
            RequestCrashesTargetsError: The request is refused.
        """
        refusal = self.refusal(account, fingerprint)
        if refusal is not None:
            raise refusal

    def isolated_target(
        self, account: str, fingerprint: bytes, service: str
    ) -> str | None:
        """Returns the only target for a suspect; None for other requests.

        Raises:
            RequestCrashesTargetsError: The request is refused.
        """
        if not len(self.suspects):
            return None
        serving = [
            target.id
            for target in self._directory.targets(service)
            if target.state is model.TargetState.SERVING
        ]
        match self._decide(account, fingerprint, serving):
            case suspects.RunIsolated(target):
                return target
            case suspects.Refuse() as decision:
                raise self._refusal(decision)
        return None

    def _decide(
        self, account: str, fingerprint: bytes, targets: list[str]
    ) -> suspects.Decision:
        now = self._clock.seconds()
        return self.suspects.decide(now, account, fingerprint, targets)

    def _refusal(self, decision: suspects.Refuse) -> errors.RequestError:
        wait = max(1.0, decision.until - self._clock.seconds())
        return errors.RequestCrashesTargetsError(
            "Targets crashed while running this request; change the "
            "request or fix the service before retrying.",
            retry_after=wait,
        )
