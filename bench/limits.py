"""Compares admission in a simulated fleet with a static split by instance.

Run it from the root: `PYTHONPATH=src python -m bench.limits [--seed N]
[--json FILE]`. A refusal is wrongful if a single token bucket for the whole
fleet would have admitted the request, given the same arrivals.
"""

import argparse
import json
import random
import sys
from collections.abc import Callable

import attrs

from cicadafront.config import model as config_model
from cicadafront.emulator import fleet as fleets
from cicadafront.limits import shards

INSTANCES = 30
WARM_UP_SECONDS = 10.0
RUN_SECONDS = 40.0
FAULT_AT_SECONDS = 10.0
# Offered load of each account as a share of its rate, unless a scenario sets
# another.
LOAD_SHARE = 0.7
ACCOUNTS = tuple(
    config_model.ClientAccount(f"account{number}", rate, burst)
    for number, (rate, burst) in enumerate(
        [
            (120, 240),
            (60, 120),
            (40, 40),
            (20, 40),
            (5, 10),
            (1, 5),
            (0.2, 3),
            (0.2, 2),
        ]
    )
)


@attrs.define
class Bucket:
    """Token bucket.

    Attributes:
        rate: Tokens per second.
        burst: Capacity, in tokens.
        level: Tokens at the time `at`.
        at: Time of the last update, in seconds.
    """

    rate: float
    burst: float
    level: float
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Takes a token and returns True, or returns False if there is none."""
        gained = (now - self.at) * self.rate
        self.level, self.at = min(self.burst, self.level + gained), now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@attrs.define
class Arrival:
    """One request and its decisions.

    Attributes:
        at: Time of arrival, in seconds.
        account: Account of the request.
        instance: Instance that receives it.
        within_rate: Whether one token bucket for the fleet would admit it.
        split_admitted: Whether a static split of the rate would admit it.
        admitted: Decision of the admission, None if there is none.
        waited: Time until the decision, in seconds.
    """

    at: float
    account: config_model.ClientAccount
    instance: str
    within_rate: bool = False
    split_admitted: bool = False
    admitted: bool | None = None
    waited: float = 0.0


def arrivals(seed: int, loads: dict[str, float]) -> list[Arrival]:
    """Returns Poisson arrivals, with instances weighted by 1/rank."""
    rng = random.Random(seed)
    result = []
    for account in ACCOUNTS:
        names = [f"i{number}" for number in range(INSTANCES)]
        rng.shuffle(names)
        weights = [1 / (rank + 1) for rank in range(INSTANCES)]
        at = WARM_UP_SECONDS
        while True:
            at += rng.expovariate(loads[account.id] * account.rate)
            if at >= WARM_UP_SECONDS + RUN_SECONDS:
                break
            instance = rng.choices(names, weights)[0]
            result.append(Arrival(at, account, instance))
    result.sort(key=lambda arrival: arrival.at)
    return result


def mark_reference_decisions(requests: list[Arrival]) -> None:
    """Marks what a fleet-wide bucket and a static split would admit."""
    fleet_buckets: dict[str, Bucket] = {}
    instance_buckets: dict[tuple[str, str], Bucket] = {}
    for arrival in requests:
        rate, burst = arrival.account.rate, arrival.account.burst
        bucket = fleet_buckets.setdefault(
            arrival.account.id, Bucket(rate, burst, burst)
        )
        arrival.within_rate = bucket.take(arrival.at)
        share = burst / INSTANCES
        instance_bucket = instance_buckets.setdefault(
            (arrival.account.id, arrival.instance),
            Bucket(rate / INSTANCES, max(1.0, share), max(1.0, share)),
        )
        arrival.split_admitted = instance_bucket.take(arrival.at)


def crash_owner(fleet: fleets.Fleet, silent: bool) -> None:
    """Crashes the owner of the largest account, with its host if `silent`."""
    owner = fleet.owner(ACCOUNTS[0].id)
    assert owner is not None
    fleet.nodes[owner].process.crash(silent)


def stop_store(fleet: fleets.Fleet) -> None:
    """Stops the store."""
    fleet.store.up = False


def stop_store_then_owner(fleet: fleets.Fleet) -> None:
    """Stops the store and crashes an owner 5 s later."""
    stop_store(fleet)
    fleet.world.clock.callLater(5, crash_owner, fleet, False)


SCENARIOS = {
    "quiet": (None, {}),
    "owner process lost": (lambda fleet: crash_owner(fleet, False), {}),
    "owner host lost": (lambda fleet: crash_owner(fleet, True), {}),
    "store away": (stop_store, {}),
    "store away, owner process lost": (stop_store_then_owner, {}),
    "account1 at 5 times its rate": (None, {ACCOUNTS[1].id: 5.0}),
}


def run(seed: int, name: str) -> tuple[list[Arrival], fleets.Fleet, dict]:
    """Runs one scenario and returns its requests, fleet and figures."""
    fault, loads = SCENARIOS[name]
    load_shares = {account.id: LOAD_SHARE for account in ACCOUNTS} | loads
    requests = arrivals(seed, load_shares)
    mark_reference_decisions(requests)
    fleet = fleets.Fleet(seed, INSTANCES, 3, 0.0, ACCOUNTS)
    clock = fleet.world.clock

    def admit(arrival: Arrival) -> None:
        node = fleet.nodes[arrival.instance]
        if not node.process.running:
            # The connection of the caller fails, which is not a refusal.
            arrival.within_rate = arrival.split_admitted = False
            return
        done = node.limits.admission.admit(arrival.account)
        done.addCallbacks(
            lambda _: record_decision(arrival, True),
            lambda _: record_decision(arrival, False),
        )

    def record_decision(arrival: Arrival, admitted: bool) -> None:
        arrival.admitted, arrival.waited = (
            admitted,
            clock.seconds() - arrival.at,
        )

    for arrival in requests:
        clock.callLater(arrival.at, admit, arrival)
    fleet.advance(WARM_UP_SECONDS)
    fleet.world.sent.clear()
    if fault is not None:
        clock.callLater(FAULT_AT_SECONDS, fault, fleet)
    fleet.advance(RUN_SECONDS + 2)
    return requests, fleet, summary(name, requests, fleet)


def summary(name: str, requests: list[Arrival], fleet: fleets.Fleet) -> dict:
    """Returns the figures of one run."""
    admitted = [arrival for arrival in requests if arrival.admitted]
    within_rate = [arrival for arrival in requests if arrival.within_rate]
    wrongful = wrongful_refusals(
        requests, lambda arrival: bool(arrival.admitted)
    )
    split_wrongful = wrongful_refusals(
        requests, lambda arrival: arrival.split_admitted
    )
    sent = fleet.world.sent
    to_owner: dict[str, int] = {}
    kinds: dict[str, int] = {}
    store = 0
    for (_, target, kind), count in sent.items():
        kinds[kind] = kinds.get(kind, 0) + count
        if target == "store":
            store += count
        elif kind == "limits.credit":
            to_owner[target] = to_owner.get(target, 0) + count
    calls = kinds.get("limits.credit", 0) + kinds.get("limits.recall", 0)
    waits = sorted(arrival.waited for arrival in admitted)
    return {
        "scenario": name,
        "requests": len(requests),
        "within_rate": len(within_rate),
        "admitted": len(admitted),
        "wrongful": len(wrongful),
        "wrongful_share": len(wrongful) / len(within_rate),
        "split_wrongful_share": len(split_wrongful) / len(within_rate),
        "worst_account_share": worst_admitted_share(within_rate, wrongful),
        "wait_p99_s": waits[int(len(waits) * 0.99)],
        "calls_per_admitted": calls / len(admitted),
        "busiest_owner_calls_per_s": max(to_owner.values()) / RUN_SECONDS,
        "store_calls_per_s": store / RUN_SECONDS,
        "lost_seconds": lost_seconds(wrongful),
    }


def wrongful_refusals(
    requests: list[Arrival], admitted: Callable[[Arrival], bool]
) -> list[Arrival]:
    """Returns the requests that were wrongfully refused.

    If an account exceeds its rate, the system may admit other requests than
    the single bucket does. Each of these offsets one refusal.
    """
    result = []
    for account in ACCOUNTS:
        own = [arrival for arrival in requests if arrival.account is account]
        wrongful = [
            arrival
            for arrival in own
            if arrival.within_rate and not admitted(arrival)
        ]
        others = [
            arrival
            for arrival in own
            if not arrival.within_rate and admitted(arrival)
        ]
        result += wrongful[: max(0, len(wrongful) - len(others))]
    return result


def worst_admitted_share(
    within_rate: list[Arrival], wrongful: list[Arrival]
) -> float:
    """Returns the lowest admitted share of within-rate requests by account."""
    shares = []
    for account in ACCOUNTS:
        offered = sum(arrival.account is account for arrival in within_rate)
        refused = sum(arrival.account is account for arrival in wrongful)
        if offered:
            shares.append(1 - refused / offered)
    return min(shares)


def lost_seconds(wrongful: list[Arrival]) -> float:
    """Returns the seconds from the first to the last wrongful refusal."""
    if not wrongful:
        return 0.0
    return max(arrival.at for arrival in wrongful) - min(
        arrival.at for arrival in wrongful
    )


def main() -> int:
    """Prints a table and writes the figures as JSON if `--json` is given."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", default="")
    parser.add_argument("--scenario", default="")
    options = parser.parse_args()
    owners = {shards.shard_of(account.id) for account in ACCOUNTS}
    print(f"seed {options.seed}, {INSTANCES} instances, {len(owners)} shards")
    names = [options.scenario] if options.scenario else list(SCENARIOS)
    rows = [run(options.seed, name)[2] for name in names]
    print(
        f"{'scenario':31} {'within':>6} {'wrong':>6} {'share':>8} {'split':>7} "
        f"{'worst':>7} {'p99 s':>6} {'calls/adm':>9} {'owner/s':>8} "
        f"{'store/s':>8} {'lost s':>7}"
    )
    for row in rows:
        print(
            f"{row['scenario']:31} {row['within_rate']:6} "
            f"{row['wrongful']:6} {row['wrongful_share']:8.4%} "
            f"{row['split_wrongful_share']:7.2%} "
            f"{row['worst_account_share']:7.2%} {row['wait_p99_s']:6.3f} "
            f"{row['calls_per_admitted']:9.3f} "
            f"{row['busiest_owner_calls_per_s']:8.1f} "
            f"{row['store_calls_per_s']:8.1f} {row['lost_seconds']:7.2f}"
        )
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({"seed": options.seed, "rows": rows}, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
