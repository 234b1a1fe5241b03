"""Determines at which targets a request may run; free of I/O.

Two rules apply: no request is sent to the targets of an evacuated data centre,
and a request with allowed areas runs only there.
"""

from collections.abc import Mapping, Sequence

import attrs

from cicadafront import model

AllowedAreas = Sequence[Sequence[str]]


@attrs.frozen
class Eligibility:
    """The rules in force at one instance.

    Attributes:
        known: Whether it is known which data centres are evacuated. Until then
            no request is sent to any target.
        evacuated: Data centres whose targets get no requests.
        areas: Area of each data centre; empty if areas are not checked.
        own_area: Area of this instance, whose callers sent their bodies here.
    """

    known: bool = True
    evacuated: frozenset[str] = frozenset()
    areas: Mapping[str, str] = attrs.field(factory=dict)
    own_area: str = ""

    def restricts(self, allowed: AllowedAreas) -> bool:
        """Returns whether any target may be ineligible."""
        return bool(
            not self.known or self.evacuated or (self.areas and any(allowed))
        )

    def may_run(self, data_centre: str, allowed: AllowedAreas) -> bool:
        """Returns whether a request may run at targets of a data centre.

        Args:
            data_centre: Data centre of the target.
            allowed: Lists of allowed areas, all of which apply; an empty list
                allows any area.
        """
        return (
            self.known
            and data_centre not in self.evacuated
            and self._allows(self.areas.get(data_centre, ""), allowed)
        )

    def may_relay(self, data_centre: str, allowed: AllowedAreas) -> bool:
        """Returns whether an instance may pass on the body of a request.

        Evacuations concern only targets. The body is already in the area of
        this instance, so that others in that area may have it too.
        """
        area = self.areas.get(data_centre, "")
        if self.own_area and area == self.own_area:
            return True
        return self._allows(area, allowed)

    def ineligible(
        self, targets: Sequence[model.Target], allowed: AllowedAreas
    ) -> frozenset[str]:
        """Returns the ids of the targets at which a request may not run."""
        if not self.restricts(allowed):
            return frozenset()
        return frozenset(
            target.id
            for target in targets
            if not self.may_run(target.data_centre, allowed)
        )

    def _allows(self, area: str, allowed: AllowedAreas) -> bool:
        if not self.areas:
            return True
        return all(not names or area in names for names in allowed)


UNRESTRICTED = Eligibility()
