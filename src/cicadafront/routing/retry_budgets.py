"""Retry budgets of all services at one entry."""

from collections.abc import Callable

from cicadafront.routing import retry


class RetryBudgets:
    """Implements `edge.policies.RetryBudget`.

    Args:
        allowance: Returns what this entry may use of each service's retries.
    """

    def __init__(
        self, allowance: Callable[[], retry.Allowance] = retry.Allowance
    ) -> None:
        self._allowance = allowance
        self._budgets: dict[str, retry.RetryBudget] = {}

    def request(self, service: str, now: float) -> None:
        """Notes a first attempt."""
        budget = self._budget(service, now)
        budget.allowance = self._allowance()
        budget.requested(now)

    def try_retry(self, service: str, now: float) -> bool:
        """Takes one retry out of the budget, if there is one."""
        return self._budget(service, now).take(now)

    def _budget(self, service: str, now: float) -> retry.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            allowance = self._allowance()
            found = retry.RetryBudget(now, allowance)
            self._budgets[service] = found
        return found
