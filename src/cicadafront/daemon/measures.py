"""Metrics whose values are read from the components on each scrape."""

import collections
from collections.abc import Callable

from cicadafront import model
from cicadafront.agent import queue, targets
from cicadafront.daemon import counted
from cicadafront.membership import announce, service
from cicadafront.peer import exchange
from cicadafront.store import client
from cicadafront.telemetry import metrics

Measure = Callable[[model.Target, exchange.Load], int]


class LocalLoad:
    """Load of the local targets by service."""

    def __init__(
        self,
        registry: announce.TargetRegistry,
        local_targets: targets.LocalTargets,
        slots: queue.Queue,
    ):
        self._registry = registry
        self._local_targets = local_targets
        self._slots = slots

    def sums(self, measure: Measure) -> Callable[[], dict[str, float]]:
        """Returns a function that sums a measure by service."""

        def read() -> dict[str, float]:
            total: collections.Counter[str] = collections.Counter()
            for registered in self._registry.targets():
                local = self._local_targets.local(registered.id)
                if local is not None:
                    load = self._slots.load(registered.id)
                    total[registered.service] += measure(local.target, load)
            return dict(total)

        return read


def _is_ejected(target: model.Target, _load: exchange.Load) -> int:
    return target.state is model.TargetState.EJECTED


def register(
    values: metrics.Metrics,
    load: LocalLoad,
    membership: service.MembershipService,
    store: client.HttpStore,
    admission: counted.CountedAdmission,
    records: counted.CountedRecords,
) -> None:
    """Registers the metrics that the fleet components keep themselves."""
    gauges: dict[str, Measure] = {
        "slots_in_use": lambda _, load: load.slots_in_use,
        "queued": lambda _, load: load.queued,
        "ejected_targets": _is_ejected,
    }
    for name, measure in gauges.items():
        values.gauge_by(name, "service", load.sums(measure))
    values.total_by("gossip_bytes", "direction", lambda: membership.traffic)
    values.total_by("store_calls", "result", lambda: store.calls)
    values.total_by("records", "result", lambda: records.begin_results)
    values.total_by(
        "credit",
        "result",
        lambda: {
            "admitted": admission.admitted.total(),
            "refused": admission.refused.total(),
        },
    )
