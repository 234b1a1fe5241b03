"""What the keeper of an account grants to the instances that ask it.

The tokens of an account are kept by the live instance that ranks first for it
by rendezvous hash. Only the keeper saves tokens: what an instance earned or
was granted and did not use is lost, so that the sum over all instances in a
window is what the keeper's bucket lets through.
"""

import hashlib
from collections.abc import Callable, Iterable

import attrs

from cicadafront.config import model as config_model
from cicadafront.limits import tokens

# Most tokens of one grant.
MAX_GRANT_TOKENS = 8
# Part of the bucket that one grant may take, so that no instance empties it.
MAX_GRANT_SHARE = 0.1
# Part of the burst with which a new keeper starts, where the burst is what
# operators state, and where it is a part of their window.
INITIAL_SHARE = 0.5
INITIAL_WINDOW_SHARE = 0.25
# Part of the operators' window that may come at once. What comes in steadily
# is the rest: a keeper that replaces another one then adds little to what
# that one has granted, whenever that was.
WINDOW_BURST_SHARE = 0.1
# Part of the operators' tolerance that keepers grant. The rest covers what
# instances spend that reach no keeper, and two keepers for a moment.
COORDINATOR_SHARE = 0.5
# A second keeper that has granted nothing for this time starts anew: what its
# bucket has collected was granted by the first one.
STANDBY_IDLE_SECONDS = 1.0
# Instances that may keep the tokens of an account, in the order of asking.
COORDINATORS_PER_ACCOUNT = 2
# Time for which a keeper believes what an instance said of its requests: half
# of the window in which operators count repeats.
REPORT_SECONDS = 5.0


def ranked(account: str, instances: Iterable[str]) -> list[str]:
    """Returns instances in the order in which they keep an account."""

    def rank(instance: str) -> bytes:
        return hashlib.blake2b(
            f"{account}\0{instance}".encode(), digest_size=8
        ).digest()

    return sorted(instances, key=rank, reverse=True)


def select(account: str, instances: Iterable[str]) -> list[str]:
    """Returns the instances that may keep an account, the first one first."""
    return ranked(account, instances)[:COORDINATORS_PER_ACCOUNT]


@attrs.frozen
class Limit:
    """What the keeper of an account grants.

    Attributes:
        rate: Tokens that come in each second.
        burst: Most tokens that are kept.
        initial: Tokens with which a new keeper starts; the previous one may
            have granted all others.
        initial_isolated: Initial tokens of an instance that reaches no
            coordinator.
    """

    rate: float
    burst: float
    initial: float
    initial_isolated: float = 1.0

    def scaled(self, share: float) -> "Limit":
        """Returns a part of this limit, for a keeper of a part of a fleet."""
        return Limit(
            self.rate * share,
            self.burst * share,
            self.initial * share,
            self.initial_isolated,
        )


# Limit of an account, given the requests that instances have seen of it.
LimitOf = Callable[[config_model.ClientAccount, float], Limit]


def configured_limit(
    account: config_model.ClientAccount, seen: float = 0.0
) -> Limit:
    """Returns the rate and burst of an account as they are."""
    return Limit(account.rate, account.burst, account.burst * INITIAL_SHARE)


@attrs.frozen
class Tolerance:
    """How operators count the requests of an account over the whole fleet.

    Attributes:
        seconds: Window in which they count.
        share: Tolerated excess, as a share of rate and burst.
        extra: Further requests that are tolerated.
    """

    seconds: float
    share: float
    extra: float

    def limit(
        self, account: config_model.ClientAccount, seen: float = 0.0
    ) -> Limit:
        """Returns a rate and burst that fill the window, and no more.

        The burst and what comes in during one window add up to the rate and
        burst that operators count in it, and half of the tolerance.
        """
        configured = account.rate * self.seconds + account.burst
        most = configured * (1 + COORDINATOR_SHARE * self.share)
        most += COORDINATOR_SHARE * self.extra
        burst = WINDOW_BURST_SHARE * most
        initial = burst * INITIAL_WINDOW_SHARE
        return Limit((most - burst) / self.seconds, burst, initial)


@attrs.frozen
class Report:
    """What an instance says of an account when it asks the keeper.

    Attributes:
        seen: Requests of the account in the window that ends now.
        owed: Tokens that were used without being granted.
    """

    seen: float = 0.0
    owed: float = 0.0


@attrs.define
class _AccountState:
    bucket: tokens.Bucket
    # Seen requests by instance, and when it told.
    seen: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def note(self, now: float, instance: str, seen: float) -> float:
        """Notes a report; returns the requests that all have seen."""
        self.seen[instance] = seen, now
        self.seen = {
            other: (count, at)
            for other, (count, at) in self.seen.items()
            if now - at < REPORT_SECONDS
        }
        return sum(count for count, _ in self.seen.values())


class Coordinator:
    """Buckets of the accounts that this instance keeps.

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
        """Returns granted tokens, and the wait if there are none.

        Args:
            now: Time in seconds.
            account: Account with its limits.
            wanted: Number of tokens.
            report: What the asking instance says.
            instance: Id of the asking instance.
            standby: Whether another instance keeps the account, which does
                not answer at the moment.
            share: Part of the limit that may be granted here.
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
