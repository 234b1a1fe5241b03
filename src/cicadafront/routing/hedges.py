"""Hedge delays of all services at one entry."""

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
