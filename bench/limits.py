"""Measures admission over a virtual fleet, next to a static split by instance.

Run from the root: `PYTHONPATH=src python -m bench.limits [--seed N]
[--json FILE]`. A refusal is wrongful if one token bucket for the whole fleet,
fed with the same arrivals, would have admitted the request.
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
WARM_SECONDS = 10.0
RUN_SECONDS = 40.0
FAULT_AT_SECONDS = 10.0
# Share of its rate that each account offers in quiet times.
LOAD = 0.7
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
    """A plain token bucket."""

    rate: float
    burst: float
    level: float
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Takes a token if there is one."""
        gained = (now - self.at) * self.rate
        self.level, self.at = min(self.burst, self.level + gained), now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@attrs.define
class Arrival:
    """One request and what became of it."""

    at: float
    account: config_model.ClientAccount
    instance: str
    fitting: bool = False
    split: bool = False
    admitted: bool | None = None
    waited: float = 0.0


def arrivals(seed: int, loads: dict[str, float]) -> list[Arrival]:
    """Returns Poisson arrivals, spread over the instances as 1/rank."""
    rng = random.Random(seed)
    result = []
    for account in ACCOUNTS:
        names = [f"i{number}" for number in range(INSTANCES)]
        rng.shuffle(names)
        weights = [1 / (rank + 1) for rank in range(INSTANCES)]
        at = WARM_SECONDS
        while True:
            at += rng.expovariate(loads[account.id] * account.rate)
            if at >= WARM_SECONDS + RUN_SECONDS:
                break
            instance = rng.choices(names, weights)[0]
            result.append(Arrival(at, account, instance))
    result.sort(key=lambda each: each.at)
    return result


def judge(requests: list[Arrival]) -> None:
    """Notes what one bucket and what a static split would admit."""
    whole: dict[str, Bucket] = {}
    parts: dict[tuple[str, str], Bucket] = {}
    for each in requests:
        rate, burst = each.account.rate, each.account.burst
        bucket = whole.setdefault(each.account.id, Bucket(rate, burst, burst))
        each.fitting = bucket.take(each.at)
        share = burst / INSTANCES
        part = parts.setdefault(
            (each.account.id, each.instance),
            Bucket(rate / INSTANCES, max(1.0, share), max(1.0, share)),
        )
        each.split = part.take(each.at)


def owner_lost(fleet: fleets.Fleet, silent: bool) -> None:
    """Ends the owner of the largest account, with or without its host."""
    owner = fleet.owner(ACCOUNTS[0].id)
    assert owner is not None
    fleet.nodes[owner].process.crash(silent)


def store_away(fleet: fleets.Fleet) -> None:
    """Stops the store."""
    fleet.store.up = False


def both(fleet: fleets.Fleet) -> None:
    """Stops the store, and an owner 5 s later."""
    store_away(fleet)
    fleet.world.clock.callLater(5, owner_lost, fleet, False)


SCENARIOS = {
    "quiet": (None, {}),
    "owner process lost": (lambda fleet: owner_lost(fleet, False), {}),
    "owner host lost": (lambda fleet: owner_lost(fleet, True), {}),
    "store away": (store_away, {}),
    "store away, owner process lost": (both, {}),
    "account1 at 5 times its rate": (None, {ACCOUNTS[1].id: 5.0}),
}


def run(seed: int, name: str) -> tuple[list[Arrival], fleets.Fleet, dict]:
    """Runs one scenario."""
    fault, loads = SCENARIOS[name]
    every = {account.id: LOAD for account in ACCOUNTS} | loads
    requests = arrivals(seed, every)
    judge(requests)
    fleet = fleets.Fleet(seed, INSTANCES, 3, 0.0, ACCOUNTS)
    clock = fleet.world.clock

    def admit(each: Arrival) -> None:
        node = fleet.nodes[each.instance]
        if not node.process.running:
            # The caller's connection fails; it is no refusal of ours.
            each.fitting = each.split = False
            return
        done = node.limits.admission.admit(each.account)
        done.addCallbacks(lambda _: end(each, True), lambda _: end(each, False))

    def end(each: Arrival, admitted: bool) -> None:
        each.admitted, each.waited = admitted, clock.seconds() - each.at

    for each in requests:
        clock.callLater(each.at, admit, each)
    fleet.advance(WARM_SECONDS)
    fleet.world.sent.clear()
    if fault is not None:
        clock.callLater(FAULT_AT_SECONDS, fault, fleet)
    fleet.advance(RUN_SECONDS + 2)
    return requests, fleet, summary(name, requests, fleet)


def summary(name: str, requests: list[Arrival], fleet: fleets.Fleet) -> dict:
    """Returns the figures of one run."""
    admitted = [each for each in requests if each.admitted]
    fitting = [each for each in requests if each.fitting]
    wrong = missing(requests, lambda each: bool(each.admitted))
    split = missing(requests, lambda each: each.split)
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
    waits = sorted(each.waited for each in admitted)
    return {
        "scenario": name,
        "requests": len(requests),
        "within_rate": len(fitting),
        "admitted": len(admitted),
        "wrongful": len(wrong),
        "wrongful_share": len(wrong) / len(fitting),
        "split_wrongful_share": len(split) / len(fitting),
        "worst_account_share": worst(fitting, wrong),
        "wait_p99_s": waits[int(len(waits) * 0.99)],
        "calls_per_admitted": calls / len(admitted),
        "busiest_owner_calls_per_s": max(to_owner.values()) / RUN_SECONDS,
        "store_calls_per_s": store / RUN_SECONDS,
        "lost_seconds": lost_seconds(wrong),
    }


def missing(
    requests: list[Arrival], admitted: Callable[[Arrival], bool]
) -> list[Arrival]:
    """Returns the requests that were wrongly refused.

    Of an account above its rate, other requests than those that one bucket
    admits may be admitted in their place.
    """
    result = []
    for account in ACCOUNTS:
        own = [each for each in requests if each.account is account]
        wrong = [each for each in own if each.fitting and not admitted(each)]
        others = [each for each in own if not each.fitting and admitted(each)]
        result += wrong[: max(0, len(wrong) - len(others))]
    return result


def worst(fitting: list[Arrival], wrong: list[Arrival]) -> float:
    """Returns the smallest admitted share of an account's fitting requests."""
    shares = []
    for account in ACCOUNTS:
        fit = sum(each.account is account for each in fitting)
        refused = sum(each.account is account for each in wrong)
        if fit:
            shares.append(1 - refused / fit)
    return min(shares)


def lost_seconds(wrong: list[Arrival]) -> float:
    """Returns the time from the first to the last wrongful refusal."""
    if not wrong:
        return 0.0
    return max(each.at for each in wrong) - min(each.at for each in wrong)


def main() -> int:
    """Prints a table and, on request, writes JSON."""
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
        f"{'scenario':31} {'fit':>6} {'wrong':>6} {'share':>8} {'split':>7} "
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
