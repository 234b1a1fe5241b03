"""Outcomes of exchanges that an agent reports for health tracking."""

from typing import Protocol

import attrs

from cicadafront.peer import exchange


@attrs.frozen
class Completed:
    """The response arrived completely.

    Attributes:
        status: HTTP status.
        seconds: Time from the end of the request to the response head.
    """

    status: int
    seconds: float


@attrs.frozen
class Failed:
    """The exchange failed at the target.

    Attributes:
        kind: `refused` (no connection), `closed` (no response), `short` (the
            body was truncated), `mangled` (invalid response, bytes after the
            response, or wrong digest), `endless` (response not complete at
            the deadline, or too large), `crossed` (response to another
            request), `unstated` (a refusal without the statement that the
            request did not run) or `stalled` (abandoned because the target
            was ejected).
    """

    kind: str


@attrs.frozen
class Stalled:
    """The deadline passed while the target ran the request.

    Attributes:
        seconds: Time since the complete request was handed to the target.
    """

    seconds: float


@attrs.frozen
class Shed:
    """The target stated that it did not run the request.

    Attributes:
        status: HTTP status.
    """

    status: int


@attrs.frozen
class Cancelled:
    """The caller cancelled the request; says nothing about the target."""


Outcome = Completed | Failed | Stalled | Shed | Cancelled


class Observer(Protocol):
    """Tracks the health of targets by the outcomes of their requests."""

    def started(
        self, now: float, target: str, request: exchange.OpenRequest
    ) -> object:
        """Records that the target has received a complete request.

        Returns:
            A token to pass to `answered` and `finished`.
        """

    def answered(self, now: float, token: object, status: int) -> None:
        """Records the response head.

        The time of the response body depends on how fast the caller reads.
        """

    def finished(self, now: float, token: object, outcome: Outcome) -> None:
        """Records the outcome of an exchange."""

    def mangled(self, now: float, target: str) -> None:
        """Records unsolicited data from a target."""


class NullObserver:
    """An observer that ignores all reports."""

    def started(
        self, now: float, target: str, request: exchange.OpenRequest
    ) -> object:
        """Returns None as token."""

    def answered(self, now: float, token: object, status: int) -> None:
        """Ignores the head."""

    def finished(self, now: float, token: object, outcome: Outcome) -> None:
        """Ignores the outcome."""

    def mangled(self, now: float, target: str) -> None:
        """Ignores unsolicited data."""
