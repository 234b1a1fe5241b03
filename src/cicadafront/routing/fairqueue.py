"""Queue in front of the slots of one target, fair between client accounts.

Start-time fair queueing by the slot time that requests take: an account whose
requests run long gets fewer of them. A request is charged the account's moving
mean. Charging its own time once it has ended made the next request of a light
account wait for as long as the previous one happened to run.
"""

import collections
from collections.abc import Callable

import attrs

from cicadafront import errors

MAX_QUEUED = 64
MAX_QUEUED_PER_ACCOUNT = 32
# A standing queue: the delay stays above the first time for the second.
TARGET_DELAY_SECONDS = 0.1
STANDING_SECONDS = 0.5
# Charged until the first request has ended.
FIRST_COST_SECONDS = 0.05
_MIN_COST_SECONDS = 1e-4
_COST_SHARE = 0.1
# Slot time that an account may use late: what it left unused lets its next
# burst pass the backlog of others. It bounds what a burst can take from them.
CREDIT_SECONDS = 0.1


@attrs.define(eq=False)
class Entry:
    """A request that waits for a slot or has one.

    Attributes:
        account: Client account; empty on open routes.
        weight: Share of a contended queue relative to other accounts.
        deadline: Time at which the request is worthless, in seconds.
        queued: Time at which it was submitted.
        started: Time at which it got a slot, or None.
    """

    account: str
    deadline: float
    weight: float = 1.0
    queued: float = 0.0
    started: float | None = None


@attrs.define
class _Account:
    cost: float
    finish_tag: float
    waiting: collections.deque[Entry] = attrs.field(factory=collections.deque)
    running: int = 0
    above_since: float | None = None
    shedding: bool = False


