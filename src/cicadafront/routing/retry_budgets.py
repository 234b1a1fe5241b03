"""Retry budgets of all services at one entry."""

from cicadafront.routing import retry


class RetryBudgets:
    """Implements `edge.policies.RetryBudget`."""

    def __init__(self) -> None:
        self._budgets: dict[str, retry.RetryBudget] = {}

    def request(self, service: str, now: float, repeated: float = 0.0) -> None:
        """Records a first attempt; ignores whether a repeat causes it."""
        self._budget(service, now).requested(now)

    def try_retry(self, service: str, now: float) -> bool:
        """Takes one retry; returns False if the budget is exhausted."""
        return self._budget(service, now).take(now)

    def _budget(self, service: str, now: float) -> retry.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = retry.RetryBudget(now)
        return found
