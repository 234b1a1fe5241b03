"""Measures the control traffic of the membership on a virtual clock.

Run it with `PYTHONPATH=src python -m bench.control`. It prints tables and one
line of JSON. Bytes include IP and UDP headers. CPU time is that of the gossip
core (`tick` and `receive`); only the figure for two daemons on real sockets
includes the sockets and the event loop. The row "quiet" is a fleet without
membership changes. "one join" is the total cost to each instance of replacing
one instance. "scaled churn" applies the daily joins in proportion to the size
of the simulated fleet, "full churn" those of a fleet of the target size.
"""

import argparse
import gc
import json
import random
import statistics
import time
import tracemalloc

import attrs
from twisted.internet import selectreactor

from bench import gossip_fleet
from cicadafront.membership import (
    codec,
    gossip,
    records,
    service,
    transfer,
    view,
)
from tests.membership import peers

SIZES = (30, 100, 300)
TARGET_SIZE = 1300
DAY_SECONDS = 86_400
# 2,400 planned replacements and 30 failures a day. A failed instance is also
# replaced, and its 12 targets start again on other instances.
JOINS_PER_DAY = 2400 + 30
WARM_UP_SECONDS = 10.0
# Simulated instances times seconds of each phase, so that all fleet sizes take
# about the same time to run.
NODE_SECONDS = 4500
# Interval between measured joins. The cost of one join is then multiplied by
# the expected rate of joins.
JOIN_GAP_SECONDS = 6.0
# Time after the last join for the drain, the departure and its dissemination.
TAIL_SECONDS = 22.0
BROADCASTS = 6
CRASHES = 3
SERVICE_SECONDS = 4.0
LIMITS = {"bytes_per_second": 2048, "cpu_percent": 4.9, "memory_mb": 256}


def measure_traffic(
    simulated: gossip_fleet.Fleet,
) -> dict[str, gossip_fleet.Row]:
    """Measures a fleet without changes and the cost of a join per instance."""
    size = len(simulated.net.nodes)
    idle = simulated.run(NODE_SECONDS / size)
    joins = max(2, round(NODE_SECONDS / size / JOIN_GAP_SECONDS))
    for number in range(joins):
        action = simulated.fail if number == 0 else simulated.replace
        simulated.net.at(simulated.net.now + number * JOIN_GAP_SECONDS, action)
    seconds = (joins - 1) * JOIN_GAP_SECONDS + TAIL_SECONDS
    with_joins = simulated.run(seconds)
    cost = {
        name: (with_joins[name] - idle[name]) * seconds / joins for name in idle
    }
    one_join = {
        name.replace("percent", "percent_seconds").replace("_per_second", ""): v
        for name, v in cost.items()
    }
    daily = {"scaled": size / TARGET_SIZE, "full": 1.0}
    rows = {"quiet": idle, "one join": one_join}
    for title, share in daily.items():
        rate = JOINS_PER_DAY / DAY_SECONDS * share
        rows[f"{title} churn"] = {
            name: idle[name] + rate * cost[name] for name in idle
        }
    return rows


def measure_dissemination(simulated: gossip_fleet.Fleet) -> gossip_fleet.Row:
    """Measures how long an urgent broadcast takes to reach all instances."""
    net = simulated.net
    arrivals: list[float] = []
    for node in net.nodes.values():
        node.on_broadcast("x", lambda _: arrivals.append(net.now))
    slowest, p95s, missed = [], [], 0
    for _ in range(BROADCASTS):
        arrivals.clear()
        start = net.now
        id = simulated.choose()
        net.send(id, net.nodes[id].broadcast(net.now, "x", b"." * 200))
        net.run(2)
        times = sorted(moment - start for moment in arrivals)
        missed += len(net.nodes) - 1 - len(times)
        p95s.append(times[int(len(times) * 0.95)])
        slowest.append(times[-1])
    return {
        "p95_seconds": statistics.median(p95s),
        "last_median_seconds": statistics.median(slowest),
        "last_worst_seconds": max(slowest),
        "missed_after_2_seconds": missed,
    }


def measure_detection(simulated: gossip_fleet.Fleet) -> gossip_fleet.Row:
    """Measures how long until all instances see a crashed one as dead."""
    net = simulated.net
    times = []
    for _ in range(CRASHES):
        id = simulated.choose()
        net.stop(id)

        def known_everywhere(id: str = id) -> bool:
            observed = (node.instance(id) for node in net.nodes.values())
            return all(
                r is not None and r.liveness is records.Liveness.DEAD
                for r in observed
            )

        times.append(net.run_until(known_everywhere, 60))
    return {
        "median_seconds": statistics.median(times),
        "worst_seconds": max(times),
    }


