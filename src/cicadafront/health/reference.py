"""Compares a target with the other targets of its service.

Each agent sends a compact summary of each of its targets to the agents of the
same service every few seconds, and immediately on request of an agent whose
own target may be gray. A target is compared with the median of the others. A
few gray targets do not change the median, but a slowdown of the whole service
does.
"""

import hashlib
import math
import statistics
import struct
from collections.abc import Iterable

import attrs

from cicadafront.health import evidence

# Maximum age of a summary.
SUMMARY_TTL_SECONDS = 30.0
# A report is used for comparison if it has at least this many recent requests
# and, for its `slowdown`, this many latencies.
MIN_ACTIVE_REQUESTS = 2
MIN_RATIO_SAMPLES = 3
MAX_ROUTES = 4
MIN_ROUTE_SAMPLES = 16

# Lifetime of a cached reference; later it is rebuilt without expired summaries.
_CACHE_SECONDS = 1.0

_HEAD = struct.Struct("!8s4sBBBB")
_ROUTE = struct.Struct("!4sBBB")
_SMALLEST_SECONDS = 1e-4
_STEPS_PER_OCTAVE = 8
_LEVEL_STEPS = 7.0
_SLOWDOWN_STEPS_PER_OCTAVE = 12


def digest(text: str, size: int) -> bytes:
    """Returns the digest, of `size` bytes, of an id in a summary."""
    return hashlib.blake2b(text.encode(), digest_size=size).digest()


def target_key(target: str) -> bytes:
    """Returns the 8-byte key of a target."""
    return digest(target, 8)


def route_key(route: str) -> bytes:
    """Returns the 4-byte key of a route within its service."""
    return digest(route, 4)


@attrs.frozen
class RouteSummary:
    """Latency quantiles of one route at one target, in seconds."""

    route: bytes
    count: int
    p90: float
    p99: float


@attrs.frozen
class Summary:
    """Evidence and latencies of one target.

    Attributes:
        target: Key of the target.
        levels: Evidence against the target, by signal.
        recent: Number of requests started in the last 4 s.
        slowdown_samples: Number of latencies in `slowdown`; 0 unless the
            summary was requested.
        slowdown: Upper quartile of the latencies in the requested time window,
            each divided by the long-term p90 of its route.
        routes: The most used routes.
    """

    target: bytes
    levels: tuple[float, float, float, float]
    recent: int
    slowdown_samples: int = 0
    slowdown: float = 1.0
    routes: tuple[RouteSummary, ...] = ()

    def encode(self) -> bytes:
        """Encodes the summary in 16 bytes, and 7 more for each route."""
        levels = bytes(
            min(255, round(level * _LEVEL_STEPS)) for level in self.levels
        )
        routes = self.routes[:MAX_ROUTES]
        head = _HEAD.pack(
            self.target,
            levels,
            min(255, self.recent),
            min(255, self.slowdown_samples),
            _pack_slowdown(self.slowdown),
            len(routes),
        )
        return head + b"".join(
            _ROUTE.pack(
                item.route,
                min(255, item.count),
                _pack_seconds(item.p90),
                _pack_seconds(item.p99),
            )
            for item in routes
        )

    @classmethod
    def decode(cls, data: bytes) -> "Summary":
        """Decodes a summary.

        Raises:
            ValueError: The bytes are malformed.
        """
        if len(data) < _HEAD.size:
            raise ValueError(f"summary of {len(data)} bytes is too short")
        target, levels, recent, slowdown_samples, slowdown, count = (
            _HEAD.unpack_from(data)
        )
        if len(data) != _HEAD.size + count * _ROUTE.size:
            raise ValueError(
                f"summary of {len(data)} bytes does not fit {count} routes"
            )
        routes = tuple(
            RouteSummary(
                route, many, _unpack_seconds(p90), _unpack_seconds(p99)
            )
            for route, many, p90, p99 in _ROUTE.iter_unpack(data[_HEAD.size :])
        )
        values = [level / _LEVEL_STEPS for level in levels]
        return cls(
            target,
            (values[0], values[1], values[2], values[3]),
            recent,
            slowdown_samples,
            2.0 ** ((slowdown - 128) / _SLOWDOWN_STEPS_PER_OCTAVE),
            routes,
        )


