"""Slots of targets and the queue in front of them."""

import collections
from collections.abc import Callable
from typing import Protocol

import attrs

from cicadafront import errors
from cicadafront.peer import exchange

RejectCallback = Callable[[errors.RequestError], None]


@attrs.frozen(eq=False)
class Entry:
    """A request for a slot of a target.

    Attributes:
        target: Id of the target.
        slots: Number of slots of the target.
        account: Client account; empty on open routes.
        weight: Share of the account relative to other accounts.
        deadline: Time until which it may wait, in seconds of the clock.
        fingerprint: Digest that identifies the request if it is sent again.
        insist: Under which conditions the entry requests a slot; see
            `exchange.OpenRequest`.
        priority: Rank, 0 highest.
        repeatable: Whether the request may run more than once.
        objective: Seconds within which the caller wants the response; 0 if
            unknown.
        repeated: Whether another target has already received the request.
    """

    target: str
    slots: int
    account: str = ""
    weight: float = 1.0
    deadline: float = 0.0
    fingerprint: bytes = b""
    insist: int = exchange.ALLOW_QUEUEING
    priority: int = 0
    repeatable: bool = False
    objective: float = 0.0
    repeated: bool = False


class Queue(Protocol):
    """Grants slots; calls exactly one of `start` and `reject` per entry."""

    def submit(
        self, entry: Entry, start: Callable[[], None], reject: RejectCallback
    ) -> None:
        """Requests a slot; either callback may run before this returns."""

    def remove(self, entry: Entry) -> None:
        """Removes a waiting entry, or frees the slot that it occupies."""

    def load(self, target: str) -> exchange.Load:
        """Returns the load of a target."""


@attrs.define
class _TargetQueue:
    running: set[Entry] = attrs.field(factory=set)
    waiting: "collections.OrderedDict[Entry, Callable[[], None]]" = attrs.field(
        factory=collections.OrderedDict
    )


class FifoQueue:
    """A first-in, first-out queue per target, bounded by `limit`."""

    def __init__(self, limit: int = 1000):
        self._limit = limit
        self._queues: dict[str, _TargetQueue] = {}

    def submit(
        self, entry: Entry, start: Callable[[], None], reject: RejectCallback
    ) -> None:
        """Requests a slot."""
        queue = self._queues.setdefault(entry.target, _TargetQueue())
        if len(queue.running) < entry.slots and not queue.waiting:
            queue.running.add(entry)
            start()
        elif len(queue.waiting) >= self._limit:
            reject(
                errors.QueueFullError(
                    "The target's queue is full; retry later.",
                    retry_after=1.0,
                )
            )
        else:
            queue.waiting[entry] = start

    def remove(self, entry: Entry) -> None:
        """Removes a waiting entry, or frees the slot that it occupies."""
        queue = self._queues.get(entry.target)
        if queue is None:
            return
        queue.waiting.pop(entry, None)
        queue.running.discard(entry)
        while queue.waiting:
            following = next(iter(queue.waiting))
            if len(queue.running) >= following.slots:
                return
            start = queue.waiting.pop(following)
            queue.running.add(following)
            start()
        if not queue.running:
            self._queues.pop(entry.target, None)

    def load(self, target: str) -> exchange.Load:
        """Returns the load of a target."""
        queue = self._queues.get(target)
        if queue is None:
            return exchange.Load()
        return exchange.Load(len(queue.running), len(queue.waiting))
