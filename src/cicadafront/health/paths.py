"""Monitors network paths to other instances, independently of targets.

New requests avoid a failed path. A path failure is not counted against any
target. The path is tried again after an exponential backoff.
"""

import random
from collections.abc import Callable

import attrs

# Send a heartbeat on a link with open streams after this time without frames.
PING_AFTER_SECONDS = 0.5
# New requests avoid a path whose heartbeat is unanswered for this long. A
# round trip takes a few ms. The link is closed only after `CLOSE_SECONDS`.
AVOID_SECONDS = 0.2
CLOSE_SECONDS = 1.5
RETRY_FIRST_SECONDS = 1.0
RETRY_MAX_SECONDS = 30.0
# Validity of a report that another instance receives nothing from this one.
ONE_WAY_SECONDS = 10.0


@attrs.frozen
class Ping:
    """Send a heartbeat to an instance."""

    instance: str


@attrs.frozen
class Close:
    """Close the link to an instance."""

    instance: str


Action = Ping | Close


@attrs.define
class _Path:
    streams: int = 0
    last_frame: float = 0.0
    pinged: float | None = None
    avoided_until: float = 0.0
    backoff: float = 0.0
    one_way_until: float = 0.0


class Paths:
    """State of the path to each instance that this entry uses.

    Args:
        rng: Source of the backoff jitter.
        failed: Called with the instance when its path becomes unusable.
    """

    def __init__(
        self,
        rng: random.Random,
        failed: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._rng = rng
        self._failed = failed
        self._paths: dict[str, _Path] = {}

    def usable(self, now: float, instance: str) -> bool:
        """Returns whether new requests may use the direct path."""
        path = self._paths.get(instance)
        if path is None:
            return True
        return now >= max(path.avoided_until, path.one_way_until)

    def opened(self, now: float, instance: str) -> None:
        """Records an established connection."""
        path = self._path(now, instance)
        path.last_frame = now
        path.pinged = None

    def open_failed(self, now: float, instance: str) -> None:
        """Records a failed connection attempt."""
        self._avoid(now, instance)

    def stream_opened(self, now: float, instance: str) -> None:
        """Records a request sent over the link."""
        path = self._path(now, instance)
        if not path.streams:
            path.last_frame = now
        path.streams += 1

    def stream_closed(self, now: float, instance: str) -> None:
        """Records the end of a request on the link."""
        path = self._path(now, instance)
        path.streams = max(0, path.streams - 1)

    def frame_received(self, now: float, instance: str) -> None:
        """Records a received frame, which shows that the path is usable."""
        path = self._path(now, instance)
        path.last_frame = now
        path.pinged = None
        path.backoff = 0.0
        path.avoided_until = 0.0

    def one_way_reported(self, now: float, instance: str) -> None:
        """Records a report that the instance receives nothing from this one."""
        self._path(now, instance).one_way_until = now + ONE_WAY_SECONDS
        self._failed(instance)

    def one_way_cleared(self, now: float, instance: str) -> None:
        """Records a report that the instance receives from this one again."""
        self._path(now, instance).one_way_until = 0.0

    def forget(self, instance: str) -> None:
        """Removes the state of an instance that has left."""
        self._paths.pop(instance, None)

    def tick(self, now: float) -> list[Action]:
        """Returns the heartbeats to send and the links to close."""
        actions: list[Action] = []
        for instance, path in self._paths.items():
            if path.pinged is None:
                if path.streams and now - path.last_frame >= PING_AFTER_SECONDS:
                    path.pinged = now
                    actions.append(Ping(instance))
            elif now - path.pinged >= CLOSE_SECONDS:
                path.pinged = None
                path.streams = 0
                actions.append(Close(instance))
                self._avoid(now, instance)
            elif now - path.pinged >= AVOID_SECONDS and self.usable(
                now, instance
            ):
                self._avoid(now, instance)
        return actions

    def _avoid(self, now: float, instance: str) -> None:
        path = self._path(now, instance)
        path.backoff = min(
            RETRY_MAX_SECONDS, max(RETRY_FIRST_SECONDS, 2 * path.backoff)
        )
        wait = path.backoff * self._rng.uniform(0.8, 1.2)
        path.avoided_until = max(path.avoided_until, now + wait)
        self._failed(instance)

    def _path(self, now: float, instance: str) -> _Path:
        path = self._paths.get(instance)
        if path is None:
            path = self._paths[instance] = _Path(last_frame=now)
        return path
