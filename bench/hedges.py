"""Measures read latency with one slow target, with and without hedging.

The forwarder of the entry runs in virtual time in front of simulated targets.
A normal target responds after 8 to 12 ms, the slow one after 300 ms. Each
target has 3 slots and a queue. Ejection is left out, so that the slow target
stays in use.

    PYTHONPATH=src python -m bench.hedges --seeds 5
"""

import argparse
import collections
import random

from twisted.internet import task

from cicadafront import model
from cicadafront.edge import forward
from cicadafront.peer import exchange
from cicadafront.routing import hedges, picker, retry_budgets
from tests.support import memory

SLOTS = 3
USUAL_SECONDS = (0.008, 0.012)
SLOW_SECONDS = 0.3
RATE_PER_TARGET = 20
# Requests left out of the figures, until the p95 for the hedge delay is known.
WARM_UP = 500
STEP_SECONDS = 0.0005


class _Target:
    """Simulated target with a fixed number of slots and a FIFO queue."""

    def __init__(self, clock, rng, slow):
        self._clock, self._rng, self._slow = clock, rng, slow
        self._waiting = collections.deque()
        self._running = 0

    def open(self, response):
        self._waiting.append(response)
        self._start_next()
        return self

    def _start_next(self):
        while self._waiting and self._running < SLOTS:
            response = self._waiting.popleft()
            self._running += 1
            usual = self._rng.uniform(*USUAL_SECONDS)
            seconds = SLOW_SECONDS if self._slow else usual
            self._clock.callLater(seconds, self._answer, response)

    def _answer(self, response):
        self._running -= 1
        load = exchange.Load(self._running, len(self._waiting))
        response.head(model.ResponseHead(200, ()), load)
        response.end()
        self._start_next()

    def body(self, data):
        pass

    def end(self):
        pass

    def cancel(self):
        pass

    def consumed(self, count):
        pass


class _Caller(memory.Response):
    """Records the latency of its response, in seconds."""

    def __init__(self, clock, seconds):
        super().__init__()
        self._clock, self._started_at, self._seconds = (
            clock,
            clock.seconds(),
            seconds,
        )

    def end(self):
        self._seconds.append(self._clock.seconds() - self._started_at)


def run(seed: int, targets: int, requests: int, hedge: bool) -> tuple:
    """Returns the sorted latencies in seconds and the counters of the entry."""
    clock, rng = task.Clock(), random.Random(seed)
    target_records = [
        model.Target(f"t{n}", "s", f"i{n}", SLOTS) for n in range(targets)
    ]
    simulated_targets = {
        target.id: _Target(clock, rng, target.id == "t0")
        for target in target_records
    }
    fields = {"hedges": hedges.ServiceHedges()} if hedge else {}
    edge_dependencies = memory.edge_dependencies(
        clock,
        memory.Opener(),
        targets=target_records,
        picker=picker.Picker(rng, lambda _: target_records),
        budget=retry_budgets.RetryBudgets(),
        open_at=lambda _, request, response: simulated_targets[
            request.target
        ].open(response),
        **fields,
    )
    # Longer than the slow start of a new target, which limits its load.
    clock.advance(60)
    forwarder, seconds = forward.Forwarder(edge_dependencies), []
    head = model.RequestHead("GET", "/open", ((b"Host", b"h"),))
    due = clock.seconds()
    for _ in range(requests + WARM_UP):
        due += rng.expovariate(RATE_PER_TARGET * targets)
        while clock.seconds() < due:
            clock.advance(STEP_SECONDS)
        forwarder.begin(head, "", _Caller(clock, seconds)).end()
    clock.advance(10)
    return sorted(seconds[WARM_UP:]), edge_dependencies.counts


def main() -> None:
    """Prints latency quantiles for several numbers of targets."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=4000)
    options = parser.parse_args()
    print("targets seed hedges  p50 ms  p95 ms  p99 ms  hedged   won")
    for targets in (6, 12, 24):
        for seed in range(1, options.seeds + 1):
            for hedge in (False, True):
                values, counts = run(seed, targets, options.requests, hedge)
                p50, p95, p99 = (
                    values[int(share * (len(values) - 1))] * 1000
                    for share in (0.5, 0.95, 0.99)
                )
                print(
                    f"{targets:7} {seed:4} {'yes' if hedge else 'no':6} "
                    f"{p50:7.1f} {p95:7.1f} {p99:7.1f} "
                    f"{counts['hedges']:7} {counts['hedges_won']:5}"
                )


if __name__ == "__main__":
    main()
