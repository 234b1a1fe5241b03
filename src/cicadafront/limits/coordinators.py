"""Rate coordinators: the instances that hold the token bucket of an account.

The coordinator of an account is the live instance that ranks first for it by
rendezvous hashing. Only the coordinator accumulates tokens: tokens that an
instance was granted and did not use are discarded, so that the admissions of
all instances in a window add up to what the coordinator's bucket releases.
"""

import hashlib
from collections.abc import Callable, Iterable

import attrs

from cicadafront.config import model as config_model
from cicadafront.limits import tokens

# Maximum number of tokens in one grant.
MAX_GRANT_TOKENS = 8
# Fraction of the bucket that one grant may take, so that a single instance
# cannot empty it.
MAX_GRANT_SHARE = 0.1
# Fraction of the burst with which a new coordinator starts: the first applies
# to the configured burst, the second to a burst derived from the operators'
# window.
INITIAL_SHARE = 0.5
INITIAL_WINDOW_SHARE = 0.25
# Fraction of the operators' window that may be used as a burst; the rest is
# refilled at a constant rate. The burst is small so that a coordinator that
# replaces another one adds little to what the former one has granted, at
# whatever time it is replaced.
WINDOW_BURST_SHARE = 0.1
# Fraction of the operators' tolerance that coordinators grant. The rest covers
# the fallback shares of instances that reach no coordinator, and short periods
# with two coordinators.
COORDINATOR_SHARE = 0.5
# A standby coordinator that has granted nothing for this long resets its bucket
# to the initial tokens: the primary has granted the tokens that accumulated in
# the meantime.
STANDBY_IDLE_SECONDS = 1.0
# Number of coordinators of an account: the primary, and a standby that is
# called while the primary does not answer.
COORDINATORS_PER_ACCOUNT = 2
# Time for which the request count reported by an instance stays valid: half of
# the window in which operators count retries.
REPORT_SECONDS = 5.0


def ranked(account: str, instances: Iterable[str]) -> list[str]:
    """Returns instances by descending rendezvous hash for an account."""

    def rank(instance: str) -> bytes:
        return hashlib.blake2b(
            f"{account}\0{instance}".encode(), digest_size=8
        ).digest()

    return sorted(instances, key=rank, reverse=True)


def select(account: str, instances: Iterable[str]) -> list[str]:
    """Returns the coordinators of an account: the primary, then the standby."""
    return ranked(account, instances)[:COORDINATORS_PER_ACCOUNT]


@attrs.frozen
class Limit:
    """Parameters of a coordinator's token bucket for one account.

    Attributes:
        rate: Refill rate in tokens per second.
        burst: Capacity of the bucket.
        initial: Tokens of a new coordinator; it does not start full, because
            the previous coordinator may have granted the other tokens.
        initial_isolated: Tokens with which an instance that reaches no
            coordinator starts.
    """

    rate: float
    burst: float
    initial: float
    initial_isolated: float = 1.0

    def scaled(self, share: float) -> "Limit":
        """Returns this limit scaled to a coordinator of part of a fleet."""
        return Limit(
            self.rate * share,
            self.burst * share,
            self.initial * share,
            self.initial_isolated,
        )


# Returns the limit of an account, given the number of requests that instances
# have reported for it.
LimitOf = Callable[[config_model.ClientAccount, float], Limit]


def configured_limit(
    account: config_model.ClientAccount, seen: float = 0.0
) -> Limit:
    """Returns the configured rate and burst of an account."""
    return Limit(account.rate, account.burst, account.burst * INITIAL_SHARE)


@attrs.frozen
class Tolerance:
    """Excess over an account's limit that operators tolerate fleet-wide.

    Attributes:
        seconds: Length of the window in which requests are counted.
        share: Tolerated excess as a fraction of the requests that rate and
            burst allow in the window.
        extra: Number of further requests that are tolerated.
    """

    seconds: float
    share: float
    extra: float

    def limit(
        self, account: config_model.ClientAccount, seen: float = 0.0
    ) -> Limit:
        """Returns a rate and burst that together fill one window.

        The burst and the tokens refilled during one window add up to what the
        configured rate and burst allow in it, plus half of the tolerance.
        """
        configured = account.rate * self.seconds + account.burst
        most = configured * (1 + COORDINATOR_SHARE * self.share)
        most += COORDINATOR_SHARE * self.extra
        burst = WINDOW_BURST_SHARE * most
        initial = burst * INITIAL_WINDOW_SHARE
        return Limit((most - burst) / self.seconds, burst, initial)


@attrs.frozen
class Report:
    """Usage of an account that an instance reports to the coordinator.

    Attributes:
        seen: Requests of the account in the window that ends now.
        owed: Tokens that were used without a grant.
    """

    seen: float = 0.0
    owed: float = 0.0


@attrs.define
class _AccountState:
    bucket: tokens.Bucket
    # Reported requests and time of the report in seconds, by instance.
    seen: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def note(self, now: float, instance: str, seen: float) -> float:
        """Records a report; returns the total of all valid reports."""
        self.seen[instance] = seen, now
        self.seen = {
            other: (count, at)
            for other, (count, at) in self.seen.items()
            if now - at < REPORT_SECONDS
        }
        return sum(count for count, _ in self.seen.values())


class Coordinator:
    """Token buckets of the accounts that this instance coordinates.

    Args:
        limit_of: Returns the limit of an account.
    """

    def __init__(self, limit_of: LimitOf = configured_limit) -> None:
        self._limit_of = limit_of
        self._accounts: dict[str, _AccountState] = {}

    def grant(
        self,
        now: float,
        account: config_model.ClientAccount,
        wanted: int,
        report: Report = Report(),
        instance: str = "",
        standby: bool = False,
        share: float = 1.0,
    ) -> tuple[int, float]:
        """Grants tokens to an instance.

        Args:
            now: Time in seconds.
            account: Account with its limits.
            wanted: Number of tokens requested.
            report: Usage reported by the requesting instance.
            instance: Id of the requesting instance.
            standby: Whether this instance stands in for the primary
                coordinator, which does not answer at the moment.
            share: Fraction of the limit that may be granted here.

        Returns:
            The number of granted tokens, and the seconds until the next token
            if none was granted.
        """
        state = self._accounts.get(account.id)
        if state is None:
            initial = max(
                1.0, self._limit_of(account, 0.0).scaled(share).initial
            )
            state = _AccountState(tokens.Bucket(0.0, initial, initial, now))
            self._accounts[account.id] = state
        seen = state.note(now, instance, report.seen)
        limit = self._limit_of(account, seen).scaled(share)
        bucket = state.bucket
        idle = now - bucket.updated
        if (bucket.rate, bucket.burst) != (limit.rate, limit.burst):
            bucket.set_limit(now, limit.rate, limit.burst)
        bucket.refill(now)
        if standby and idle > STANDBY_IDLE_SECONDS:
            bucket.tokens = min(bucket.tokens, limit.initial)
        bucket.charge(report.owed, most=limit.rate * REPORT_SECONDS)
        spare = max(
            1, min(MAX_GRANT_TOKENS, int(bucket.tokens * MAX_GRANT_SHARE))
        )
        granted = bucket.take(now, min(wanted, spare))
        return granted, 0.0 if granted else bucket.wait(now)
