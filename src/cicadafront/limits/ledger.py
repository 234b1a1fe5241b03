"""Owner side of rate limiting: the token buckets of a shard's accounts.

Invariant of each bucket at all times: the tokens in the bucket plus the credit
that is granted and not yet reported as used, returned or expired do not exceed
the burst.
"""

import collections
import itertools
import math

import attrs

from cicadafront.config import model as config_model

GRANT_SECONDS = 2.0
# A grant with a shorter lifetime could expire before it reaches its holder.
MIN_GRANT_SECONDS = 0.05
MIN_PREFETCH_LIFETIME_SECONDS = 1.0
# Fraction of the burst that may be granted as prefetched credit. The rest stays
# with the owner, so that it is available at once to a burst at any instance.
PREFETCH_SHARE = 0.5
# Accounts below either bound get no prefetched credit and report use at once:
# unused credit fills most of a small bucket and so stops its refill.
SMALL_RATE = 5.0
SMALL_BURST = 20.0
RECALL_SECONDS = 0.5
# Rounding tolerance for fractions that add up to a whole token.
EPSILON = 1e-9

GrantId = tuple[int, int]


@attrs.frozen
class Report:
    """A holder's report on a grant.

    Attributes:
        id: Id of the grant.
        used: Total number of tokens used so far.
        closed: Whether the holder returns the remaining tokens.
    """

    id: GrantId
    used: int
    closed: bool = False


@attrs.frozen
class Grant:
    """Credit granted to a holder.

    Attributes:
        id: Epoch of the owner and number of the grant.
        amount: Number of requests that may be admitted; 0 is a refusal.
        lifetime: Lifetime in seconds, from when the holder sent its request.
        report_immediately: Whether the holder reports use at once.
        retry_after: Seconds after which a refused request may be retried.
    """

    id: GrantId
    amount: int
    lifetime: float
    report_immediately: bool = False
    retry_after: float = 1.0


@attrs.define
class OutstandingGrant:
    """Owner's record of a grant that is neither closed nor expired."""

    holder: str
    amount: int
    expires: float
    used: int = 0

    @property
    def left(self) -> int:
        """Tokens that may still be used."""
        return self.amount - self.used


@attrs.define
class PendingRequest:
    """A holder's request for credit that waits for tokens.

    Attributes:
        number: Number of the request.
        holder: Id of the requesting instance.
        need: Number of requests that wait at the holder.
        want: Number of further tokens that the holder expects to use.
        until: Time in seconds at which the request must be answered.
    """

    number: int
    holder: str
    need: int
    want: int
    until: float


@attrs.define
class Bucket:
    """Token bucket of one client account."""

    rate: float
    burst: float
    tokens: float
    updated: float
    grants: dict[GrantId, OutstandingGrant] = attrs.field(factory=dict)
    waiting: collections.deque[PendingRequest] = attrs.field(
        factory=collections.deque
    )
    recalled_at: float = -math.inf

    @property
    def outstanding(self) -> int:
        """Granted tokens that holders may still use."""
        return sum(grant.left for grant in self.grants.values())

    @property
    def small(self) -> bool:
        """Whether the account gets no prefetched credit."""
        return self.rate < SMALL_RATE or self.burst < SMALL_BURST

    def advance(self, now: float) -> None:
        """Removes expired grants and refills the bucket up to `now`."""
        ended = sorted(
            (grant.expires, id)
            for id, grant in self.grants.items()
            if grant.expires <= now
        )
        for expires, id in ended:
            self._refill(expires)
            del self.grants[id]
        self._refill(now)

    def _refill(self, now: float) -> None:
        if now <= self.updated:
            return
        self.tokens += self.rate * (now - self.updated)
        self.updated = now
        self.clip()

    def clip(self) -> None:
        """Restores the invariant after a change of the tokens or the burst."""
        room = max(0.0, self.burst - self.outstanding)
        self.tokens = min(self.tokens, room)

    def report(self, report: Report) -> None:
        """Applies a holder's report; idempotent."""
        grant = self.grants.get(report.id)
        if grant is None:
            return
        grant.used = min(max(grant.used, report.used), grant.amount)
        if report.closed:
            del self.grants[report.id]
            self.tokens += grant.left
            self.clip()