class FairQueue:
    """Slots and queue of one target.

    Args:
        slots: Requests that run at the same time, at most.
        start: Called with an entry that gets a slot.
        give_up: Called with an entry that leaves without having run, and the
            error for its caller.
    """

    def __init__(
        self,
        slots: int,
        start: Callable[[Entry], None],
        give_up: Callable[[Entry, errors.RequestError], None],
        max_queued: int = MAX_QUEUED,
        max_per_account: int = MAX_QUEUED_PER_ACCOUNT,
    ) -> None:
        self.slots = slots
        self.in_use = 0
        self.queued = 0
        self._start = start
        self._give_up = give_up
        self._max_queued = max_queued
        self._max_per_account = max_per_account
        self._accounts: dict[str, _Account] = {}
        self._virtual = 0.0
        # Mean over all accounts, for one that was idle and is forgotten.
        self._cost = FIRST_COST_SECONDS

    def pressing(self) -> int:
        """Returns how many waiting requests are within their fair share.

        Entries choose targets by this count. The whole backlog of an account
        that exceeds its share says little about the delay of others, and hides
        the differences between targets from them.
        """
        return sum(
            min(
                len(account.waiting),
                1 + int((self._virtual - self._tag(account)) / account.cost),
            )
            for account in self._accounts.values()
            if account.waiting and self._tag(account) <= self._virtual
        )

    def submit(self, entry: Entry, now: float) -> None:
        """Starts or queues a request, or gives it up at once."""
        entry.queued = now
        if now >= entry.deadline:
            self._late(entry)
            return
        account = self._accounts.setdefault(
            entry.account, _Account(self._cost, self._virtual - CREDIT_SECONDS)
        )
        if len(account.waiting) >= self._max_per_account:
            self._full(entry)
            return
        if self.queued >= self._max_queued and not self._displace(account):
            self._full(entry)
            return
        account.waiting.append(entry)
        self.queued += 1
        self._fill(now)

    def finished(self, entry: Entry, now: float) -> None:
        """Frees the slot of a request."""
        account = self._accounts[entry.account]
        account.running -= 1
        self.in_use -= 1
        spent = now - (now if entry.started is None else entry.started)
        spent = max(_MIN_COST_SECONDS, spent)
        account.cost += _COST_SHARE * (spent - account.cost)
        self._cost += _COST_SHARE * (spent - self._cost)
        self._fill(now)
        self._tidy()

    def cancel(self, entry: Entry, now: float) -> None:
        """Removes a request that waits; its caller has gone."""
        account = self._accounts.get(entry.account)
        if account is not None and entry in account.waiting:
            account.waiting.remove(entry)
            self.queued -= 1
            self._tidy()

    def tick(self, now: float) -> None:
        """Gives up late entries; called at least every 50 ms."""
        for account in list(self._accounts.values()):
            for entry in [e for e in account.waiting if now >= e.deadline]:
                self._remove(account, entry)
                self._late(entry)
            self._shed(account, now)
        self._tidy()

    def resize(self, slots: int, now: float) -> None:
        """Changes the number of slots; running requests go on."""
        self.slots = slots
        self._fill(now)

    def _fill(self, now: float) -> None:
        while self.in_use < self.slots and self.queued:
            account = min(
                (a for a in self._accounts.values() if a.waiting),
                key=lambda a: (self._tag(a), a.waiting[0].queued),
            )
            self._shed(account, now)
            if not account.waiting:
                continue
            entry = account.waiting[-1 if account.shedding else 0]
            self._remove(account, entry)
            if now >= entry.deadline:
                self._late(entry)
                continue
            self._run(account, entry, now)

    def _run(self, account: _Account, entry: Entry, now: float) -> None:
        tag = self._tag(account)
        self._virtual = max(self._virtual, tag)
        account.finish_tag = tag + account.cost / entry.weight
        account.running += 1
        self.in_use += 1
        entry.started = now
        self._start(entry)

    def _tag(self, account: _Account) -> float:
        """Start tag of the account's next request."""
        return max(self._virtual - CREDIT_SECONDS, account.finish_tag)

    def _judge_delay(self, account: _Account, now: float) -> None:
        """Notes whether the delay of an account stays above its target.

        It is judged per account: the backlog of one that exceeds its share
        must not shed the requests of others.
        """
        if not account.waiting:
            account.above_since = None
            account.shedding = False
            return
        oldest = account.waiting[0].queued
        if now - oldest <= TARGET_DELAY_SECONDS:
            account.above_since = None
            return
        if account.above_since is None:
            account.above_since = oldest + TARGET_DELAY_SECONDS
        if now - account.above_since >= STANDING_SECONDS:
            account.shedding = True

    def _shed(self, account: _Account, now: float) -> None:
        self._judge_delay(account, now)
        while (
            account.shedding
            and account.waiting
            and now - account.waiting[0].queued > TARGET_DELAY_SECONDS
        ):
            entry = account.waiting[0]
            self._remove(account, entry)
            self._give_up(
                entry,
                errors.QueueDelayError(
                    "the target's queue is too slow for this account; retry "
                    "later or lower the request rate",
                    retry_after=1.0,
                ),
            )

    def _displace(self, account: _Account) -> bool:
        """Gives up the newest entry of the account with the most of them."""
        longest = max(self._accounts.values(), key=lambda a: len(a.waiting))
        if len(longest.waiting) <= len(account.waiting) + 1:
            return False
        entry = longest.waiting[-1]
        self._remove(longest, entry)
        self._full(entry)
        return True

    def _remove(self, account: _Account, entry: Entry) -> None:
        account.waiting.remove(entry)
        self.queued -= 1

    def _full(self, entry: Entry) -> None:
        self._give_up(
            entry,
            errors.QueueFullError(
                "the queue of the target is full for this account; retry "
                "later or lower the request rate",
                retry_after=1.0,
            ),
        )

    def _late(self, entry: Entry) -> None:
        self._give_up(
            entry,
            errors.DeadlineExceededError(
                "the time limit passed before a slot was free; retry later"
            ),
        )

    def _tidy(self) -> None:
        # An idle account whose tag is past keeps no claim and no debt.
        gone = [
            name
            for name, account in self._accounts.items()
            if not account.waiting
            and not account.running
            and account.finish_tag <= self._virtual - CREDIT_SECONDS
        ]
        for name in gone:
            del self._accounts[name]
