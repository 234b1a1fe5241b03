"""Rates over the whole fleet, without leases or stored state.

Answers two loads: a client account that sends many times its rate through
all instances, and accounts within their rate whose callers are spread
unevenly. Instances ask the keeper of an account (`keeping.py`) and hold what
it grants for at most `CREDIT_SECONDS`. They ask the second keeper while the
first one does not answer; it passes their calls on as long as it reaches the
first one itself.

While two instances disagree about the keeper, two buckets exist; a new keeper
starts with a small part of the burst, which keeps the excess within what
operators tolerate. An instance that reaches neither spends a part of an equal
share of the rate, and no burst.
"""

import collections
import struct
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, ports
from cicadafront.config import model as config_model
from cicadafront.limits import keeping, tokens
from cicadafront.telemetry import logs

METHOD = "tokens/2"
# Longest time for which granted tokens may be used; bounds what an account
# can collect in many instances.
CREDIT_SECONDS = 1.0
# A keeper answers within a few milliseconds; a silent one must not delay a
# request by more than a small part of its objective.
CALL_SECONDS = 0.15
# Time limit of a call that a second keeper passes on to the first one; its
# own caller waits for `CALL_SECONDS`.
PASS_ON_SECONDS = 0.1
# Time for which a keeper that did not answer is not asked again.
SILENT_SECONDS = 1.0
# Part of an equal share that an instance spends when no keeper answers: the
# others may get the whole rate from theirs meanwhile.
CUT_OFF_SHARE = 0.6
# Shortest advice to an account beyond its rate.
LEAST_WAIT_SECONDS = 0.1

# Wanted tokens, length of the asking instance's id, and its report: requests
# that it has seen, and tokens that it owes. Both ids follow.
_REQUEST = struct.Struct("!HHff")
_ANSWER = struct.Struct("!Hf")

_log = logs.Log("limits")
_CUT_OFF = " as far as this instance knows, which reaches no keeper of it"

Accounts = Callable[[str], "config_model.ClientAccount | None"]


@attrs.frozen
class _Ask:
    """A call to a keeper."""

    wanted: int
    asking: str
    account: str
    report: keeping.Report

    def encode(self) -> bytes:
        asking = self.asking.encode()
        seen, owed = self.report.seen, self.report.owed
        packed = _REQUEST.pack(self.wanted, len(asking), seen, owed)
        return packed + asking + self.account.encode()

    @classmethod
    def decode(cls, body: bytes) -> "_Ask":
        wanted, length, seen, owed = _REQUEST.unpack_from(body)
        ids = body[_REQUEST.size :]
        return cls(
            wanted,
            ids[:length].decode(),
            ids[length:].decode(),
            keeping.Report(seen, owed),
        )


@attrs.define
class _Credit:
    left: int = 0
    until: float = 0.0

    def take(self, now: float) -> bool:
        if now >= self.until or self.left < 1:
            return False
        self.left -= 1
        return True


@attrs.define
class _Demand:
    """Requests of one account that wait for the keeper's answer."""

    waiting: "collections.deque[defer.Deferred[None]]" = attrs.field(
        factory=collections.deque
    )
    asking: bool = False
    # What the next call tells the keeper.
    seen: float = 0.0
    owed: float = 0.0

    def report(self) -> keeping.Report:
        """Returns the report of the next call; what is owed is told once."""
        owed, self.owed = self.owed, 0.0
        return keeping.Report(self.seen, owed)


