"""Metrics in Prometheus text form, by the client library."""

from collections.abc import Iterable

import prometheus_client
from prometheus_client import core, registry

from cicadafront.telemetry import metrics


def text(values: metrics.Metrics) -> bytes:
    """Returns all metrics in Prometheus text form."""
    return prometheus_client.generate_latest(_Collector(values))


class _Collector(registry.Collector):
    """Yields the metrics for the client library."""

    def __init__(self, values: metrics.Metrics):
        self._values = values

    def collect(self) -> Iterable[core.Metric]:
        found = self._values
        for name, values in sorted(found.counters.items()):
            yield _family(name, "counter", values, "_total")
        for name, read in sorted(found.totals.items()):
            yield _family(name, "counter", read(), "_total")
        for name, read in sorted(found.gauges.items()):
            yield _family(name, "gauge", read(), "")
        for name, latencies in sorted(found.latencies.items()):
            yield _summary(name, latencies)


def _family(
    name: str,
    kind: str,
    values: dict[metrics.Labels, float],
    suffix: str,
) -> core.Metric:
    full = f"{metrics.NAMESPACE}_{name}"
    family = core.Metric(full, name.replace("_", " "), kind)
    for labels, value in values.items():
        family.add_sample(full + suffix, dict(labels), value)
    return family


def _summary(
    name: str, latencies: dict[metrics.Labels, metrics.Latency]
) -> core.Metric:
    full = f"{metrics.NAMESPACE}_{name}_seconds"
    family = core.Metric(full, name.replace("_", " "), "summary")
    for labels, latency in latencies.items():
        given = dict(labels)
        for share in metrics.QUANTILES:
            family.add_sample(
                full,
                {**given, "quantile": str(share)},
                latency.quantile(share),
            )
        count = latency.values.get_total_count()
        family.add_sample(full + "_count", given, count)
        family.add_sample(full + "_sum", given, latency.seconds)
    return family
