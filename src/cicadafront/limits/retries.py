"""Fleet-wide retry budget of each service.

During a gray failure only a few instances need retries and hedged requests at
a time, so dividing the budget equally between instances would leave most of it
unused. Instances report to the coordinator of a service's budget how many
requests they have seen in its window, and request a token for each retry.
Instances do not accumulate tokens, so a period with few retries does not allow
more of them in a later window.

A target that runs a request again repeats the calls which that request makes.
These calls are charged to the budgets of the called services, which leaves
those services fewer retries of their own.
"""

import collections

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors
from cicadafront.config import model as config_model
from cicadafront.limits import coordinators, recent, shares

# Fraction of the allowed retries that coordinators grant. The rest covers short
# periods with two coordinators, and calls that are reported late.
COORDINATOR_SHARE = 0.8
# Fraction of a window's extra retries that may be used as a burst.
BURST_SHARE = 0.2
# Fraction of the burst with which a new coordinator starts.
INITIAL_SHARE = 0.5
# A request whose calls are charged to a budget is not repeated while the debt
# of that budget exceeds this many seconds of its refill rate.
MAX_DEBT_SECONDS = 0.25
# Account ids of retry budgets start with this prefix, which no client account
# has.
_PREFIX = "\0retries\0"


@attrs.frozen
class Allowance:
    """Number of retries that one service may have over the whole fleet.

    Attributes:
        share: Allowed retries per request.
        extra: Further retries allowed in each window.
        window: Length of the window in seconds.
    """

    share: float
    extra: float
    window: float

    def limit(self, seen: float) -> coordinators.Limit:
        """Returns the limit that the coordinator applies.

        Args:
            seen: Requests of the service in the window.
        """
        burst = max(1.0, BURST_SHARE * self.extra)
        most = COORDINATOR_SHARE * (self.share * seen + self.extra)
        return coordinators.Limit(
            max(0.01, (most - burst) / self.window),
            burst,
            INITIAL_SHARE * burst,
            # After a fault many instances start at once, and none of them
            # reaches a coordinator yet.
            initial_isolated=0.0,
        )


def is_budget(id: str) -> bool:
    """Returns whether an account id is that of a retry budget."""
    return id.startswith(_PREFIX)


def budget_of(
    id: str, allowance: Allowance
) -> config_model.ClientAccount | None:
    """Returns the retry budget with this account id, or None.

    Args:
        id: Account id.
        allowance: Allowed retries of each service.
    """
    if not is_budget(id):
        return None
    least = allowance.limit(0.0)
    return config_model.ClientAccount(id, rate=least.rate, burst=least.burst)


class FleetRetryBudget:
    """Implements `edge.policies.RetryBudget`.

    Attributes:
        counts: Number of retries by decision.
    """

    def __init__(self, admission: shares.SharedAdmission, allowance: Allowance):
        self.counts: collections.Counter[str] = collections.Counter()
        self._admission = admission
        self._allowance = allowance
        self._seen: dict[str, recent.SlidingWindow] = {}
        # Time of the last call made by a repeated request, by called service.
        self._called_at: dict[str, float] = {}

    def request(self, service: str, now: float, repeated: float = 0.0) -> None:
        """Records a first attempt, which adds a fraction of a retry.

        Args:
            service: Service of the request.
            now: Time in seconds.
            repeated: Probability that the request is made by a request that
                is itself a retry.
        """
        seen = self._seen.get(service)
        if seen is None:
            seen = recent.SlidingWindow(self._allowance.window, now)
            self._seen[service] = seen
        seen.add(now)
        if repeated:
            self.counts["charged"] += 1
            self._called_at[service] = now
            self._admission.charge(
                self._budget(service), repeated, seen.projected(now)
            )

    def try_retry(self, service: str, now: float) -> "defer.Deferred[bool]":
        """Takes one retry from the budget; fires with whether it could."""
        seen = self._seen.get(service)
        spent = self._admission.spend(
            self._budget(service), seen.projected(now) if seen else 0.0
        )
        return spent.addCallbacks(self._granted, self._refused)

    def may_repeat(self, now: float) -> bool:
        """Returns whether the local target may run a request again.

        The calls that the repeated request makes are retries as well. Refusing
        them would fail the request, so it is not run again until the debt of
        each called service's budget is at most `MAX_DEBT_SECONDS`.

        Args:
            now: Time in seconds.
        """
        window = self._allowance.window
        return all(
            self._admission.seconds_until_tokens(_PREFIX + service)
            <= MAX_DEBT_SECONDS
            for service, at in self._called_at.items()
            if now - at < window
        )

    def _budget(self, service: str) -> config_model.ClientAccount:
        account = budget_of(_PREFIX + service, self._allowance)
        if account is None:
            raise ValueError("account id of a retry budget lacks its prefix")
        return account

    def _granted(self, _: object) -> bool:
        self.counts["granted"] += 1
        return True

    def _refused(self, reason: failure.Failure) -> bool:
        reason.trap(errors.RateExceededError)
        self.counts["refused"] += 1
        return False
