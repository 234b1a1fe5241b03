"""Counters, gauges and latency histograms in the Prometheus text format."""

from collections.abc import Callable, Mapping

import attrs
from hdrh import histogram

NAMESPACE = "cicadafront"
# Largest value of a histogram, in microseconds. Higher latencies are clamped.
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
# Two significant digits correspond to 256 steps per power of two.
PRECISION_BITS = 8
MAX_PENDING = 512
QUANTILES = (0.5, 0.9, 0.99, 0.999)
# A histogram takes about 25 KB. Label values above this number share one
# histogram, so that 880 services do not take tens of megabytes per instance.
MAX_HISTOGRAMS = 256
# Maximum number of series of one counter. It allows for the number of
# services times the few codes that occur for each of them.
MAX_SERIES = 8192
OTHER = "other"

Labels = tuple[tuple[str, str], ...]
Reader = Callable[[], dict[Labels, float]]


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return histogram.HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


@attrs.define
class Latency:
    """Histogram of durations and their sum.

    Attributes:
        seconds: Sum of all durations.
    """

    seconds: float = 0.0
    _histogram: histogram.HdrHistogram = attrs.field(factory=new_histogram)
    # Counts by value that are not in the histogram yet. They are added in
    # batches because adding costs more than the rest of a measurement.
    _pending: dict[int, int] = attrs.field(factory=dict)

    def record(self, seconds: float) -> None:
        """Adds one duration in seconds."""
        micros = min(max(1, int(seconds * 1e6)), MAX_MICROSECONDS)
        # The histogram only distinguishes values by these leading bits.
        shift = max(0, micros.bit_length() - PRECISION_BITS)
        value = micros >> shift << shift
        pending = self._pending
        pending[value] = pending.get(value, 0) + 1
        self.seconds += seconds
        if len(pending) > MAX_PENDING:
            self._add_pending()

    @property
    def values(self) -> histogram.HdrHistogram:
        """Histogram of microseconds."""
        self._add_pending()
        return self._histogram

    def _add_pending(self) -> None:
        for value, count in self._pending.items():
            self._histogram.record_value(value, count)
        self._pending.clear()

    def quantile(self, share: float) -> float:
        """Returns a quantile in seconds.

        Args:
            share: Quantile, from 0 to 1.
        """
        return self.values.get_value_at_percentile(share * 100) / 1e6


def _labels(labels: dict[str, str]) -> Labels:
    if len(labels) == 1:
        return tuple(labels.items())
    return tuple(sorted(labels.items()))


def _overflow_labels(key: Labels) -> Labels:
    return tuple((label, OTHER) for label, _ in key)


def _labelled(label: str, read: Callable[[], Mapping[str, float]]) -> Reader:
    return lambda: {((label, key),): value for key, value in read().items()}


@attrs.define
class Metrics:
    """All metrics of one instance.

    Attributes:
        counters: Counter values by name and labels.
        totals: Functions that read counters kept by a component, by name.
        gauges: Functions that read current values, by name.
        latencies: Histograms by name and labels.
    """

    counters: dict[str, dict[Labels, float]] = attrs.field(factory=dict)
    totals: dict[str, Reader] = attrs.field(factory=dict)
    gauges: dict[str, Reader] = attrs.field(factory=dict)
    latencies: dict[str, dict[Labels, Latency]] = attrs.field(factory=dict)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increments a counter.

        Above `MAX_SERIES` series, new label values are counted as `OTHER`.
        """
        values = self.counters.setdefault(name, {})
        key = _labels(labels)
        if key not in values and len(values) >= MAX_SERIES:
            key = _overflow_labels(key)
        values[key] = values.get(key, 0) + amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a gauge without labels, read when metrics are served."""
        self.gauges[name] = lambda: {(): read()}

    def gauge_by(
        self, name: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Registers a gauge with one label, read when metrics are served."""
        self.gauges[name] = _labelled(label, read)

    def total_by(
        self, name: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Registers a counter with one label that its component maintains."""
        self.totals[name] = _labelled(label, read)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Records a duration in seconds.

        Above `MAX_HISTOGRAMS` histograms, new label values are recorded as
        `OTHER`.
        """
        values = self.latencies.setdefault(name, {})
        key = _labels(labels)
        latency = values.get(key)
        if latency is None:
            if len(values) >= MAX_HISTOGRAMS:
                key = _overflow_labels(key)
            latency = values.setdefault(key, Latency())
        latency.record(seconds)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        # Imported here because importing the client library takes a tenth of
        # the start-up time, and only the first scrape needs it.
        from cicadafront.telemetry import exposition

        return exposition.text(self)
