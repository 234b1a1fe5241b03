"""Admission beside a target: who gets a slot now, who waits, who goes on.

Answers two loads. When targets of a service stall for seconds, work must not
pile up on them while others have room: a refusal sends it on within a round
trip. When all targets are full, the most urgent requests wait in a short
queue, and what cannot be answered in time is refused at once.

The gate is the `agent.queue.Queue` and the `agent.observer.Observer` of the
agent, so that it decides by what really runs at the target.
"""

import math
from collections.abc import Callable
from typing import Any

import attrs

from cicadafront import errors
from cicadafront.agent import observer, queue
from cicadafront.health import crashes, spells
from cicadafront.peer import exchange
from cicadafront.telemetry import logs

TICK_SECONDS = 0.05
# Waiting requests for each slot; the queue drains in about this many mean
# service times, which is what most objectives leave.
WAITING_PER_SLOT = 2
# Part of the slots, rounded up, that payments take before one of them has
# ended: a target that begins to stall loses no more, while others have room.
UNPROVEN_SHARE = 0.5
# First server error in HTTP.
_SERVER_ERROR = 500

_log = logs.Log("gate")


@attrs.define(eq=False)
class _Waiting:
    entry: queue.Entry
    start: Callable[[], None]
    give_up: queue.GiveUp
    since: float


@attrs.define(eq=False)
class _Place:
    """One target beside this instance."""

    spell: spells.Spell
    slots: int = 1
    holding: set[queue.Entry] = attrs.field(factory=set)
    waiting: list[_Waiting] = attrs.field(factory=list)
    alone: queue.Entry | None = None
    suspended: bool = False


@attrs.frozen(eq=False)
class _Token:
    place: _Place
    run: spells.Run
    running: crashes.Running


