"""Retry budgets of all services at one entry."""

from cicadafront.routing import retry


class RetryBudgets:
    """Implements `edge.policies.RetryBudget`."""

    def __init__(self) -> None:
        self._budgets: dict[str, retry.RetryBudget] = {}

    def request(self, service: str, now: float, repeated: float = 0.0) -> None:
        """Notes a first attempt, whoever makes it."""
        self._budget(service, now).requested(now)

    def try_retry(self, service: str, now: float) -> bool:
        """Takes one retry out of the budget, if there is one."""
        return self._budget(service, now).take(now)

    def _budget(self, service: str, now: float) -> retry.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = retry.RetryBudget(now)
        return found