def measure_service(seed: int) -> gossip_fleet.Row:
    """Measures the CPU use of two membership services on real sockets."""
    reactor = selectreactor.SelectReactor()
    addresses = [("127.0.0.1", peers.free_port()) for _ in range(2)]
    calls_by_id: dict[str, peers.Calls] = {}
    services = []
    for number, address in enumerate(addresses):
        rng = random.Random(seed + number)
        own_record = records.InstanceRecord(
            f"i{number}", 1, 1, "dar-a", address, address
        )
        core = gossip.Gossip(own_record, rng, reactor.seconds(), addresses)
        calls = peers.Calls(own_record.id, calls_by_id)
        services.append(service.MembershipService(reactor, core, calls, rng))
    for membership in services:
        membership.start()
    cpu_seconds, end = time.process_time(), reactor.seconds() + SERVICE_SECONDS
    while reactor.seconds() < end:
        reactor.iterate(0.1)
    cpu_seconds = time.process_time() - cpu_seconds
    for membership in services:
        membership.stop()
    return {"cpu_percent": 100 * cpu_seconds / SERVICE_SECONDS / len(services)}


def measure_memory() -> gossip_fleet.Row:
    """Measures membership memory and state transfer at the target size."""
    address = ("10.0.0.1", 7002)
    own_record = records.InstanceRecord("me", 1, 1, "dar-a", address, address)
    source = gossip.Gossip(own_record, random.Random(1), 0.0)
    source.load(0.0, full_state())
    pages = []
    after = ""
    while True:
        pages.append(transfer.page(source, after, 0.0))
        _, after = codec.decode_page(pages[-1], 0.0)
        if not after:
            break
    gc.collect()
    tracemalloc.start()
    core = gossip.Gossip(
        attrs.evolve(own_record, id="other"), random.Random(2), 0.0
    )
    directory = view.GossipDirectory(core)
    for data in pages:
        core.load(0.0, codec.decode_page(data, 0.0)[0])
    for number in range(gossip_fleet.SERVICES):
        directory.targets(f"svc-{number}")
    directory.instances()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    count = TARGET_SIZE * (1 + gossip_fleet.TARGETS)
    transfer_bytes = sum(map(len, pages))
    joins = JOINS_PER_DAY / DAY_SECONDS
    return {
        "records": count,
        "bytes_per_record": used_bytes / count,
        "memory_mb": used_bytes / 2**20,
        "pages": len(pages),
        "largest_page_bytes": max(map(len, pages)),
        "transfer_bytes": transfer_bytes,
        "transfer_bytes_per_second": transfer_bytes * joins / TARGET_SIZE,
    }


def full_state() -> list[records.Record]:
    """Returns the records of a fleet of the target size."""
    items: list[records.Record] = []
    for number in range(TARGET_SIZE):
        host = f"10.1.{number // 250}.{number % 250 + 1}"
        owner = f"i{number:04d}"
        items.append(
            records.InstanceRecord(
                owner, 1, 1, "dar-a", (host, 7001), (host, 7002)
            )
        )
        items += [
            records.TargetRecord(
                f"{owner}-t{n:02d}",
                gossip_fleet.service_name(number * gossip_fleet.TARGETS + n),
                ("", 8000 + n),
                3,
                owner,
                1,
                2 + n,
            )
            for n in range(gossip_fleet.TARGETS)
        ]
    return items


def extrapolate(values: dict[int, float]) -> tuple[float, float]:
    """Returns the slope per instance and the fit at the target size."""
    fit = statistics.linear_regression(list(values), list(values.values()))
    return fit.slope, fit.intercept + fit.slope * TARGET_SIZE


def print_rows(title: str, rows: dict[int, gossip_fleet.Row]) -> None:
    """Prints a table of figures by fleet size with slope and extrapolation."""
    print(f"\n{title}")
    sizes = "".join(f"{size:>11}" for size in rows)
    print(f"{'':28}{sizes}{'slope':>12}{TARGET_SIZE:>11}")
    for name in next(iter(rows.values())):
        values = {size: row[name] for size, row in rows.items()}
        line = "".join(f"{value:>11.3f}" for value in values.values())
        if len(values) > 1:
            slope, end = extrapolate(values)
            line += f"{slope:>12.6f}{end:>11.3f}"
        print(f"{name:28}{line}")


def measure(size: int, seed: int) -> dict[str, gossip_fleet.Row]:
    """Runs all measurements for one fleet size."""
    simulated = gossip_fleet.Fleet(size, seed)
    simulated.net.run(WARM_UP_SECONDS)
    rows = measure_traffic(simulated)
    rows["spread of a broadcast"] = measure_dissemination(simulated)
    rows["detection of a crash"] = measure_detection(simulated)
    return rows


def main() -> None:
    """Runs all measurements and prints the tables and the JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    options = parser.parse_args()
    started = time.monotonic()
    by_size = {n: measure(n, options.seed) for n in options.sizes}
    tables = {
        title: {size: rows[title] for size, rows in by_size.items()}
        for title in by_size[options.sizes[0]]
    }
    for title, rows in tables.items():
        print_rows(title, rows)
    single = {
        "memory and state transfer at the target size": measure_memory(),
        "two daemons on real sockets": measure_service(options.seed),
    }
    for title, row in single.items():
        print(f"\n{title}")
        for name, value in row.items():
            print(f"{name:28}{value:>11.3f}")
    result = {"seed": options.seed, "limits": LIMITS, **tables, **single}
    result["elapsed_seconds"] = time.monotonic() - started
    print(json.dumps(result))


if __name__ == "__main__":
    main()
