"""Slots and fair queues of all targets that are local to an instance.

Implements `agent.queue.Queue`. A request that is suspected of crashing targets
runs alone: it waits until its target is idle, and no other request starts
there until it has ended.
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
MAX_WAITING_SUSPECTS = 16


@attrs.define(eq=False)
class _Submission:
    start: Callable[[], None]
    reject: queue.RejectCallback
    fair: fairqueue.Entry
    alone: bool


@attrs.define(eq=False)
class _Target:
    """Queue of one target, and suspect requests that must run alone."""

    slots: int
    fair: fairqueue.FairQueue
    waiting_suspects: collections.deque[queue.Entry] = attrs.field(
        factory=collections.deque
    )
    running_suspect: queue.Entry | None = None


class FairSlots:
    """Shares slots fairly between client accounts.

    Args:
        clock: Source of time in seconds.
        alone: Returns whether a request must run alone on its target.
        refusal: Returns why a request must not run at all, or None.
    """

    def __init__(
        self,
        clock: Any,
        alone: Callable[[queue.Entry], bool],
        refusal: Callable[
            [queue.Entry], errors.RequestError | None
        ] = lambda entry: None,
    ):
        self._clock = clock
        self._alone = alone
        self._refusal = refusal
        self._targets: dict[str, _Target] = {}
        self._submissions: dict[queue.Entry, _Submission] = {}
        self._by_fair: dict[fairqueue.Entry, queue.Entry] = {}

    def submit(
        self, entry: queue.Entry, start: Callable[[], None], reject: Any
    ) -> None:
        """Requests a slot; either callback may run before this returns."""
        refusal = self._refusal(entry)
        if refusal is not None:
            reject(refusal)
            return
        now = self._clock.seconds()
        target = self._target(entry, now)
        fair = fairqueue.Entry(entry.account, entry.deadline, entry.weight)
        alone = self._alone(entry)
        self._submissions[entry] = _Submission(start, reject, fair, alone)
        if not alone:
            self._by_fair[fair] = entry
            target.fair.submit(fair, now)
            return
        if len(target.waiting_suspects) >= MAX_WAITING_SUSPECTS:
            self._reject_suspect(entry)
            return
        target.waiting_suspects.append(entry)
        self._start_next_suspect(target, now)

    def remove(self, entry: queue.Entry) -> None:
        """Removes a waiting entry, or frees the slot that it occupies."""
        submission = self._submissions.pop(entry, None)
        if submission is None:
            return
        now = self._clock.seconds()
        target = self._targets[entry.target]
        if submission.alone:
            self._remove_suspect(target, entry)
        else:
            del self._by_fair[submission.fair]
            if submission.fair.started is None:
                target.fair.cancel(submission.fair, now)
            else:
                target.fair.finished(submission.fair, now)
        self._start_next_suspect(target, now)
        idle = not (target.fair.in_use or target.fair.queued)
        if (
            idle
            and not target.waiting_suspects
            and target.running_suspect is None
        ):
            target.fair.tick(now)

    def load(self, target: str) -> exchange.Load:
        """Returns the load of a target."""
        found = self._targets.get(target)
        if found is None:
            return exchange.Load()
        alone = found.running_suspect is not None
        return exchange.Load(
            found.slots if alone else found.fair.in_use,
            found.fair.fair_backlog() + len(found.waiting_suspects),
        )

    def tick(self) -> None:
        """Rejects expired requests; to be called every `TICK_SECONDS`."""
        now = self._clock.seconds()
        for target in list(self._targets.values()):
            for entry in [
                e for e in target.waiting_suspects if now >= e.deadline
            ]:
                target.waiting_suspects.remove(entry)
                self._reject_suspect(entry)
            target.fair.tick(now)
            self._start_next_suspect(target, now)

    def forget(self, kept: frozenset[str]) -> None:
        """Drops idle targets whose ids are not in `kept`."""
        for id in self._targets.keys() - kept:
            target = self._targets[id]
            busy = target.fair.in_use or target.fair.queued
            if not (busy or target.waiting_suspects or target.running_suspect):
                del self._targets[id]

    def _target(self, entry: queue.Entry, now: float) -> _Target:
        found = self._targets.get(entry.target)
        if found is None:
            fair = fairqueue.FairQueue(entry.slots, self._start, self._reject)
            found = self._targets[entry.target] = _Target(entry.slots, fair)
        elif found.slots != entry.slots:
            found.slots = entry.slots
            if not found.waiting_suspects and found.running_suspect is None:
                found.fair.resize(entry.slots, now)
        return found

    def _start(self, fair: fairqueue.Entry) -> None:
        self._submissions[self._by_fair[fair]].start()

    def _reject(
        self, fair: fairqueue.Entry, error: errors.RequestError
    ) -> None:
        entry = self._by_fair.pop(fair)
        self._submissions.pop(entry).reject(error)

    def _reject_suspect(self, entry: queue.Entry) -> None:
        self._submissions.pop(entry).reject(
            errors.QueueFullError(
                "This request may have crashed a target and must wait for an "
                "idle target; retry later.",
                retry_after=1.0,
            )
        )

    def _remove_suspect(self, target: _Target, entry: queue.Entry) -> None:
        if target.running_suspect is entry:
            target.running_suspect = None
        elif entry in target.waiting_suspects:
            target.waiting_suspects.remove(entry)

    def _start_next_suspect(self, target: _Target, now: float) -> None:
        if target.running_suspect is not None:
            return
        if not target.waiting_suspects:
            if target.fair.slots != target.slots:
                target.fair.resize(target.slots, now)
            return
        if target.fair.slots:
            target.fair.resize(0, now)
        if target.fair.in_use:
            return
        entry = target.running_suspect = target.waiting_suspects.popleft()
        self._submissions[entry].start()
