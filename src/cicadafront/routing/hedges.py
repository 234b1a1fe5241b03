"""Hedge delays by service or by route at one entry."""

from collections.abc import Callable

from cicadafront.routing import retry


class ServiceHedges:
    """Implements `edge.policies.Hedges`."""

    def __init__(self) -> None:
        self._delays: dict[str, retry.HedgeDelay] = {}

    def delay(self, service: str) -> float | None:
        """Returns the service's p95 latency in seconds, None if unknown."""
        found = self._delays.get(service)
        return found.seconds() if found is not None else None

    def answered(self, service: str, seconds: float) -> None:
        """Records the seconds from the first attempt to the first head."""
        found = self._delays.get(service)
        if found is None:
            found = self._delays[service] = retry.HedgeDelay()
        found.observe(seconds)


# Hedge delays as shares of the route's objective: the default while too few
# latencies are known, and the bounds of a delay derived from latencies. An
# earlier hedge would add load without need; a later one would come too late.
DEFAULT_SHARE = 0.45
MIN_SHARE = 0.2
MAX_SHARE = 0.7


class ObjectiveHedges:
    """Implements `edge.policies.Hedges` for routes with an objective.

    An entry sees few requests of each route, so the objective predicts the
    usual latency better than the first responses do.

    Args:
        objective: Returns the objective of a route in seconds, 0 for none.
    """

    def __init__(self, objective: Callable[[str], float]) -> None:
        self._objective = objective
        self._delays: dict[str, retry.HedgeDelay] = {}

    def delay(self, route: str) -> float | None:
        """Returns the hedge delay in seconds, or None for no hedge."""
        objective = self._objective(route)
        if not objective:
            return None
        found = self._delays.get(route)
        seconds = found.seconds() if found is not None else None
        if seconds is None:
            return DEFAULT_SHARE * objective
        return min(max(MIN_SHARE * objective, seconds), MAX_SHARE * objective)

    def answered(self, route: str, seconds: float) -> None:
        """Records the seconds from the first attempt to the first head."""
        self._delays.setdefault(route, retry.HedgeDelay()).observe(seconds)
