"""Measures the latency of reads with one slow target, with and without hedges.

The real entry runs on virtual time in front of simulated targets. A usual
target answers after 8 to 12 ms, the slow one after 300 ms; each has 3 slots
and a queue. Ejection is left out, so that the slow target stays in use.

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
# Requests that are not counted, until the p95 is known.
WARM_UP = 500
STEP_SECONDS = 0.0005


class _Target:
    """Runs requests in its slots, first in, first out."""

    def __init__(self, clock, rng, slow):
        self._clock, self._rng, self._slow = clock, rng, slow
        self._waiting = collections.deque()
        self._running = 0

    def open(self, response):
        self._waiting.append(response)
        self._next()
        return self

    def _next(self):
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
        self._next()

    def body(self, data):
        pass

    def end(self):
        pass

    def cancel(self):
        pass

    def consumed(self, count):
        pass


class _Caller(memory.Response):
    """Notes how long its answer took."""

    def __init__(self, clock, seconds):
        super().__init__()
        self._clock, self._began, self._seconds = (
            clock,
            clock.seconds(),
            seconds,
        )

    def end(self):
        self._seconds.append(self._clock.seconds() - self._began)


def run(seed: int, targets: int, requests: int, hedge: bool) -> tuple:
    """Returns the sorted latencies in seconds and the entry's counts."""
    clock, rng = task.Clock(), random.Random(seed)
    known = [model.Target(f"t{n}", "s", f"i{n}", SLOTS) for n in range(targets)]
    places = {
        target.id: _Target(clock, rng, target.id == "t0") for target in known
    }
    fields = {"hedges": hedges.ServiceHedges()} if hedge else {}
    edge_dependencies = memory.edge_dependencies(
        clock,
        memory.Opener(),
        targets=known,
        picker=picker.Picker(rng, lambda _: known),
        budget=retry_budgets.RetryBudgets(),
        open_at=lambda _, request, response: places[request.target].open(
            response
        ),
        **fields,
    )
    # Longer than the time in which a new target gets less work.
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
    """Prints quantiles for several sizes of the service."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=4000)
    given = parser.parse_args()
    print("targets seed hedges  p50 ms  p95 ms  p99 ms  hedged   won")
    for targets in (6, 12, 24):
        for seed in range(1, given.seeds + 1):
            for hedge in (False, True):
                values, counts = run(seed, targets, given.requests, hedge)
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
