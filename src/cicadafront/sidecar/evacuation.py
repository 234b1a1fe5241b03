"""Connects the evacuations and areas to the parts of an instance."""

from collections.abc import Callable, Mapping

from cicadafront.config import evacuation_follow
from cicadafront.routing import eligibility
from cicadafront.telemetry import metrics

Handler = Callable[[], None]


class EvacuationRules:
    """The rules on where requests may run, as this instance knows them.

    Args:
        data_centre: Data centre of this instance.
        areas: Area of each data centre; empty if areas are not checked.
        follower: Follows the evacuations; None if data centres are never
            evacuated.
        refuse_queued: Refuses the requests that wait for the local target.
    """

    def __init__(
        self,
        data_centre: str,
        areas: Mapping[str, str],
        follower: evacuation_follow.EvacuationFollower | None,
        refuse_queued: Handler,
    ):
        self._data_centre = data_centre
        self._follower = follower
        self._refuse_queued = refuse_queued
        self._handlers: list[Handler] = []
        self._current = eligibility.UNRESTRICTED
        self.set_areas(areas)
        if follower is not None:
            follower.on_change(self._changed)

    @property
    def known(self) -> bool:
        """Whether it is known which data centres are evacuated."""
        return self._current.known

    def eligibility(self) -> eligibility.Eligibility:
        """Returns the rules in force."""
        return self._current

    def evacuated(self) -> bool:
        """Returns whether no request may be sent to the local target.

        This includes the time in which it is not known yet.
        """
        return (
            not self._current.known
            or self._data_centre in self._current.evacuated
        )

    def on_change(self, handler: Handler) -> None:
        """Registers a handler that is called after each change."""
        self._handlers.append(handler)

    def set_areas(self, areas: Mapping[str, str]) -> None:
        """Sets the area of each data centre."""
        follower = self._follower
        self._current = eligibility.Eligibility(
            follower is None or follower.known,
            frozenset() if follower is None else follower.evacuated(),
            dict(areas),
            areas.get(self._data_centre, ""),
        )

    def register_metrics(self, values: metrics.Metrics) -> None:
        """Registers the metrics, if data centres may be evacuated."""
        follower = self._follower
        if follower is None:
            return
        values.gauge("evacuations_known", lambda: int(follower.known))
        values.gauge_by(
            "data_centre_evacuated",
            "data_centre",
            lambda: dict.fromkeys(sorted(follower.evacuated()), 1),
        )
        values.gauge(
            "evacuations_revision",
            lambda: follower.held.changed if follower.held else 0,
        )

    def _changed(self, added: frozenset[str], removed: frozenset[str]) -> None:
        self.set_areas(self._current.areas)
        if self.evacuated():
            self._refuse_queued()
        for handler in self._handlers:
            handler()
