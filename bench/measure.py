"""Measures detection, false ejections and fairness against a baseline.

Run as `python -m bench.measure --seed N [--json FILE]`. Times are seconds of
virtual time. Detection of `one-way` is the time until the entry that no longer
hears the agent avoids the path; of all others, until the agent condemns the
target.
"""

import argparse
import concurrent.futures
import json
import statistics
import sys
import time
from collections.abc import Callable

import attrs

from bench import baseline, fleet, targets

WARM_UP_SECONDS = 15.0
WATCH_SECONDS = 10.0
TARGET_RATE = 20.0
REPETITIONS = 6
FLAP_ON_SECONDS = 2.0
FLAP_OFF_SECONDS = 3.0
NOISE_SECONDS = 300.0
NOISE = 0.005
OVERLOAD_SECONDS = 30.0
ACCOUNTS = 8
# Load of the service by all accounts at their rate, as a share of its slots.
QUIET_LOAD = 0.75
MEAN_SECONDS = 0.0227
FAIR_SECONDS = 30.0

KINDS = {
    "ours": fleet.Fleet,
    "baseline": baseline.BaselineFleet,
}
FAULTS = ("stall", "mangle", "slow", "one-way", "flap")


@attrs.frozen
class Job:
    """One run; the name of the measurement selects the function."""

    measurement: str
    kind: str
    deployment: int
    seed: int
    variant: str = ""

    def fleet(self) -> fleet.Fleet:
        """Returns a new fleet."""
        return KINDS[self.kind](fleet.DEPLOYMENTS[self.deployment], self.seed)


def _steady(world: fleet.Fleet) -> None:
    rate = TARGET_RATE * len(world.agents) / ACCOUNTS
    for number in range(ACCOUNTS):
        world.load(f"account-{number}", rate)


def _condemned(world: fleet.Fleet, after: float) -> list[tuple[int, float]]:
    return [
        (agent.number, when)
        for agent in world.agents
        for when in agent.condemned
        if when >= after
    ]


def detect(job: Job) -> dict:
    """Returns the time until the fault is found and false ejections."""
    world = job.fleet()
    _steady(world)
    start = WARM_UP_SECONDS + world.rng.uniform(0.0, 5.0)
    world.clock.run(start)
    victim = world.rng.randrange(len(world.agents))
    if job.variant == "one-way":
        return _detect_cut(world, start, victim)
    faulty = world.agents[victim].model
    if job.variant == "flap":
        _flap(world, faulty)
    else:
        faulty.fault = targets.Fault(job.variant)
    world.clock.run(start + WATCH_SECONDS)
    found = _condemned(world, start)
    times = [when - start for number, when in found if number == victim]
    return {
        "seconds": min(times, default=None),
        "false": sum(number != victim for number, _ in found),
    }


def _flap(world: fleet.Fleet, faulty: targets.TargetModel) -> None:
    def switch(on: bool) -> None:
        faulty.fault = targets.Fault.SLOW if on else targets.Fault.NONE
        wait = FLAP_ON_SECONDS if on else FLAP_OFF_SECONDS
        world.clock.later(wait, lambda: switch(not on))

    switch(True)


def _detect_cut(world: fleet.Fleet, start: float, victim: int) -> dict:
    # An entry prefers targets of its data centre, so this link is in use.
    receiver = (victim + 3) % len(world.agents)
    world.cut = (victim, receiver)
    world.clock.run(start + WATCH_SECONDS)
    avoided = world.entries[receiver].avoided.get(f"instance-{victim}")
    return {
        "seconds": None if avoided is None else avoided - start,
        "false": len(_condemned(world, start)),
    }


def noise(job: Job) -> dict:
    """Returns false ejections under failures and long tails by chance."""
    world = job.fleet()
    _steady(world)
    for agent in world.agents:
        agent.model.noise = NOISE
        agent.model.tail = NOISE
    world.clock.run(NOISE_SECONDS)
    hours = NOISE_SECONDS * len(world.agents) / 3600
    return {"false": len(_condemned(world, 0.0)), "hours": hours}


def overload(job: Job) -> dict:
    """Returns false ejections while the whole service slows down evenly."""
    world = job.fleet()
    _steady(world)
    world.clock.run(WARM_UP_SECONDS)
    for agent in world.agents:
        agent.model.slowdown = float(job.variant)
    world.clock.run(WARM_UP_SECONDS + OVERLOAD_SECONDS)
    hours = OVERLOAD_SECONDS * len(world.agents) / 3600
    return {"false": len(_condemned(world, 0.0)), "hours": hours}


