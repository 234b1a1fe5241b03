"""Measures how a fleet that starts at once finds itself, on a virtual clock.

All instances start within 0.3 s; each of their targets announces itself within
1.5 s after that. It prints, for each size, the times from the first start until
every instance can route to every service and until every instance knows every
target, and the cost to an instance until then.

Usage: python -m bench.cold_start --sizes 30 100 300 --seed 1
"""

import argparse
import time

from cicadafront.sidecar import assembly
from tests.membership import starts

LIMIT_SECONDS = 20.0


def measure(options: starts.Start) -> dict[str, float]:
    """Simulates one start and returns its figures."""
    started = time.process_time()
    fleet = starts.StartingFleet(options, assembly.GOSSIP_PARAMETERS)
    found: dict[str, float] = {}
    while fleet.net.now < LIMIT_SECONDS:
        fleet.run(fleet.net.now + starts.STEP_SECONDS)
        if "routed_s" not in found and fleet.all_route():
            found["routed_s"] = fleet.net.now
        if "routed_s" in found and fleet.worst_share() == 1.0:
            found["complete_s"] = fleet.net.now
            break
    nodes = fleet.net.nodes.values()
    datagrams = sum(n.counters.received_datagrams for n in nodes)
    return found | {
        "worst_share": fleet.worst_share(),
        "sent_kb": fleet.sent_bytes() / 1000,
        "received_datagrams": datagrams / max(1, len(nodes)),
        "store_calls": fleet.store.calls / options.size,
        "cpu_ms": 1000 * (time.process_time() - started) / options.size,
    }


def main() -> None:
    """Runs the starts and prints a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[30, 100, 300])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--restart",
        action="store_true",
        help="the store holds the entries of former processes",
    )
    options = parser.parse_args()
    for size in options.sizes:
        start = starts.Start(size, options.seed, listed=options.restart)
        figures = measure(start)
        row = "  ".join(f"{name} {v:.2f}" for name, v in figures.items())
        print(f"{size:5d}  {row}", flush=True)


if __name__ == "__main__":
    main()
