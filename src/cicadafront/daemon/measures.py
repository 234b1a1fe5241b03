"""Metrics that are read from the parts when they are served."""

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
    """Load of the targets beside this instance, by service."""

    def __init__(
        self,
        registry: announce.TargetRegistry,
        beside: targets.LocalTargets,
        slots: queue.Queue,
    ):
        self._registry = registry
        self._beside = beside
        self._slots = slots

    def sums(self, measure: Measure) -> Callable[[], dict[str, float]]:
        """Returns a function that adds up a measure by service."""

        def read() -> dict[str, float]:
            total: collections.Counter[str] = collections.Counter()
            for known in self._registry.targets():
                found = self._beside.local(known.id)
                if found is not None:
                    load = self._slots.load(known.id)
                    total[known.service] += measure(found.target, load)
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
    """Registers what the parts of the fleet count themselves."""
    measured: dict[str, Measure] = {
        "slots_in_use": lambda _, load: load.slots_in_use,
        "queued": lambda _, load: load.queued,
        "ejected_targets": _is_ejected,
    }
    for name, measure in measured.items():
        values.gauge_by(name, "service", load.sums(measure))
    values.total_by("gossip_bytes", "direction", lambda: membership.traffic)
    values.total_by("store_calls", "result", lambda: store.calls)
    values.total_by("records", "result", lambda: records.begun)
    values.total_by(
        "credit",
        "result",
        lambda: {
            "admitted": admission.admitted.total(),
            "refused": admission.refused.total(),
        },
    )
