"""Slots of targets and the queue in front of them."""

import collections
from collections.abc import Callable
from typing import Protocol

import attrs

from cicadafront import errors
from cicadafront.peer import exchange

GiveUp = Callable[[errors.RequestError], None]


@attrs.frozen(eq=False)
class Entry:
    """A request that wants a slot.

    Attributes:
        target: Id of the target.
        slots: Number of slots of the target.
        account: Client account; empty on open routes.
        weight: Share of the account.
        deadline: Time until which it may wait, in seconds of the clock.
        fingerprint: Digest that recognises the request when sent again.
        insist: How firmly the entry asks; see `exchange.OpenRequest`.
        priority: Rank, 0 highest.
        repeatable: Whether the request may run more than once.
        objective: Seconds within which the caller wants the answer; 0 if
            unknown.
        repeated: Whether another target has had the request.
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
    """Grants slots; calls exactly one of `start` and `give_up` per entry."""

    def submit(
        self, entry: Entry, start: Callable[[], None], give_up: GiveUp
    ) -> None:
        """Asks for a slot; either callback may run before this returns."""

    def remove(self, entry: Entry) -> None:
        """Takes back an entry that waits, or frees the slot it holds."""

    def load(self, target: str) -> exchange.Load:
        """Returns the load of a target."""


@attrs.define
class _Line:
    running: set[Entry] = attrs.field(factory=set)
    waiting: "collections.OrderedDict[Entry, Callable[[], None]]" = attrs.field(
        factory=collections.OrderedDict
    )


class FifoQueue:
    """First in, first out, bounded per target."""

    def __init__(self, limit: int = 1000):
        self._limit = limit
        self._lines: dict[str, _Line] = {}

    def submit(
        self, entry: Entry, start: Callable[[], None], give_up: GiveUp
    ) -> None:
        """Asks for a slot."""
        line = self._lines.setdefault(entry.target, _Line())
        if len(line.running) < entry.slots and not line.waiting:
            line.running.add(entry)
            start()
        elif len(line.waiting) >= self._limit:
            give_up(
                errors.QueueFullError(
                    "The target's queue is full; try again later.",
                    retry_after=1.0,
                )
            )
        else:
            line.waiting[entry] = start

    def remove(self, entry: Entry) -> None:
        """Takes back an entry that waits, or frees the slot it holds."""
        line = self._lines.get(entry.target)
        if line is None:
            return
        line.waiting.pop(entry, None)
        line.running.discard(entry)
        while line.waiting:
            following = next(iter(line.waiting))
            if len(line.running) >= following.slots:
                return
            start = line.waiting.pop(following)
            line.running.add(following)
            start()
        if not line.running:
            self._lines.pop(entry.target, None)

    def load(self, target: str) -> exchange.Load:
        """Returns the load of a target."""
        line = self._lines.get(target)
        if line is None:
            return exchange.Load()
        return exchange.Load(len(line.running), len(line.waiting))
