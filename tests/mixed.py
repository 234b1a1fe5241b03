"""Runs fleets of real processes with two builds of the daemon.

Guards against incompatible changes of the messages between instances, of
stored data and of settings, which an instance of another build cannot read. The
instances of a fleet alternate between the two builds, and each instance
switches to the other build whenever it restarts. The soak tests of both
deployments inject the faults and check the observations of callers and targets.

    python -m tests.mixed --other FOLDER --seed 1 --seconds 30

FOLDER is a checkout of the other build with its virtual environment in `.venv`.
"""

import argparse
import collections
import pathlib
import subprocess
import sys
from unittest import mock

from cicadafront.emulator import processes
from tests.soak import run as soak
from tests.system import soak as own_store_soak

DAEMON = "cicadafront.daemon"
DEPLOYMENTS = ("sidecar", "own-store")


class Builds:
    """Selects a build for each start of a daemon.

    Attributes:
        interpreters: Interpreters of this build and of the other build.
        start_counts: Number of starts by daemon, in the order of their first
            starts.
        starts_by_build: Number of starts by instance and build.
    """

    def __init__(self, other: pathlib.Path):
        self.interpreters = (sys.executable, str(other / ".venv/bin/python"))
        self.start_counts: dict[str, int] = {}
        self.starts_by_build: collections.Counter[str] = collections.Counter()

    def interpreter(self, process: processes.ManagedProcess) -> str:
        """Returns the interpreter for the next start of a process."""
        if not process.arguments[0].startswith(DAEMON):
            return sys.executable
        previous = self.start_counts.setdefault(process.name, 0)
        self.start_counts[process.name] += 1
        index = list(self.start_counts).index(process.name)
        build = (index + previous) % 2
        self.starts_by_build[f"{process.name} {('this', 'other')[build]}"] += 1
        return self.interpreters[build]


def alternate_builds(builds: Builds):
    """Returns a patch of `ManagedProcess.start` that alternates builds."""
    start = processes.ManagedProcess.start

    def start_one(process: processes.ManagedProcess) -> None:
        chosen = builds.interpreter(process)
        with mock.patch.object(processes.sys, "executable", chosen):
            start(process)

    return mock.patch.object(processes.ManagedProcess, "start", start_one)


def run(deployment: str, builds: Builds, seed: int, seconds: float) -> bool:
    """Runs the soak test of a deployment; returns whether it passed."""
    with alternate_builds(builds):
        if deployment == "sidecar":
            return soak.soak(seed, seconds, None)
        reason = own_store_soak.one(seed, seconds)
    print(reason or "no violation")
    return not reason


def main() -> int:
    """Runs the soak test of one deployment, or of each in a subprocess."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--deployment", choices=DEPLOYMENTS)
    options = parser.parse_args()
    if options.deployment:
        builds = Builds(options.other.absolute())
        passed = run(options.deployment, builds, options.seed, options.seconds)
        print(f"starts: {dict(builds.starts_by_build)}")
        return 0 if passed else 1
    failed = []
    for deployment in DEPLOYMENTS:
        print(f"{deployment}:", flush=True)
        command = [sys.executable, "-m", "tests.mixed", *sys.argv[1:]]
        command += ["--deployment", deployment]
        if subprocess.run(command, check=False).returncode:
            failed.append(deployment)
    print(f"failed: {', '.join(failed) or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