class Ledger:
    """Token buckets of the client accounts of one shard.

    Attributes:
        buckets: Buckets of the accounts that have sent requests, by id.
        epoch: Epoch of the owner.

    Args:
        epoch: Epoch of the owner.
        issue_from: Time in seconds by which all credit of a former owner has
            expired; no credit is granted before.
        fresh: Whether the shard had no former owner; buckets then start full.
    """

    def __init__(self, epoch: int, issue_from: float, fresh: bool = False):
        self.buckets: dict[str, Bucket] = {}
        self.epoch = epoch
        self._issue_from = issue_from
        self._fresh = fresh
        self._grant_numbers = itertools.count(1)
        self._request_numbers = itertools.count(1)

    @property
    def last_used(self) -> float:
        """Time of the last request or report of a holder, in seconds."""
        times = (bucket.updated for bucket in self.buckets.values())
        return max(times, default=-math.inf)

    def bucket(self, now: float, account: config_model.ClientAccount) -> Bucket:
        """Returns the bucket of an account, refilled up to `now`."""
        bucket = self.buckets.get(account.id)
        if bucket is None:
            tokens = account.burst if self._fresh else 0.0
            start = now if self._fresh else self._issue_from
            bucket = Bucket(account.rate, account.burst, tokens, start)
            self.buckets[account.id] = bucket
        bucket.advance(now)
        bucket.rate, bucket.burst = account.rate, account.burst
        bucket.clip()
        return bucket

    def add_request(
        self,
        now: float,
        account: config_model.ClientAccount,
        holder: str,
        need: int,
        want: int,
        wait: float,
        reports: tuple[Report, ...] = (),
    ) -> int:
        """Queues a holder's request for credit; returns its number.

        Args:
            now: Time in seconds.
            account: Account with its current rate and burst.
            holder: Id of the requesting instance.
            need: Number of requests that wait at the holder.
            want: Number of further tokens that the holder expects to use.
            wait: Seconds that the oldest of these requests may still wait.
            reports: Reports on earlier grants.
        """
        bucket = self.bucket(now, account)
        for report in reports:
            bucket.report(report)
        request = PendingRequest(
            next(self._request_numbers), holder, need, want, now + wait
        )
        bucket.waiting.append(request)
        return request.number

    def answer(
        self,
        now: float,
        account: config_model.ClientAccount,
        authority_end: float,
    ) -> list[tuple[int, Grant]]:
        """Answers queued requests that can be served or have timed out.

        Args:
            now: Time in seconds.
            account: Account with its current rate and burst.
            authority_end: Time in seconds at which the owner's authority ends.

        Returns:
            Numbers of the answered requests with their grants.
        """
        bucket = self.bucket(now, account)
        answers = []
        lifetime = min(GRANT_SECONDS, authority_end - now)
        if lifetime < MIN_GRANT_SECONDS or now < self._issue_from:
            lifetime = 0.0
        for request in list(bucket.waiting):
            available = int(bucket.tokens + EPSILON) if lifetime else 0
            amount = min(request.need, available)
            if request.need and not amount and now < request.until:
                continue
            if (
                amount == request.need
                and lifetime > MIN_PREFETCH_LIFETIME_SECONDS
            ):
                amount += self._prefetch_amount(
                    bucket, request.want, available - amount
                )
            bucket.waiting.remove(request)
            answers.append(
                (
                    request.number,
                    self._grant(now, bucket, request, amount, lifetime),
                )
            )
        return answers

    def recall(self, now: float, account: str) -> list[str]:
        """Returns the holders from which to recall unused credit.

        Credit is recalled while other requests wait for it, at most once per
        `RECALL_SECONDS`.
        """
        bucket = self.buckets.get(account)
        if bucket is None or now < bucket.recalled_at + RECALL_SECONDS:
            return []
        if not any(request.need for request in bucket.waiting):
            return []
        holders = {grant.holder for grant in bucket.grants.values()}
        if holders:
            bucket.recalled_at = now
        return sorted(holders)

    def report(
        self,
        now: float,
        account: config_model.ClientAccount,
        reports: tuple[Report, ...],
    ) -> None:
        """Applies a holder's reports on its grants."""
        bucket = self.bucket(now, account)
        for report in reports:
            bucket.report(report)

    def has_waiting(self, account: str) -> bool:
        """Returns whether requests for credit wait for tokens."""
        bucket = self.buckets.get(account)
        return bucket is not None and bool(bucket.waiting)

    def drop_waiting(self) -> list[int]:
        """Removes all waiting requests and returns their numbers."""
        numbers = []
        for bucket in self.buckets.values():
            numbers += [request.number for request in bucket.waiting]
            bucket.waiting.clear()
        return numbers

    def export(self, now: float) -> dict:
        """Returns the state for a successor; times are relative to `now`."""
        result = {}
        for account, bucket in self.buckets.items():
            bucket.advance(now)
            result[account] = {
                "rate": bucket.rate,
                "burst": bucket.burst,
                "tokens": bucket.tokens,
                "grants": [
                    [
                        *id,
                        each.holder,
                        each.amount,
                        each.expires - now,
                        each.used,
                    ]
                    for id, each in bucket.grants.items()
                ],
            }
        return {
            "buckets": result,
            "fresh": self._fresh,
            "issue_in": max(0.0, self._issue_from - now),
        }

    @classmethod
    def restore(cls, now: float, epoch: int, state: dict) -> "Ledger":
        """Builds the ledger of a successor from the result of `export`."""
        ledger = cls(epoch, now + state["issue_in"], state["fresh"])
        for account, data in state["buckets"].items():
            bucket = Bucket(data["rate"], data["burst"], data["tokens"], now)
            for first, second, holder, amount, left, used in data["grants"]:
                bucket.grants[(first, second)] = OutstandingGrant(
                    holder, amount, now + left, used
                )
            ledger.buckets[account] = bucket
        return ledger

    def _prefetch_amount(self, bucket: Bucket, want: int, spare: int) -> int:
        if bucket.small:
            return 0
        keep = bucket.burst * (1 - PREFETCH_SHARE)
        room = bucket.burst * PREFETCH_SHARE - bucket.outstanding
        return max(0, min(want, int(spare - keep), int(room)))

    def _grant(
        self,
        now: float,
        bucket: Bucket,
        request: PendingRequest,
        amount: int,
        lifetime: float,
    ) -> Grant:
        id = (self.epoch, next(self._grant_numbers))
        if amount:
            bucket.tokens -= amount
            bucket.grants[id] = OutstandingGrant(
                request.holder, amount, now + lifetime
            )
        missing = 1 + sum(each.need for each in bucket.waiting)
        retry_after = missing / bucket.rate if bucket.rate > 0 else 60.0
        return Grant(id, amount, lifetime, bucket.small, min(60.0, retry_after))
