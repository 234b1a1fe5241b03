"""Queue in front of the slots of one target, fair between client accounts.

Implements start-time fair queueing (SFQ). The cost of a request is the time
for which it occupies a slot, so an account with long requests gets fewer of
them. Each request is charged the moving average of its account's costs.
Charging its actual time on completion would make the next request of a lightly
loaded account wait for as long as the previous one happened to run.
"""

import collections
from collections.abc import Callable

import attrs

from cicadafront import errors

MAX_QUEUED = 64
MAX_QUEUED_PER_ACCOUNT = 32
# An account has a standing queue, and is shed from, once its queueing delay has
# stayed above the first value for the duration of the second.
TARGET_DELAY_SECONDS = 0.1
STANDING_QUEUE_SECONDS = 0.5
# Cost that is assumed until the first request has completed.
INITIAL_COST_SECONDS = 0.05
_MIN_COST_SECONDS = 1e-4
_COST_SMOOTHING = 0.1
# Unused slot time that an account may save up. It lets the next burst of a
# lightly loaded account overtake the backlog of others, and bounds how much a
# burst can take from them.
BURST_CREDIT_SECONDS = 0.1


@attrs.define(eq=False)
class Entry:
    """A request that waits for a slot or occupies one.

    Attributes:
        account: Client account; empty on open routes.
        weight: Share of a contended queue relative to other accounts.
        deadline: Time from which the response is useless, in seconds; the
            request does not start from then on.
        queued: Time at which it was submitted, in seconds.
        started: Time at which it got a slot, in seconds; None while it waits.
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
    delay_exceeded_since: float | None = None
    shedding: bool = False


class FairQueue:
    """Slots and queue of one target.

    Args:
        slots: Maximum number of requests that run at the same time.
        start: Called with an entry that gets a slot.
        reject: Called with an entry that is dropped without having run, and
            the error for its caller.
        max_queued: Maximum number of requests that wait.
        max_per_account: Maximum number of requests of one account that wait.
    """

    def __init__(
        self,
        slots: int,
        start: Callable[[Entry], None],
        reject: Callable[[Entry, errors.RequestError], None],
        max_queued: int = MAX_QUEUED,
        max_per_account: int = MAX_QUEUED_PER_ACCOUNT,
    ) -> None:
        self.slots = slots
        self.in_use = 0
        self.queued = 0
        self._start = start
        self._reject = reject
        self._max_queued = max_queued
        self._max_per_account = max_per_account
        self._accounts: dict[str, _Account] = {}
        self._virtual_time = 0.0
        # Mean over all accounts: the initial cost of an account whose state
        # was dropped while it was idle.
        self._mean_cost = INITIAL_COST_SECONDS

    def fair_backlog(self) -> int:
        """Returns the number of waiting requests within their fair share.

        Entries select targets by this count. The full backlog of an account
        that exceeds its share says little about the delay of other accounts
        and would hide the load differences between targets from them.
        """
        return sum(
            min(
                len(account.waiting),
                1
                + int(
                    (self._virtual_time - self._start_tag(account))
                    / account.cost
                ),
            )
            for account in self._accounts.values()
            if account.waiting
            and self._start_tag(account) <= self._virtual_time
        )

    def submit(self, entry: Entry, now: float) -> None:
        """Starts, queues or rejects a request."""
        entry.queued = now
        if now >= entry.deadline:
            self._reject_late(entry)
            return
        account = self._accounts.setdefault(
            entry.account,
            _Account(
                self._mean_cost, self._virtual_time - BURST_CREDIT_SECONDS
            ),
        )
        if len(account.waiting) >= self._max_per_account:
            self._reject_full(entry)
            return
        if self.queued >= self._max_queued and not self._displace(account):
            self._reject_full(entry)
            return
        account.waiting.append(entry)
        self.queued += 1
        self._fill_slots(now)

    def finished(self, entry: Entry, now: float) -> None:
        """Frees the slot of a request."""
        account = self._accounts[entry.account]
        account.running -= 1
        self.in_use -= 1
        run_seconds = now - (now if entry.started is None else entry.started)
        run_seconds = max(_MIN_COST_SECONDS, run_seconds)
        account.cost += _COST_SMOOTHING * (run_seconds - account.cost)
        self._mean_cost += _COST_SMOOTHING * (run_seconds - self._mean_cost)
        self._fill_slots(now)
        self._drop_idle_accounts()

    def cancel(self, entry: Entry, now: float) -> None:
        """Removes a waiting request whose caller has disconnected."""
        account = self._accounts.get(entry.account)
        if account is not None and entry in account.waiting:
            account.waiting.remove(entry)
            self.queued -= 1
            self._drop_idle_accounts()

    def tick(self, now: float) -> None:
        """Rejects expired entries; to be called at least every 50 ms."""
        for account in list(self._accounts.values()):
            for entry in [e for e in account.waiting if now >= e.deadline]:
                self._remove(account, entry)
                self._reject_late(entry)
            self._shed(account, now)
        self._drop_idle_accounts()

    def resize(self, slots: int, now: float) -> None:
        """Changes the number of slots without stopping running requests."""
        self.slots = slots
        self._fill_slots(now)

    def _fill_slots(self, now: float) -> None:
        while self.in_use < self.slots and self.queued:
            account = min(
                (a for a in self._accounts.values() if a.waiting),
                key=lambda a: (self._start_tag(a), a.waiting[0].queued),
            )
            self._shed(account, now)
            if not account.waiting:
                continue
            entry = account.waiting[-1 if account.shedding else 0]
            self._remove(account, entry)
            if now >= entry.deadline:
                self._reject_late(entry)
                continue
            self._run(account, entry, now)

    def _run(self, account: _Account, entry: Entry, now: float) -> None:
        tag = self._start_tag(account)
        self._virtual_time = max(self._virtual_time, tag)
        account.finish_tag = tag + account.cost / entry.weight
        account.running += 1
        self.in_use += 1
        entry.started = now
        self._start(entry)

    def _start_tag(self, account: _Account) -> float:
        """Returns the SFQ start tag of the account's next request."""
        return max(
            self._virtual_time - BURST_CREDIT_SECONDS, account.finish_tag
        )

    def _update_shedding(self, account: _Account, now: float) -> None:
        """Updates whether an account has a standing queue.

        The delay is tracked per account, so that the backlog of an account
        that exceeds its share does not shed the requests of others.
        """
        if not account.waiting:
            account.delay_exceeded_since = None
            account.shedding = False
            return
        oldest = account.waiting[0].queued
        if now - oldest <= TARGET_DELAY_SECONDS:
            account.delay_exceeded_since = None
            return
        if account.delay_exceeded_since is None:
            account.delay_exceeded_since = oldest + TARGET_DELAY_SECONDS
        if now - account.delay_exceeded_since >= STANDING_QUEUE_SECONDS:
            account.shedding = True

    def _shed(self, account: _Account, now: float) -> None:
        self._update_shedding(account, now)
        while (
            account.shedding
            and account.waiting
            and now - account.waiting[0].queued > TARGET_DELAY_SECONDS
        ):
            entry = account.waiting[0]
            self._remove(account, entry)
            self._reject(
                entry,
                errors.QueueDelayError(
                    "The target's queueing delay is too long for this "
                    "account; retry later or lower the request rate.",
                    retry_after=1.0,
                ),
            )

    def _displace(self, account: _Account) -> bool:
        """Rejects the newest entry of the account with the longest backlog.

        Returns:
            Whether the given account may queue one more entry. It may not if
            no other account has a clearly longer backlog.
        """
        longest = max(self._accounts.values(), key=lambda a: len(a.waiting))
        if len(longest.waiting) <= len(account.waiting) + 1:
            return False
        entry = longest.waiting[-1]
        self._remove(longest, entry)
        self._reject_full(entry)
        return True

    def _remove(self, account: _Account, entry: Entry) -> None:
        account.waiting.remove(entry)
        self.queued -= 1

    def _reject_full(self, entry: Entry) -> None:
        self._reject(
            entry,
            errors.QueueFullError(
                "The target's queue is full for this account; retry later "
                "or lower the request rate.",
                retry_after=1.0,
            ),
        )

    def _reject_late(self, entry: Entry) -> None:
        self._reject(
            entry,
            errors.DeadlineExceededError(
                "The deadline passed before a slot was free; retry later."
            ),
        )

    def _drop_idle_accounts(self) -> None:
        # An idle account whose finish tag has passed has neither credit nor
        # debt, so its state can be dropped.
        idle = [
            name
            for name, account in self._accounts.items()
            if not account.waiting
            and not account.running
            and account.finish_tag <= self._virtual_time - BURST_CREDIT_SECONDS
        ]
        for name in idle:
            del self._accounts[name]
