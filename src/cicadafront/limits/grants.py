"""Holder side of rate limiting: granted credit, and requests waiting for it."""

import collections
import math

import attrs

from cicadafront.limits.ledger import Grant, GrantId, Report

# Longest time that a request waits for credit.
WAIT_SECONDS = 1.0
# Fraction of a grant's lifetime that the holder leaves unused; allows for a
# clock drift of 1% at the owner and at the holder.
LIFETIME_MARGIN = 0.02
# Amount of credit to prefetch, in seconds of recent use.
PREFETCH_SECONDS = 1.5
# More credit is prefetched when the remaining credit lasts less than this.
LOW_SECONDS = 0.3
# Credit is returned when it expires within `RETURN_SECONDS`, or when the
# account has been idle for `IDLE_SECONDS`.
RETURN_SECONDS = 0.4
IDLE_SECONDS = 0.75
REPORT_SECONDS = 0.2
# Shortest time between an answer and the next request that only prefetches.
PREFETCH_PAUSE_SECONDS = 0.1
# Delay before the next request after a refusal or a failed call.
RETRY_SECONDS = 0.05
USE_WINDOW_SECONDS = 1.0
# Maximum number of requests of one account that wait at one instance.
MAX_WAITING = 2000


@attrs.define
class Credit:
    """Holder's record of a grant."""

    id: GrantId
    amount: int
    expires: float
    report_immediately: bool
    used: int = 0
    reported: int = 0

    @property
    def left(self) -> int:
        """Number of requests that it can still admit."""
        return self.amount - self.used


@attrs.frozen
class WaitingRequest:
    """A request that waits for credit."""

    number: int
    until: float


@attrs.frozen
class CreditRequest:
    """A request to the owner of an account.

    Attributes:
        account: Account id.
        need: Number of waiting requests; `need` and `want` are 0 in a request
            that only reports.
        want: Number of further tokens wanted.
        wait: Seconds until the first waiting request must be answered.
        reports: Reports on earlier grants.
    """

    account: str
    need: int
    want: int
    wait: float
    reports: tuple[Report, ...]

    @property
    def report_only(self) -> bool:
        """Whether the request asks for no credit."""
        return not self.need and not self.want


@attrs.define
class Holding:
    """Credit and waiting requests of one account at this instance."""

    credits: list[Credit] = attrs.field(factory=list)
    waiting: collections.deque[WaitingRequest] = attrs.field(
        factory=collections.deque
    )
    in_flight: bool = False
    use_rate: float = 0.0
    used_at: float = -math.inf
    report_at: float = math.inf
    retry_at: float = -math.inf
    prefetch_at: float = -math.inf
    retry_after: float = 1.0

    def left(self, now: float) -> int:
        """Returns the number of requests that unexpired credit can admit."""
        return sum(each.left for each in self.credits if now < each.expires)

    def record_arrival(self, now: float) -> None:
        """Counts a request in the estimate of recent use."""
        age = min(now - self.used_at, 60.0)
        self.use_rate *= math.exp(-age / USE_WINDOW_SECONDS)
        self.use_rate += 1 / USE_WINDOW_SECONDS
        self.used_at = now

    def recent_use(self, now: float) -> float:
        """Returns the exponentially weighted rate in requests per second."""
        age = min(now - self.used_at, 60.0)
        return self.use_rate * math.exp(-age / USE_WINDOW_SECONDS)

    def take(self, now: float) -> bool:
        """Uses credit for one request; returns whether there was any."""
        for credit in self.credits:
            if credit.left and now < credit.expires:
                credit.used += 1
                delay = 0.0 if credit.report_immediately else REPORT_SECONDS
                self.report_at = min(self.report_at, now + delay)
                return True
        return False

    def reports(self, now: float, close: bool = False) -> tuple[Report, ...]:
        """Returns the reports that the owner has not received yet.

        Args:
            now: Time in seconds.
            close: Whether to return all unused credit.
        """
        result, kept = [], []
        for credit in self.credits:
            ending = now >= credit.expires - RETURN_SECONDS
            closing = close or ending or not credit.left
            if closing or credit.used > credit.reported:
                result.append(Report(credit.id, credit.used, closing))
                credit.reported = credit.used
            if not closing:
                kept.append(credit)
        self.credits = kept
        self.report_at = math.inf
        return tuple(result)