class Gate:
    """Slots, queue and judgement of the targets beside this instance.

    Args:
        clock: Source of time in seconds.
        crashed: Learns of requests and how they end.
        alone: Tells whether a request must run with no other one.
        shed: Called with a target that refused a request, and the status.
        may_repeat: Tells whether requests that another target has had may
            run here, which repeats their calls as well.
    """

    def __init__(
        self,
        clock: Any,
        crashed: crashes.Crashes,
        alone: Callable[[queue.Entry], bool] = lambda entry: False,
        shed: Callable[[str, int], None] = lambda target, status: None,
        may_repeat: Callable[[], bool] = lambda: True,
    ):
        self._clock = clock
        self._crashes = crashed
        self._alone = alone
        self._shed = shed
        self._may_repeat = may_repeat
        self._usual = spells.Usual()
        self._places: dict[str, _Place] = {}
        self._timer: Any = None

    # Queue.

    def submit(
        self,
        entry: queue.Entry,
        start: Callable[[], None],
        give_up: queue.GiveUp,
    ) -> None:
        """Asks for a slot; either callback may run before this returns."""
        now = self._clock.seconds()
        place = self._place(entry.target)
        place.slots = entry.slots
        refusal = self._refusal(now, place, entry)
        if refusal is not None:
            give_up(refusal)
            return
        place.waiting.append(_Waiting(entry, start, give_up, now))
        self._grant(now, place)
        if any(item.entry is entry for item in place.waiting):
            self._shorten(now, place)
        self._arm()

    def remove(self, entry: queue.Entry) -> None:
        """Takes back an entry that waits, or frees the slot it holds."""
        place = self._places.get(entry.target)
        if place is None:
            return
        place.holding.discard(entry)
        place.waiting = [w for w in place.waiting if w.entry is not entry]
        if place.alone is entry:
            place.alone = None
        self._grant(self._clock.seconds(), place)

    def load(self, target: str) -> exchange.Load:
        """Returns the load of a target."""
        place = self._places.get(target)
        if place is None:
            return exchange.Load()
        return exchange.Load(len(place.holding), len(place.waiting))

    def repeated_share(self) -> float:
        """Returns the part of the running requests that are repeated."""
        running = [e for place in self._places.values() for e in place.holding]
        if not running:
            return 0.0
        return sum(entry.repeated for entry in running) / len(running)

    def tick(self) -> None:
        """Refuses what cannot be answered in time."""
        now = self._clock.seconds()
        for place in self._places.values():
            for waiting in list(place.waiting):
                if self._hopeless(now, waiting.entry):
                    place.waiting.remove(waiting)
                    waiting.give_up(_busy(waiting.entry, self._drain(place)))

    def _arm(self) -> None:
        """Looks after the queues for as long as anything waits."""
        idle = self._timer is None or not self._timer.active()
        if idle and any(place.waiting for place in self._places.values()):
            self._timer = self._clock.callLater(TICK_SECONDS, self._look)

    def _look(self) -> None:
        self.tick()
        self._arm()

    def empty(self, target: str) -> None:
        """Refuses all that waits for a target that takes no more work."""
        place = self._places.get(target)
        if place is None:
            return
        waiting, place.waiting = place.waiting, []
        for item in waiting:
            item.give_up(
                errors.TargetLeavingError(
                    f"Target {target} takes no new work; try again.",
                    retry_after=_least_wait(0.0),
                )
            )

    def forget(self, target: str) -> None:
        """Drops what is known of a target that has ended."""
        self.empty(target)
        self._places.pop(target, None)

    # Observer.

    def started(
        self, now: float, target: str, request: exchange.OpenRequest
    ) -> object:
        """Notes a request that is wholly with the target."""
        place = self._place(target)
        run = place.spell.start(now, _objective(request))
        running = crashes.Running(target, request.account, request.fingerprint)
        self._crashes.started(running)
        return _Token(place, run, running)

    def answered(self, now: float, token: object, status: int) -> None:
        """Notes the head of the answer; the caller paces what follows."""
        if not isinstance(token, _Token):
            return
        if status >= _SERVER_ERROR:
            token.place.spell.error(now, token.run, status)
        else:
            token.place.spell.good(now, token.run)

    def finished(
        self, now: float, token: object, outcome: observer.Outcome
    ) -> None:
        """Notes the end of an exchange."""
        if not isinstance(token, _Token):
            return
        self._crashes.finished(token.running, outcome)
        spell, run = token.place.spell, token.run
        match outcome:
            case observer.Completed(status) if status >= _SERVER_ERROR:
                spell.error(now, run, status)
            case observer.Completed():
                spell.good(now, run)
            case observer.Failed(kind):
                spell.bad(now, run, kind)
            case observer.Stalled() if not run.answered:
                spell.bad(now, run, "deadline")
            case observer.Shed(status):
                spell.shed(now, run)
                self._shed(token.running.target, status)
            case _:
                # The caller left, or it paces the rest of a good answer.
                spell.gave_up(now, run)

    def mangled(self, now: float, target: str) -> None:
        """Notes bytes that belong to no request: a late answer, no stall."""

    # Decisions.

    def _refusal(
        self, now: float, place: _Place, entry: queue.Entry
    ) -> errors.RequestError | None:
        """Returns why a request cannot even wait, or None."""
        if entry.repeated and not self._may_repeat():
            return _calls_used(entry)
        if self._alone(entry):
            if place.holding or place.waiting:
                return _busy(entry, self._drain(place))
            return None
        avoid = self._avoid_seconds(now, place, entry)
        if avoid:
            return _doubted(entry, avoid)
        free = len(place.holding) < place.slots and not place.waiting
        if free and place.alone is None and not self._risky(place, entry):
            return None
        if entry.insist == exchange.REQUIRE_FREE_SLOT or self._too_late(
            now, place, entry
        ):
            return _busy(entry, self._drain(place))
        return None

    def _risky(self, place: _Place, entry: queue.Entry) -> bool:
        """Tells whether a payment would add to many that may be lost."""
        if entry.repeatable or entry.insist > exchange.REQUIRE_FREE_SLOT:
            return False
        most = math.ceil(UNPROVEN_SHARE * place.slots)
        return place.spell.unproven() >= most

    def _avoid_seconds(
        self, now: float, place: _Place, entry: queue.Entry
    ) -> float:
        """Returns how long a request should avoid a target, 0 for not."""
        spell = place.spell
        standing = spell.standing(now)
        self._note(now, entry.target, place, standing)
        if standing is spells.Standing.SUSPENDED:
            trial = spell.takes_trial(now) and (
                entry.repeatable or entry.insist > exchange.REQUIRE_FREE_SLOT
            )
            if trial or entry.insist > exchange.ALLOW_QUEUEING:
                return 0.0
            return SUSPENDED_SECONDS
        if entry.insist > exchange.REQUIRE_FREE_SLOT:
            return 0.0
        doubted = standing is spells.Standing.DOUBTED
        if doubted or (not entry.repeatable and spell.uneasy(now)):
            return DOUBTED_SECONDS
        return 0.0

    def _note(
        self, now: float, target: str, place: _Place, standing: spells.Standing
    ) -> None:
        """Logs that a target is suspended, or trusted again."""
        suspended = standing is spells.Standing.SUSPENDED
        if suspended == place.suspended:
            return
        place.suspended = suspended
        ages = [round(now - run.started, 3) for run in place.spell.running]
        _log.info(
            "a target is suspended."
            if suspended
            else "a target is trusted again.",
            target=target,
            failures=dict(place.spell.reasons),
            running_seconds=sorted(ages, reverse=True)[:8],
        )
        place.spell.reasons.clear()

    def _too_late(self, now: float, place: _Place, entry: queue.Entry) -> bool:
        """Tells whether an answer would come after the deadline."""
        ahead = sum(w.entry.priority <= entry.priority for w in place.waiting)
        usual = self._usual.seconds(entry.objective)
        wait = (ahead + 1) * usual / place.slots
        return now + wait + usual > entry.deadline

    def _hopeless(self, now: float, entry: queue.Entry) -> bool:
        """Tells whether too little time is left even with a slot now."""
        usual = self._usual.seconds(entry.objective)
        return now + usual / 2 > entry.deadline

    def _drain(self, place: _Place) -> float:
        """Returns the seconds until the queue in front of a target is gone."""
        objectives = [w.entry.objective for w in place.waiting]
        objectives += [entry.objective for entry in place.holding]
        if not objectives:
            return 0.0
        mean = sum(map(self._usual.seconds, objectives)) / len(objectives)
        return mean * (1 + len(place.waiting)) / place.slots

    def _shorten(self, now: float, place: _Place) -> None:
        """Refuses the least urgent requests beyond the queue's length."""
        while len(place.waiting) > WAITING_PER_SLOT * place.slots:
            last = max(place.waiting, key=_urgency)
            place.waiting.remove(last)
            last.give_up(_busy(last.entry, self._drain(place)))

    def _grant(self, now: float, place: _Place) -> None:
        while place.waiting and place.alone is None:
            if len(place.holding) >= place.slots:
                return
            first = min(place.waiting, key=_urgency)
            alone = self._alone(first.entry)
            if alone and place.holding:
                return
            place.waiting.remove(first)
            place.holding.add(first.entry)
            if alone:
                place.alone = first.entry
            first.start()

    def _place(self, target: str) -> _Place:
        place = self._places.get(target)
        if place is None:
            place = _Place(spells.Spell(self._usual))
            self._places[target] = place
        return place


