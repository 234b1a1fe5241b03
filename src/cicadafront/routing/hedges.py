"""Hedge delays of all services at one entry."""

from collections.abc import Callable

from cicadafront.routing import retry


class ServiceHedges:
    """Implements `edge.policies.Hedges`."""

    def __init__(self) -> None:
        self._delays: dict[str, retry.HedgeDelay] = {}

    def delay(self, service: str) -> float | None:
        """Returns the p95 of the service in seconds, None if unknown."""
        found = self._delays.get(service)
        return found.seconds() if found is not None else None

    def answered(self, service: str, seconds: float) -> None:
        """Notes the time from the first attempt to the first head."""
        found = self._delays.get(service)
        if found is None:
            found = self._delays[service] = retry.HedgeDelay()
        found.observe(seconds)


# Time after which a request is hedged before latencies are known, and the
# bounds of what they may say, as shares of the route's objective: earlier
# hedges would be load without need, later ones come too late.
PRIOR_SHARE = 0.45
LEAST_SHARE = 0.2
MOST_SHARE = 0.7


class ObjectiveHedges:
    """Implements `edge.policies.Hedges` for routes with an objective.

    An entry sees few requests of each route, so the objective says more
    about the usual latency than the first answers do.

    Args:
        objective: Returns the objective of a route in seconds, 0 for none.
    """

    def __init__(self, objective: Callable[[str], float]) -> None:
        self._objective = objective
        self._delays: dict[str, retry.HedgeDelay] = {}

    def delay(self, route: str) -> float | None:
        """Returns the seconds to wait for the head, or None for no hedge."""
        objective = self._objective(route)
        if not objective:
            return None
        found = self._delays.get(route)
        seconds = found.seconds() if found is not None else None
        if seconds is None:
            return PRIOR_SHARE * objective
        return min(
            max(LEAST_SHARE * objective, seconds), MOST_SHARE * objective
        )

    def answered(self, route: str, seconds: float) -> None:
        """Notes the time from the first attempt to the first head."""
        self._delays.setdefault(route, retry.HedgeDelay()).observe(seconds)
