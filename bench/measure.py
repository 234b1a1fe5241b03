"""Measures detection, false ejections and fairness against a baseline.

Run it as `python -m bench.measure --seed N [--json FILE]`. Times are in
seconds of virtual time. The detection time of the fault `one-way` ends when the
entry that no longer receives frames from the agent avoids the path. For all
other faults it ends when the agent declares the target gray or, in the
baseline, ejects it.
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
OBSERVATION_SECONDS = 10.0
TARGET_RATE = 20.0
REPETITIONS = 6
FLAP_ON_SECONDS = 2.0
FLAP_OFF_SECONDS = 3.0
NOISE_SECONDS = 300.0
NOISE = 0.005
OVERLOAD_SECONDS = 30.0
ACCOUNTS = 8
# Load of all accounts at their normal rate, as a share of the slots of the
# service.
NORMAL_LOAD = 0.75
MEAN_SECONDS = 0.0227
FAIR_SECONDS = 30.0

KINDS = {
    "ours": fleet.Fleet,
    "baseline": baseline.BaselineFleet,
}
FAULTS = ("stall", "mangle", "slow", "one-way", "flap")


@attrs.frozen
class Job:
    """One run of a measurement.

    Attributes:
        measurement: Key in `MEASUREMENTS`.
        kind: Key in `KINDS`.
        deployment: Index in `fleet.DEPLOYMENTS`.
        seed: Seed of the fleet.
        variant: Fault, slowdown or load that the measurement applies.
    """

    measurement: str
    kind: str
    deployment: int
    seed: int
    variant: str = ""

    def fleet(self) -> fleet.Fleet:
        """Returns a new simulated fleet."""
        return KINDS[self.kind](fleet.DEPLOYMENTS[self.deployment], self.seed)


def _start_load(simulated: fleet.Fleet) -> None:
    rate = TARGET_RATE * len(simulated.agents) / ACCOUNTS
    for number in range(ACCOUNTS):
        simulated.start_load(f"account-{number}", rate)


def _detections(
    simulated: fleet.Fleet, after: float
) -> list[tuple[int, float]]:
    return [
        (agent.number, when)
        for agent in simulated.agents
        for when in agent.detections
        if when >= after
    ]


def detect(job: Job) -> dict:
    """Returns the detection time of a fault and the false ejections."""
    simulated = job.fleet()
    _start_load(simulated)
    start = WARM_UP_SECONDS + simulated.rng.uniform(0.0, 5.0)
    simulated.clock.run(start)
    faulty_index = simulated.rng.randrange(len(simulated.agents))
    if job.variant == "one-way":
        return _detect_one_way_loss(simulated, start, faulty_index)
    faulty_target = simulated.agents[faulty_index].model
    if job.variant == "flap":
        _flap(simulated, faulty_target)
    else:
        faulty_target.fault = targets.Fault(job.variant)
    simulated.clock.run(start + OBSERVATION_SECONDS)
    detections = _detections(simulated, start)
    times = [
        when - start for number, when in detections if number == faulty_index
    ]
    return {
        "seconds": min(times, default=None),
        "false": sum(number != faulty_index for number, _ in detections),
    }


def _flap(simulated: fleet.Fleet, faulty_target: targets.TargetModel) -> None:
    def set_fault(active: bool) -> None:
        faulty_target.fault = (
            targets.Fault.SLOW if active else targets.Fault.NONE
        )
        wait = FLAP_ON_SECONDS if active else FLAP_OFF_SECONDS
        simulated.clock.later(wait, lambda: set_fault(not active))

    set_fault(True)


def _detect_one_way_loss(
    simulated: fleet.Fleet, start: float, faulty_index: int
) -> dict:
    # Entries prefer targets in their own data centre. The receiver is in the
    # same one as the faulty target, so this link is in use.
    receiver = (faulty_index + 3) % len(simulated.agents)
    simulated.cut_link = (faulty_index, receiver)
    simulated.clock.run(start + OBSERVATION_SECONDS)
    avoided_since = simulated.entries[receiver].avoided_since.get(
        f"instance-{faulty_index}"
    )
    return {
        "seconds": None if avoided_since is None else avoided_since - start,
        "false": len(_detections(simulated, start)),
    }


def noise(job: Job) -> dict:
    """Returns false ejections under random failures and slow requests."""
    simulated = job.fleet()
    _start_load(simulated)
    for agent in simulated.agents:
        agent.model.noise = NOISE
        agent.model.tail = NOISE
    simulated.clock.run(NOISE_SECONDS)
    hours = NOISE_SECONDS * len(simulated.agents) / 3600
    return {"false": len(_detections(simulated, 0.0)), "hours": hours}


def overload(job: Job) -> dict:
    """Returns false ejections while all targets are equally slow."""
    simulated = job.fleet()
    _start_load(simulated)
    simulated.clock.run(WARM_UP_SECONDS)
    for agent in simulated.agents:
        agent.model.slowdown = float(job.variant)
    simulated.clock.run(WARM_UP_SECONDS + OVERLOAD_SECONDS)
    hours = OVERLOAD_SECONDS * len(simulated.agents) / 3600
    return {"false": len(_detections(simulated, 0.0)), "hours": hours}


def fairness(job: Job) -> dict:
    """Returns the success share and the p99 in seconds of each account."""
    simulated = job.fleet()
    slots = len(simulated.agents) * simulated.deployment.slots
    rate = NORMAL_LOAD * slots / MEAN_SECONDS / ACCOUNTS
    for number in range(ACCOUNTS):
        factor = 5.0 if number == 0 and job.variant == "loud" else 1.0
        simulated.start_load(f"account-{number}", factor * rate)
    simulated.clock.run(5.0)
    simulated.results.clear()
    simulated.clock.run(5.0 + FAIR_SECONDS)
    by_account = {}
    for name, results in simulated.results.items():
        latencies = sorted(value for value in results if value is not None)
        p99_index = round(0.99 * (len(latencies) - 1))
        by_account[name] = {
            "success": len(latencies) / len(results),
            "p99": latencies[p99_index] if latencies else None,
        }
    return by_account


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
    result = []
    for kind in KINDS:
        for deployment in range(len(fleet.DEPLOYMENTS)):
            result.append(Job("noise", kind, deployment, seed))
            for variant in ("quiet", "loud"):
                result.append(Job("fairness", kind, deployment, seed, variant))
            for slowdown in ("4", "12"):
                for count in range(3):
                    result.append(
                        Job(
                            "overload", kind, deployment, seed + count, slowdown
                        )
                    )
            for fault in FAULTS:
                for count in range(REPETITIONS):
                    result.append(
                        Job("detect", kind, deployment, seed + count, fault)
                    )
    return result


def _summarise_detection(runs: list[dict]) -> dict:
    times = [item["seconds"] for item in runs]
    detected = [value for value in times if value is not None]
    return {
        "median": statistics.median(detected) if detected else None,
        "worst": max(detected, default=None),
        "missed": len(times) - len(detected),
        "runs": len(times),
        "false": sum(item["false"] for item in runs),
    }


def _summarise_false_ejections(runs: list[dict]) -> dict:
    false = sum(item["false"] for item in runs)
    hours = sum(item["hours"] for item in runs)
    return {"false": false, "target_hours": hours, "rate": false / hours}


def _summarise_fairness(quiet: dict, loud: dict) -> dict:
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
    """Returns the figures by deployment and kind of fleet."""
    summary: dict = {}
    for index, deployment in enumerate(fleet.DEPLOYMENTS):
        for kind in KINDS:

            def select(measurement, variant="", kind=kind, index=index):
                return [
                    figures
                    for job, figures in results
                    if (job.measurement, job.kind, job.deployment)
                    == (measurement, kind, index)
                    and variant in ("", job.variant)
                ]

            summary[f"{deployment.name} {kind}"] = {
                **{
                    f"detect {f}": _summarise_detection(select("detect", f))
                    for f in FAULTS
                },
                "noise": _summarise_false_ejections(select("noise")),
                "even overload": _summarise_false_ejections(select("overload")),
                "fairness": _summarise_fairness(
                    select("fairness", "quiet")[0],
                    select("fairness", "loud")[0],
                ),
            }
    return summary


def _text(value) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    return "-" if value is None else str(value)


def show(summary: dict) -> None:
    """Prints one row per figure."""
    for title, rows in summary.items():
        print(title)
        for name, figures in rows.items():
            cells = (f"{key} {_text(v)}" for key, v in figures.items())
            print(f"  {name:<15}" + "  ".join(cells))


def main() -> int:
    """Runs all measurements, prints a table and optionally writes JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", help="file for the figures")
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    started_at = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        results = list(pool.map(run, jobs(options.seed)))
    summary = summarise(results)
    print(f"seed {options.seed}")
    show(summary)
    print(f"{time.monotonic() - started_at:.0f} s")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({"seed": options.seed, **summary}, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
