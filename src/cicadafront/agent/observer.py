"""What an agent reports about the work of its targets."""

from typing import Protocol

import attrs

from cicadafront.peer import exchange


@attrs.frozen
class Completed:
    """The answer arrived whole.

    Attributes:
        status: HTTP status.
        seconds: Time from the end of the request to the head of the answer.
    """

    status: int
    seconds: float


@attrs.frozen
class Failed:
    """The exchange failed at the target.

    Attributes:
        kind: `refused` (no connection), `closed` (no answer), `short` (the
            body ended early), `mangled` (no valid answer, bytes beyond, or a
            wrong digest), `endless` (no end of the answer in time, or beyond
            any size), `crossed` (answer to another request), `unstated` (a
            refusal that does not state that the request did not run) or
            `stalled` (given up because the target is ejected).
    """

    kind: str


@attrs.frozen
class Stalled:
    """The deadline passed while the target ran the request.

    Attributes:
        seconds: Time since the hand-over.
    """

    seconds: float


@attrs.frozen
class Shed:
    """The target states that it did not run the request."""

    status: int


@attrs.frozen
class Cancelled:
    """The caller gave up; this says nothing about the target."""


Outcome = Completed | Failed | Stalled | Shed | Cancelled


class Observer(Protocol):
    """Judges targets by their work."""

    def started(
        self, now: float, target: str, request: exchange.OpenRequest
    ) -> object:
        """Notes a request that is wholly with the target.

        Returns:
            A token for `answered` and `finished`.
        """

    def answered(self, now: float, token: object, status: int) -> None:
        """Notes the head of the answer; the caller paces what follows."""

    def finished(self, now: float, token: object, outcome: Outcome) -> None:
        """Notes the end of an exchange."""

    def mangled(self, now: float, target: str) -> None:
        """Notes bytes from a target that belong to no request."""


class NullObserver:
    """Judges nothing."""

    def started(
        self, now: float, target: str, request: exchange.OpenRequest
    ) -> object:
        """Returns an empty token."""

    def answered(self, now: float, token: object, status: int) -> None:
        """Ignores the head."""

    def finished(self, now: float, token: object, outcome: Outcome) -> None:
        """Ignores the outcome."""

    def mangled(self, now: float, target: str) -> None:
        """Ignores stray bytes."""
