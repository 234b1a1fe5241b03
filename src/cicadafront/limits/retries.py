"""One retry budget for each service over the whole fleet.

Answers the load of a gray spell: retries and second copies are needed by few
entries at a time, and an equal part for each entry would leave most of the
budget unused. Entries tell the keeper of a service's budget how many requests
they have seen in its window, and ask it for each retry. Nothing is saved at
entries, so a calm time adds nothing to the retries of a later window.

A target that runs a request again makes its calls again. These are charged to
the services that are called, which have less left for retries of their own.
"""

import collections

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors
from cicadafront.config import model as config_model
from cicadafront.limits import coordinators, recent, shares

# Part of the allowed repeats that keepers grant; the rest covers two keepers
# that exist for a moment, and calls that were told late.
COORDINATOR_SHARE = 0.8
# Part of a window's extra retries that may come at once.
BURST_SHARE = 0.2
# Part of the burst with which a new keeper starts.
INITIAL_SHARE = 0.5
# Debt of a budget, in seconds of its rate, from which on no request is repeated
# whose calls would add to it.
MAX_DEBT_SECONDS = 0.25
# No client account has this prefix.
_PREFIX = "\0retries\0"


@attrs.frozen
class Allowance:
    """Repeats of one service over the whole fleet.

    Attributes:
        share: Repeats for each request.
        extra: Further repeats in each window.
        window: Length of the window in seconds.
    """

    share: float
    extra: float
    window: float

    def limit(self, seen: float) -> coordinators.Limit:
        """Returns what a keeper grants.

        Args:
            seen: Requests of the service in the window.
        """
        burst = max(1.0, BURST_SHARE * self.extra)
        most = COORDINATOR_SHARE * (self.share * seen + self.extra)
        return coordinators.Limit(
            max(0.01, (most - burst) / self.window),
            burst,
            INITIAL_SHARE * burst,
            # Many instances start at once after a fault, each on its own.
            initial_isolated=0.0,
        )


def is_budget(id: str) -> bool:
    """Returns whether an account id names the retry budget of a service."""
    return id.startswith(_PREFIX)


def budget_of(
    id: str, allowance: Allowance
) -> config_model.ClientAccount | None:
    """Returns the budget with this account id, or None if it is none."""
    if not is_budget(id):
        return None
    least = allowance.limit(0.0)
    return config_model.ClientAccount(id, rate=least.rate, burst=least.burst)


class FleetRetryBudget:
    """Implements `edge.policies.RetryBudget`.

    Attributes:
        counts: Retries by decision.
    """

    def __init__(self, admission: shares.SharedAdmission, allowance: Allowance):
        self.counts: collections.Counter[str] = collections.Counter()
        self._admission = admission
        self._allowance = allowance
        self._seen: dict[str, recent.SlidingWindow] = {}
        # Services that repeated requests call here, and when they last did.
        self._called_at: dict[str, float] = {}

    def request(self, service: str, now: float, repeated: float = 0.0) -> None:
        """Notes a first attempt, which allows a part of a retry.

        Args:
            service: Service of the request.
            now: Time in seconds.
            repeated: Probability that a repeated request makes this one.
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
        """Takes one retry out of the budget, if there is one."""
        seen = self._seen.get(service)
        spent = self._admission.spend(
            self._budget(service), seen.projected(now) if seen else 0.0
        )
        return spent.addCallbacks(self._granted, self._refused)

    def may_repeat(self, now: float) -> bool:
        """Tells whether a request may run again at the target here.

        Its calls are repeats as well. They cannot be refused without failing
        it, so it waits until the services that it calls can bear them.
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
            raise ValueError("the budget of a service has its own prefix")
        return account

    def _granted(self, _: object) -> bool:
        self.counts["granted"] += 1
        return True

    def _refused(self, reason: failure.Failure) -> bool:
        reason.trap(errors.RateExceededError)
        self.counts["refused"] += 1
        return False