def _pack_slowdown(slowdown: float) -> int:
    code = 128 + round(
        _SLOWDOWN_STEPS_PER_OCTAVE * math.log2(max(slowdown, 1e-3))
    )
    return min(255, max(0, code))


def _pack_seconds(seconds: float) -> int:
    ratio = max(seconds, _SMALLEST_SECONDS) / _SMALLEST_SECONDS
    return min(255, math.ceil(_STEPS_PER_OCTAVE * math.log2(ratio)))


def _unpack_seconds(code: int) -> float:
    return _SMALLEST_SECONDS * 2.0 ** (code / _STEPS_PER_OCTAVE)


@attrs.frozen
class RouteReference:
    """Median latency quantiles of a route, in seconds."""

    p90: float
    p99: float


@attrs.frozen
class Reference:
    """Reports of the other targets of a service, for one target.

    Attributes:
        others: Time of receipt, in seconds, and summary of each other target.
        routes: Latencies by route key.
    """

    others: tuple[tuple[float, Summary], ...] = ()
    routes: dict[bytes, RouteReference] = attrs.field(factory=dict)

    def fresh(self, since: float) -> bool:
        """Returns whether most of the others have reported since a time."""
        count = sum(received >= since for received, _ in self.others)
        return 2 * count > len(self.others)

    def active_reports(self, since: float) -> list[Summary]:
        """Returns reports since a time of targets with recent requests.

        Returns none if there is only one and the service has several other
        targets, because one report is too few for a comparison.
        """
        found = [
            summary
            for received, summary in self.others
            if received >= since and summary.recent >= MIN_ACTIVE_REQUESTS
        ]
        return found if len(found) >= min(2, len(self.others)) else []

    def level(self, signal: evidence.Signal, since: float) -> float | None:
        """Returns the median evidence of the others; None if unknown."""
        return _median(s.levels[signal] for s in self.active_reports(since))

    def slowdown(self, since: float) -> float | None:
        """Returns the median slowdown of the others; None if unknown."""
        found = [
            summary.slowdown
            for summary in self.active_reports(since)
            if summary.slowdown_samples >= MIN_RATIO_SAMPLES
        ]
        return _median(found) if len(found) > 1 else None


def _median(values: Iterable[float]) -> float | None:
    found = list(values)
    return statistics.median(found) if found else None


class References:
    """Stores the summaries of the targets of one service."""

    def __init__(self) -> None:
        self._summaries: dict[bytes, tuple[float, Summary]] = {}
        self._cache: dict[bytes, tuple[float, Reference]] = {}

    def learn(self, now: float, summary: Summary) -> None:
        """Stores the latest summary of a target."""
        self._summaries[summary.target] = (now, summary)
        self._cache.clear()

    def retain(self, targets: Iterable[str]) -> None:
        """Removes the summaries of all targets but the given ones."""
        keys = {target_key(target) for target in targets}
        for key in self._summaries.keys() - keys:
            del self._summaries[key]
        self._cache.clear()

    def reference(self, now: float, target: str) -> Reference:
        """Returns the reference for one target."""
        own = target_key(target)
        made, found = self._cache.get(own, (-math.inf, Reference()))
        if now - made < _CACHE_SECONDS:
            return found
        others = tuple(
            (received, summary)
            for key, (received, summary) in self._summaries.items()
            if key != own and now - received <= SUMMARY_TTL_SECONDS
        )
        found = Reference(others, _route_references(others))
        self._cache[own] = (now, found)
        return found


def _route_references(
    others: tuple[tuple[float, Summary], ...],
) -> dict[bytes, RouteReference]:
    by_route: dict[bytes, list[RouteSummary]] = {}
    for _, summary in others:
        for item in summary.routes:
            by_route.setdefault(item.route, []).append(item)
    return {
        route: RouteReference(
            statistics.median(item.p90 for item in items),
            statistics.median(item.p99 for item in items),
        )
        for route, items in by_route.items()
        if sum(item.count for item in items) >= MIN_ROUTE_SAMPLES
    }