class SharedAdmission:
    """Implements `ports.Admission` with keepers.

    Attributes:
        counts: Decisions by kind.

    Args:
        here: Id of this instance.
        clock: Source of time and timers.
        calls: Calls to other instances.
        directory: Known instances.
        accounts: Finds an account in the configuration in force.
        isolated: Whether this instance seems to be cut off, or does not
            know the fleet yet.
        size: Returns how many instances there are, at least.
        limit_of: Returns the limit of an account.
        settling: Whether this instance has started so lately that it may
            know a part of the fleet only.
    """

    def __init__(
        self,
        here: str,
        clock: Any,
        calls: ports.PeerCalls,
        directory: ports.Directory,
        accounts: Accounts,
        isolated: Callable[[], bool] = lambda: False,
        limit_of: keeping.LimitOf = keeping.stated_limit,
        size: Callable[[], int] = lambda: 1,
        settling: Callable[[], bool] = lambda: False,
    ):
        self.counts: collections.Counter[str] = collections.Counter()
        self._here = here
        self._clock = clock
        self._calls = calls
        self._directory = directory
        self._accounts = accounts
        self._isolated = isolated
        self._size = size
        self._settling = settling
        self._limit_of = limit_of
        self._ledger = keeping.Ledger(limit_of)
        self._credits: dict[str, _Credit] = {}
        self._demands: dict[str, _Demand] = {}
        self._shares: dict[str, tokens.Bucket] = {}
        self._silent: dict[str, float] = {}
        # When keepers will have tokens again, as they said last.
        self._empty_until: dict[str, float] = {}
        self._ranked: dict[str, list[str]] = {}
        directory.on_change(self._ranked.clear)
        calls.register(METHOD, self._serve)

    def admit(
        self, account: config_model.ClientAccount
    ) -> "defer.Deferred[None]":
        """Admits one request, or fails with `RateExceededError`."""
        return self.spend(account)

    def spend(
        self, account: config_model.ClientAccount, seen: float = 0.0
    ) -> "defer.Deferred[None]":
        """Spends one token, or fails with `RateExceededError`.

        Args:
            account: Account with its limits.
            seen: Requests of the account here in its window, for limits that
                follow them.
        """
        if account.rate <= 0:
            return defer.succeed(None)
        now = self._clock.seconds()
        credit = self._credits.get(account.id)
        if credit is not None and credit.take(now):
            self.counts["credit"] += 1
            return defer.succeed(None)
        demand = self._demands.setdefault(account.id, _Demand())
        demand.seen = seen
        asked = self._keeper(now, account.id)
        if asked is None or asked == self._here:
            return self._here_or_share(now, account, demand)
        result: defer.Deferred[None] = defer.Deferred()
        demand.waiting.append(result)
        if not demand.asking:
            self._ask(asked, account, demand)
        return result

    def charge(
        self,
        account: config_model.ClientAccount,
        amount: float,
        seen: float = 0.0,
    ) -> None:
        """Charges tokens that are used whatever the keeper would say.

        Args:
            account: Account with its limits.
            amount: Number of tokens; parts add up until they make a whole.
            seen: As for `spend`.
        """
        demand = self._demands.setdefault(account.id, _Demand())
        demand.seen = seen
        demand.owed += amount
        if demand.owed < 1 or demand.asking:
            return
        self.counts["charged"] += 1
        now = self._clock.seconds()
        asked = self._keeper(now, account.id)
        if asked is None or asked == self._here:
            self._settle_here(now, account, demand)
        else:
            self._ask(asked, account, demand)

    def empty_seconds(self, account: str) -> float:
        """Returns how long an account has no tokens, as far as is known."""
        until = self._empty_until.get(account, 0.0)
        return max(0.0, until - self._clock.seconds())

    def _keeper(self, now: float, account: str) -> str | None:
        """Returns the instance to ask, or None if it does not answer."""
        if account not in self._ranked:
            self._ranked[account] = keeping.keepers(account, self._live())
        for found in self._ranked[account]:
            if now >= self._silent.get(found, 0.0):
                return found
        return None

    def _ask(
        self,
        asked: str,
        account: config_model.ClientAccount,
        demand: _Demand,
    ) -> None:
        demand.asking = True
        wanted = 0
        if demand.waiting:
            # One more than is waiting saves the next request the round trip.
            wanted = min(keeping.MOST_GRANTED, len(demand.waiting) + 1)
        ask = _Ask(wanted, self._here, account.id, demand.report())
        answered = self._calls.call(asked, METHOD, ask.encode(), CALL_SECONDS)
        answered.addCallback(self._answered, account, demand, wanted)
        answered.addErrback(
            self._unanswered, asked, account, demand, ask.report.owed
        )

    def _answered(
        self,
        answer: bytes,
        account: config_model.ClientAccount,
        demand: _Demand,
        wanted: int,
    ) -> None:
        demand.asking = False
        granted, wait = _ANSWER.unpack(answer)
        now = self._clock.seconds()
        self._empty_until[account.id] = now + wait
        if not wanted:
            # Only a charge: the keeper knows nothing of those that wait.
            self._go_on(account, demand)
            return
        if not granted:
            waiting = list(demand.waiting)
            demand.waiting.clear()
            self.counts["refused"] += len(waiting)
            for result in waiting:
                result.errback(_exceeded(account, wait))
            return
        credit = _Credit(granted, now + CREDIT_SECONDS)
        self._credits[account.id] = credit
        while demand.waiting and credit.take(now):
            self.counts["granted"] += 1
            demand.waiting.popleft().callback(None)
        self._go_on(account, demand)

    def _unanswered(
        self,
        reason: failure.Failure,
        asked: str,
        account: config_model.ClientAccount,
        demand: _Demand,
        owed: float,
    ) -> None:
        demand.asking = False
        demand.owed += owed
        self._note_silent(asked, account.id, reason)
        self._go_on(account, demand)

    def _note_silent(
        self, keeper: str, account: str, reason: failure.Failure
    ) -> None:
        self._silent[keeper] = self._clock.seconds() + SILENT_SECONDS
        _log.info(
            "the keeper of a rate does not answer; the next one is asked.",
            keeper=keeper,
            account=account,
            reason=reason.getErrorMessage(),
        )

    def _go_on(
        self, account: config_model.ClientAccount, demand: _Demand
    ) -> None:
        """Asks for those that still wait, or decides here."""
        if not demand.waiting:
            return
        asked = self._keeper(self._clock.seconds(), account.id)
        if asked is None or asked == self._here:
            self._decide_here(account, demand)
        else:
            self._ask(asked, account, demand)

    def _decide_here(
        self, account: config_model.ClientAccount, demand: _Demand
    ) -> None:
        now = self._clock.seconds()
        waiting = list(demand.waiting)
        demand.waiting.clear()
        for result in waiting:
            self._here_or_share(now, account, demand).chainDeferred(result)

    def _here_or_share(
        self,
        now: float,
        account: config_model.ClientAccount,
        demand: _Demand,
    ) -> "defer.Deferred[None]":
        if self._keeper(now, account.id) != self._here or self._isolated():
            return self._share(now, account, demand)
        granted, wait = self._grant_here(now, account, 1, demand)
        self.counts["kept" if granted else "refused"] += 1
        return self._decided(account, granted, wait)

    def _settle_here(
        self, now: float, account: config_model.ClientAccount, demand: _Demand
    ) -> None:
        """Takes what is owed out of the bucket that decides here."""
        if self._keeper(now, account.id) != self._here or self._isolated():
            self._share_bucket(now, account, demand)
        else:
            self._grant_here(now, account, 0, demand)

    def _grant_here(
        self,
        now: float,
        account: config_model.ClientAccount,
        wanted: int,
        demand: _Demand,
    ) -> tuple[int, float]:
        granted, wait = self._ledger.grant(
            now,
            account,
            wanted,
            demand.report(),
            self._here,
            self._is_second(account.id),
            self._part(),
        )
        self._empty_until[account.id] = now + wait
        return granted, wait

    def _share(
        self, now: float, account: config_model.ClientAccount, demand: _Demand
    ) -> "defer.Deferred[None]":
        """Decides by a part of an equal share of the rate."""
        bucket = self._share_bucket(now, account, demand)
        granted = bucket.take(now, 1)
        self.counts["shared" if granted else "share_refused"] += 1
        return self._decided(account, granted, bucket.wait(now), _CUT_OFF)

    def _share_bucket(
        self, now: float, account: config_model.ClientAccount, demand: _Demand
    ) -> tokens.Bucket:
        """Returns the bucket of the share, without what is owed."""
        known = sum(1 for _ in self._directory.instances())
        number = max(1, known, self._size())
        rate = CUT_OFF_SHARE * account.rate / number
        bucket = self._shares.get(account.id)
        if bucket is None:
            alone = self._limit_of(account, 0.0).alone
            bucket = tokens.Bucket(rate, 1.0, alone, now)
            self._shares[account.id] = bucket
        elif bucket.rate != rate:
            bucket.limit(now, rate, 1.0)
        bucket.charge(demand.report().owed, most=1.0)
        return bucket

    def _decided(
        self,
        account: config_model.ClientAccount,
        granted: int,
        wait: float,
        why: str = "",
    ) -> "defer.Deferred[None]":
        if granted:
            return defer.succeed(None)
        return defer.fail(_exceeded(account, wait, why))

    def _serve(
        self, caller: str, body: bytes
    ) -> "bytes | defer.Deferred[bytes]":
        ask = _Ask.decode(body)
        account = self._accounts(ask.account)
        if account is None or account.rate <= 0:
            # The caller knows another revision; its own limit decides.
            return _ANSWER.pack(1, 0.0)
        keeper = self._keeper(self._clock.seconds(), account.id)
        if keeper in (None, self._here, caller):
            return self._granted(account, ask)
        # Only the caller cannot reach the keeper: two that grant would let
        # an account exceed its limit.
        self.counts["passed_on"] += 1
        passed = self._calls.call(keeper, METHOD, body, PASS_ON_SECONDS)
        return passed.addErrback(self._not_passed, keeper, account, ask)

    def _not_passed(
        self,
        reason: failure.Failure,
        keeper: str,
        account: config_model.ClientAccount,
        ask: _Ask,
    ) -> bytes:
        self._note_silent(keeper, account.id, reason)
        return self._granted(account, ask)

    def _granted(self, account: config_model.ClientAccount, ask: _Ask) -> bytes:
        granted, wait = self._ledger.grant(
            self._clock.seconds(),
            account,
            ask.wanted,
            ask.report,
            ask.asking,
            self._is_second(account.id),
            self._part(),
        )
        return _ANSWER.pack(granted, wait)

    def _part(self) -> float:
        """Returns the part of each rate that this instance may grant.

        Parts of a fleet that have not found each other yet have a keeper
        each. Together they grant what one would.
        """
        if not self._settling():
            return 1.0
        return min(1.0, len(self._live()) / max(1, self._size()))

    def _live(self) -> list[str]:
        """Returns the ids of the instances that may keep accounts."""
        return [
            info.id
            for info in self._directory.instances()
            if info.alive and not info.leaving
        ]

    def _is_second(self, account: str) -> bool:
        return self._ranked.get(account, [self._here])[0] != self._here


def _exceeded(
    account: config_model.ClientAccount, wait: float, why: str = ""
) -> errors.RateExceededError:
    return errors.RateExceededError(
        f"Account {account.id} is beyond its rate of {account.rate:g} "
        f"requests/s{why}; send less.",
        retry_after=max(LEAST_WAIT_SECONDS, wait),
    )