def _urgency(waiting: _Waiting) -> tuple[int, float]:
    return waiting.entry.priority, waiting.entry.deadline


def _objective(request: exchange.OpenRequest) -> float:
    return request.objective or request.timeout


def _least_wait(seconds: float) -> float:
    """Returns a wait for callers; several refused ones return spread out."""
    return max(LEAST_WAIT_SECONDS, seconds)


# Times for which entries avoid a target after a refusal: long requests end by
# themselves, gray spells last some seconds.
DOUBTED_SECONDS = 0.25
SUSPENDED_SECONDS = 1.0
# A client that returns sooner finds the same queue.
LEAST_WAIT_SECONDS = 0.1
# Some retries come back to a budget within this time.
CALLS_USED_SECONDS = 1.0


def _busy(entry: queue.Entry, wait: float) -> errors.RequestError:
    return errors.TargetBusyError(
        f"All slots of target {entry.target} are taken; try again later.",
        retry_after=_least_wait(wait),
    )


def _calls_used(entry: queue.Entry) -> errors.RequestError:
    return errors.CallBudgetUsedError(
        f"The services that target {entry.target} calls have used their "
        "retry budgets; try again later.",
        retry_after=CALLS_USED_SECONDS,
    )


def _doubted(entry: queue.Entry, seconds: float) -> errors.RequestError:
    return errors.TargetDoubtedError(
        f"Target {entry.target} seems to stall; try another one.",
        retry_after=seconds,
    )
