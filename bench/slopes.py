"""Measures the slopes from which docs/CAPACITY.md derives the cost per role.

    PYTHONPATH=src python -m bench.slopes --seed 1

Memory is what Python allocates for the given number of items. Store calls and
peer messages are counted by the simulated store and peers in virtual time. A
waiting watch request counts as one call, when it is sent.
"""

import argparse
import collections
import gc
import hashlib
import json
import random
import statistics
import tracemalloc
from collections.abc import Callable

from cicadafront.config import model as config_model
from cicadafront.emulator import fleet as limit_fleets
from cicadafront.emulator import virtual
from cicadafront.health import reference, summaries
from cicadafront.limits import admission, records, shards
from cicadafront.peer import codec as peer_codec
from tests.config import fleet as config_fleets
from tests.peer import test_link

Row = dict[str, float]
SETTLE_SECONDS = 40.0
COUNT_SECONDS = 30.0
CREDIT_SECONDS = 20.0
LENGTH_PREFIX_BYTES = 4


def _routes(count: int) -> object:
    return config_model.Configuration(
        routes={
            f"r{n}": config_model.Route(
                f"r{n}", f"/s{n % 880}/r{n}", f"svc-{n % 880}"
            )
            for n in range(count)
        }
    )


def _accounts(count: int) -> object:
    numbers = range(count)
    return config_model.Configuration(
        accounts={
            f"a{n}": config_model.ClientAccount(f"a{n}", 10.0, 20.0)
            for n in numbers
        },
        keys={
            f"k{n}": config_model.Key(
                f"k{n}", f"a{n}", hashlib.sha256(str(n).encode()).digest()
            )
            for n in numbers
        },
    )


def _records(count: int) -> object:
    record_table = records.Records(0, 1, records.Memory(1 << 40))
    for n in range(count):
        digest = hashlib.sha256(str(n).encode()).digest()
        record_table.begin(
            0.0, f"a{n % 128}", f"k{n}", digest, f"{n}", 30, False
        )
    return record_table


def _links(count: int) -> object:
    return [test_link.Pair().connect() for _ in range(count)]


# Builder and three sizes of each kind. A pair of link ends is one connection.
MEMORY: dict[str, tuple[Callable[[int], object], tuple[int, int, int]]] = {
    "route": (_routes, (1000, 4000, 8000)),
    "account with key": (_accounts, (5000, 15_000, 33_000)),
    "idempotency record": (_records, (1000, 10_000, 50_000)),
    "pair of link ends": (_links, (16, 64, 256)),
}


def measure_memory(build: Callable[[int], object], count: int) -> float:
    """Returns the memory in bytes of the object built for `count` items."""
    gc.collect()
    tracemalloc.start()
    try:
        built = build(count)
        gc.collect()
        used = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del built
    return used


def store_calls_of_owners(size: int, seed: int) -> Row:
    """Counts the store calls of shard ownership in an idle fleet."""
    fleet = limit_fleets.Fleet(seed, size)
    fleet.advance(SETTLE_SECONDS)
    before = dict(fleet.world.sent)
    fleet.advance(COUNT_SECONDS)
    calls: collections.Counter[str] = collections.Counter()
    messages = 0
    for key, count in fleet.world.sent.items():
        source, target, kind = key
        added = count - before.get(key, 0)
        if target == virtual.STORE:
            calls[kind] += added
        elif source != virtual.STORE:
            messages += added
    owners = sum(
        any(node.acts(shard) for shard in range(shards.SHARDS))
        for node in fleet.nodes.values()
    )
    row = {f"store {k}/s": v / COUNT_SECONDS for k, v in sorted(calls.items())}
    row["owners"] = owners
    row["store calls/s"] = calls.total() / COUNT_SECONDS
    row["store calls/s per owner"] = row["store calls/s"] / max(1, owners)
    row["peer messages/s"] = messages / COUNT_SECONDS
    return row


def store_calls_of_watchers(size: int, seed: int) -> Row:
    """Counts the store calls of configuration exchange in an idle fleet."""
    fleet = config_fleets.Fleet(seed, size)
    fleet.apply(config_model.Configuration())
    fleet.run(10)
    before = {id: n.store.counts.total() for id, n in fleet.nodes.items()}
    fleet.run(COUNT_SECONDS)
    rates = [
        (node.store.counts.total() - before[id]) / COUNT_SECONDS
        for id, node in fleet.nodes.items()
    ]
    watching = [rate for rate in rates if rate > 0.5]
    return {
        "watchers": len(watching),
        "store calls/s": sum(rates),
        "store calls/s per watcher": sum(watching) / max(1, len(watching)),
        "store calls/s of all others": sum(r for r in rates if r <= 0.5),
    }