def fairness(job: Job) -> dict:
    """Returns success share and p99 of each account."""
    world = job.fleet()
    slots = len(world.agents) * world.deployment.slots
    rate = QUIET_LOAD * slots / MEAN_SECONDS / ACCOUNTS
    for number in range(ACCOUNTS):
        factor = 5.0 if number == 0 and job.variant == "loud" else 1.0
        world.load(f"account-{number}", factor * rate)
    world.clock.run(5.0)
    world.results.clear()
    world.clock.run(5.0 + FAIR_SECONDS)
    found = {}
    for name, results in world.results.items():
        good = sorted(value for value in results if value is not None)
        last = round(0.99 * (len(good) - 1))
        found[name] = {
            "success": len(good) / len(results),
            "p99": good[last] if good else None,
        }
    return found


MEASUREMENTS: dict[str, Callable[[Job], dict]] = {
    "detect": detect,
    "noise": noise,
    "overload": overload,
    "fairness": fairness,
}


def run(job: Job) -> tuple[Job, dict]:
    """Runs one job."""
    return job, MEASUREMENTS[job.measurement](job)


def jobs(seed: int) -> list[Job]:
    """Returns all runs, the longest first."""
    found = []
    for kind in KINDS:
        for place in range(len(fleet.DEPLOYMENTS)):
            found.append(Job("noise", kind, place, seed))
            for variant in ("quiet", "loud"):
                found.append(Job("fairness", kind, place, seed, variant))
            for slowdown in ("4", "12"):
                for count in range(3):
                    found.append(
                        Job("overload", kind, place, seed + count, slowdown)
                    )
            for fault in FAULTS:
                for count in range(REPETITIONS):
                    found.append(
                        Job("detect", kind, place, seed + count, fault)
                    )
    return found


def _detection(found: list[dict]) -> dict:
    times = [item["seconds"] for item in found]
    seen = [value for value in times if value is not None]
    return {
        "median": statistics.median(seen) if seen else None,
        "worst": max(seen, default=None),
        "missed": len(times) - len(seen),
        "runs": len(times),
        "false": sum(item["false"] for item in found),
    }


def _false_rate(found: list[dict]) -> dict:
    false = sum(item["false"] for item in found)
    hours = sum(item["hours"] for item in found)
    return {"false": false, "target_hours": hours, "rate": false / hours}


def _fairness(quiet: dict, loud: dict) -> dict:
    others = [name for name in loud if name != "account-0"]
    p99 = {name: loud[name]["p99"] for name in others}
    return {
        "worst_success": min(loud[name]["success"] for name in others),
        "median_success": statistics.median(
            loud[name]["success"] for name in others
        ),
        "loud_success": loud["account-0"]["success"],
        "worst_p99": max(p99.values()),
        "median_p99": statistics.median(p99.values()),
        "worst_ratio_to_quiet": max(
            p99[name] / quiet[name]["p99"] for name in others
        ),
    }


def summarise(results: list[tuple[Job, dict]]) -> dict:
    """Returns the figures by deployment and kind."""
    summary: dict = {}
    for place, deployment in enumerate(fleet.DEPLOYMENTS):
        for kind in KINDS:

            def of(measurement, variant="", kind=kind, place=place):
                return [
                    found
                    for job, found in results
                    if (job.measurement, job.kind, job.deployment)
                    == (measurement, kind, place)
                    and variant in ("", job.variant)
                ]

            summary[f"{deployment.name} {kind}"] = {
                **{f"detect {f}": _detection(of("detect", f)) for f in FAULTS},
                "noise": _false_rate(of("noise")),
                "even overload": _false_rate(of("overload")),
                "fairness": _fairness(
                    of("fairness", "quiet")[0], of("fairness", "loud")[0]
                ),
            }
    return summary


def _text(value) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    return "-" if value is None else str(value)


def show(summary: dict) -> None:
    """Prints one row per figure."""
    for place, rows in summary.items():
        print(place)
        for name, figures in rows.items():
            cells = (f"{key} {_text(v)}" for key, v in figures.items())
            print(f"  {name:<15}" + "  ".join(cells))


def main() -> int:
    """Runs all measurements; prints a table and writes JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", help="file for the figures")
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    begin = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        results = list(pool.map(run, jobs(options.seed)))
    summary = summarise(results)
    print(f"seed {options.seed}")
    show(summary)
    print(f"{time.monotonic() - begin:.0f} s")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({"seed": options.seed, **summary}, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