class Grants:
    """Credit held by this instance for all client accounts."""

    def __init__(self):
        self._holdings: dict[str, Holding] = {}
        self._number = 0

    def admit(self, now: float, account: str) -> int | None:
        """Admits one request, or queues it until credit arrives.

        Returns:
            None if the request is admitted, 0 if the account's queue is full,
            and otherwise the number of the queued request.
        """
        holding = self._holdings.setdefault(account, Holding())
        holding.record_arrival(now)
        if not holding.waiting and holding.take(now):
            return None
        if len(holding.waiting) >= MAX_WAITING:
            return 0
        self._number += 1
        holding.waiting.append(WaitingRequest(self._number, now + WAIT_SECONDS))
        return self._number

    def due_requests(self, now: float, account: str) -> list[CreditRequest]:
        """Returns the requests to the owner that are due for an account."""
        holding = self._holdings.get(account)
        if holding is None:
            return []
        if not holding.in_flight and now >= holding.retry_at:
            ask = self._credit_request(now, account, holding)
            if ask is not None:
                return [ask]
        if now >= holding.report_at or self._must_return(now, holding):
            idle = now - holding.used_at >= IDLE_SECONDS
            reports = holding.reports(now, idle)
            if reports:
                return [CreditRequest(account, 0, 0, 0.0, reports)]
        return []

    def granted(
        self, now: float, sent: float, account: str, grant: Grant
    ) -> list[int]:
        """Applies the owner's answer.

        Args:
            now: Time in seconds.
            sent: Time in seconds at which the answered request was sent.
            account: Account id.
            grant: Answer of the owner.

        Returns:
            Numbers of the queued requests that are now admitted.
        """
        holding = self._holdings.setdefault(account, Holding())
        holding.in_flight = False
        holding.retry_after = grant.retry_after
        # Near the end of the owner's authority, credit expires at once and
        # would be requested again without a delay.
        holding.prefetch_at = now + PREFETCH_PAUSE_SECONDS
        if not grant.amount:
            holding.retry_at = now + RETRY_SECONDS
        if grant.amount:
            expires = sent + grant.lifetime * (1 - LIFETIME_MARGIN)
            holding.credits.append(
                Credit(
                    grant.id, grant.amount, expires, grant.report_immediately
                )
            )
        admitted = []
        while holding.waiting:
            if now >= holding.waiting[0].until:
                break
            if not holding.take(now):
                break
            admitted.append(holding.waiting.popleft().number)
        return admitted

    def failed(self, now: float, account: str) -> None:
        """Records that the owner did not answer."""
        holding = self._holdings.setdefault(account, Holding())
        holding.in_flight = False
        holding.retry_at = now + RETRY_SECONDS

    def recall(self, now: float, account: str) -> tuple[Report, ...]:
        """Returns reports that give all unused credit back to the owner."""
        holding = self._holdings.get(account)
        return holding.reports(now, True) if holding is not None else ()

    def timed_out(self, now: float, account: str) -> list[tuple[int, float]]:
        """Removes queued requests whose wait has timed out.

        Returns:
            Numbers of these requests, with the `Retry-After` in seconds.
        """
        holding = self._holdings.get(account)
        result = []
        while holding and holding.waiting and now >= holding.waiting[0].until:
            number = holding.waiting.popleft().number
            result.append((number, holding.retry_after))
        return result

    def accounts(self, now: float) -> list[str]:
        """Returns the accounts in use, after dropping idle ones."""
        for account, holding in list(self._holdings.items()):
            busy = holding.credits or holding.waiting or holding.in_flight
            if not busy and now - holding.used_at > 60:
                del self._holdings[account]
        return list(self._holdings)

    def last_deadline(self, account: str) -> float:
        """Returns the time at which the newest waiting request times out."""
        return self._holdings[account].waiting[-1].until

    def _credit_request(
        self, now: float, account: str, holding: Holding
    ) -> CreditRequest | None:
        use_rate = holding.recent_use(now)
        left = holding.left(now + RETURN_SECONDS)
        need = len(holding.waiting)
        want = max(0, math.ceil(use_rate * PREFETCH_SECONDS) - left)
        enough = left > use_rate * LOW_SECONDS or use_rate < 2 or not want
        if not need and (enough or now < holding.prefetch_at):
            return None
        holding.in_flight = True
        wait = holding.waiting[0].until - now if need else 0.0
        return CreditRequest(
            account, need, want, max(0.0, wait), holding.reports(now)
        )

    def _must_return(self, now: float, holding: Holding) -> bool:
        idle = now - holding.used_at >= IDLE_SECONDS
        return any(
            idle or now >= each.expires - RETURN_SECONDS
            for each in holding.credits
        )