def credit_traffic(rate: int, seed: int) -> Row:
    """Counts the calls and bytes to the owner per request of an account.

    Args:
        rate: Requests per second of the account at one instance.
        seed: Seed of the fleet and of the request times.
    """
    account = config_model.ClientAccount("amani", 1000.0, 2000.0)
    fleet = limit_fleets.Fleet(seed, 4, accounts=(account,))
    fleet.advance(10)
    owner = fleet.owner(account.id)
    holder = next(n for id, n in fleet.nodes.items() if id != owner)
    counted: collections.Counter[str] = collections.Counter()
    call = holder.process.peers.call

    def counted_call(instance: str, method: str, body: bytes, timeout: float):
        pending = call(instance, method, body, timeout)
        if method == admission.CREDIT:
            counted["calls"] += 1
            counted["bytes"] += len(body)

            def count_reply(reply: bytes) -> bytes:
                counted["bytes"] += len(reply)
                return reply

            pending.addCallback(count_reply)
        counted["all calls"] += 1
        return pending

    holder.process.peers.call = counted_call
    rng = random.Random(seed)
    requests = 0
    end = fleet.world.clock.seconds() + CREDIT_SECONDS
    while fleet.world.clock.seconds() < end:
        fleet.advance(rng.expovariate(rate))
        holder.limits.admission.admit(account).addErrback(lambda _: None)
        requests += 1
    return {
        "requests": requests,
        "calls per request": counted["calls"] / requests,
        "body bytes per request": counted["bytes"] / requests,
        "all calls/s": counted["all calls"] / CREDIT_SECONDS,
    }


def summary_bytes(routes: int, _seed: int) -> Row:
    """Returns the sizes in bytes of a target summary and of its exchange.

    The call carries the summary to another agent, and the reply carries the
    summary of that agent back. Both sizes include the length prefix, but no
    TCP and IP headers.
    """
    route_summaries = tuple(
        reference.RouteSummary(reference.route_key(f"r{n}"), 64, 0.02, 0.05)
        for n in range(routes)
    )
    summary = reference.Summary(
        reference.target_key("t0"), (0.0,) * 4, 9, routes=route_summaries
    )
    body = summaries.encode("svc-100", None, [summary])
    call = peer_codec.encode(peer_codec.Call(1000, summaries.METHOD, body))
    reply = peer_codec.encode(peer_codec.Reply(1000, "", body))
    return {
        "summary": len(summary.encode()),
        "call": len(call) + LENGTH_PREFIX_BYTES,
        "reply": len(reply) + LENGTH_PREFIX_BYTES,
    }


COUNTS: dict[str, tuple[Callable[[int, int], Row], tuple[int, ...]]] = {
    "store calls: shard ownership, by instances": (
        store_calls_of_owners,
        (6, 12, 24, 36),
    ),
    "store calls: configuration, by instances": (
        store_calls_of_watchers,
        (9, 18, 36),
    ),
    "credit, by requests/s of an account at an instance": (
        credit_traffic,
        (1, 10, 100),
    ),
    "summary of a target, by routes": (summary_bytes, (1, 2, 4)),
}


def main() -> None:
    """Runs the measurements whose name contains `--only`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    result: dict[str, object] = {"seed": options.seed}
    for name, (build, sizes) in MEMORY.items():
        if options.only not in name:
            continue
        used = {n: measure_memory(build, n) for n in sizes}
        fit = statistics.linear_regression(list(used), list(used.values()))
        shown = ", ".join(f"{n}: {used[n] / 1e6:.2f} MB" for n in sizes)
        print(f"{name}: {fit.slope:.0f} bytes each ({shown})", flush=True)
        result[name] = fit.slope
    for name, (count, sizes) in COUNTS.items():
        if options.only not in name:
            continue
        print(f"\n{name}")
        result[name] = rows = {n: count(n, options.seed) for n in sizes}
        for key in dict.fromkeys(k for row in rows.values() for k in row):
            cells = "".join(
                f"{row.get(key, 0):>12.2f}" for row in rows.values()
            )
            print(f"{key:32}{cells}", flush=True)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
