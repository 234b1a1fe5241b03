"""Slots and fair queues of all targets beside an instance.

Implements `agent.queue.Queue`. A crash suspect runs alone: it waits until the
target is idle, and nothing else starts until it has ended.
"""

import collections
from collections.abc import Callable
from typing import Any

import attrs

from cicadafront import errors
from cicadafront.agent import queue
from cicadafront.peer import exchange
from cicadafront.routing import fairqueue

TICK_SECONDS = 0.05
MAX_WAITING_ALONE = 16


@attrs.define(eq=False)
class _Place:
    start: Callable[[], None]
    give_up: queue.GiveUp
    fair: fairqueue.Entry
    alone: bool


@attrs.define(eq=False)
class _Target:
    """Queue of one target, and the suspects that wait to run alone."""

    slots: int
    fair: fairqueue.FairQueue
    waiting: collections.deque[queue.Entry] = attrs.field(
        factory=collections.deque
    )
    running: queue.Entry | None = None


class FairSlots:
    """Grants slots fairly between client accounts.

    Args:
        clock: Source of time in seconds.
        alone: Tells whether a request must run alone.
    """

    def __init__(self, clock: Any, alone: Callable[[queue.Entry], bool]):
        self._clock = clock
        self._alone = alone
        self._targets: dict[str, _Target] = {}
        self._places: dict[queue.Entry, _Place] = {}
        self._by_fair: dict[fairqueue.Entry, queue.Entry] = {}

    def submit(
        self, entry: queue.Entry, start: Callable[[], None], give_up: Any
    ) -> None:
        """Asks for a slot; either callback may run before this returns."""
        now = self._clock.seconds()
        target = self._target(entry, now)
        fair = fairqueue.Entry(entry.account, entry.deadline, entry.weight)
        alone = self._alone(entry)
        self._places[entry] = _Place(start, give_up, fair, alone)
        if not alone:
            self._by_fair[fair] = entry
            target.fair.submit(fair, now)
            return
        if len(target.waiting) >= MAX_WAITING_ALONE:
            self._refuse_alone(entry)
            return
        target.waiting.append(entry)
        self._next_alone(target, now)

    def remove(self, entry: queue.Entry) -> None:
        """Takes back an entry that waits, or frees the slot it holds."""
        place = self._places.pop(entry, None)
        if place is None:
            return
        now = self._clock.seconds()
        target = self._targets[entry.target]
        if place.alone:
            self._remove_alone(target, entry)
        else:
            del self._by_fair[place.fair]
            if place.fair.started is None:
                target.fair.cancel(place.fair, now)
            else:
                target.fair.finished(place.fair, now)
        self._next_alone(target, now)
        idle = not (target.fair.in_use or target.fair.queued)
        if idle and not target.waiting and target.running is None:
            target.fair.tick(now)

    def load(self, target: str) -> exchange.Load:
        """Returns the load of a target."""
        found = self._targets.get(target)
        if found is None:
            return exchange.Load()
        alone = found.running is not None
        return exchange.Load(
            found.slots if alone else found.fair.in_use,
            found.fair.pressing() + len(found.waiting),
        )

    def tick(self) -> None:
        """Gives up late requests; called every `TICK_SECONDS`."""
        now = self._clock.seconds()
        for target in list(self._targets.values()):
            for entry in [e for e in target.waiting if now >= e.deadline]:
                target.waiting.remove(entry)
                self._refuse_alone(entry)
            target.fair.tick(now)
            self._next_alone(target, now)

    def forget(self, kept: frozenset[str]) -> None:
        """Drops idle targets that are gone."""
        for id in self._targets.keys() - kept:
            target = self._targets[id]
            busy = target.fair.in_use or target.fair.queued
            if not (busy or target.waiting or target.running):
                del self._targets[id]

    def _target(self, entry: queue.Entry, now: float) -> _Target:
        found = self._targets.get(entry.target)
        if found is None:
            fair = fairqueue.FairQueue(entry.slots, self._start, self._give_up)
            found = self._targets[entry.target] = _Target(entry.slots, fair)
        elif found.slots != entry.slots:
            found.slots = entry.slots
            if not found.waiting and found.running is None:
                found.fair.resize(entry.slots, now)
        return found

    def _start(self, fair: fairqueue.Entry) -> None:
        self._places[self._by_fair[fair]].start()

    def _give_up(
        self, fair: fairqueue.Entry, error: errors.RequestError
    ) -> None:
        entry = self._by_fair.pop(fair)
        self._places.pop(entry).give_up(error)

    def _refuse_alone(self, entry: queue.Entry) -> None:
        self._places.pop(entry).give_up(
            errors.QueueFullError(
                "This request may have crashed a target and must wait until "
                "one is idle; try again later.",
                retry_after=1.0,
            )
        )

    def _remove_alone(self, target: _Target, entry: queue.Entry) -> None:
        if target.running is entry:
            target.running = None
        elif entry in target.waiting:
            target.waiting.remove(entry)

    def _next_alone(self, target: _Target, now: float) -> None:
        if target.running is not None:
            return
        if not target.waiting:
            if target.fair.slots != target.slots:
                target.fair.resize(target.slots, now)
            return
        if target.fair.slots:
            target.fair.resize(0, now)
        if target.fair.in_use:
            return
        entry = target.running = target.waiting.popleft()
        self._places[entry].start()
