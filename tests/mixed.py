"""Runs fleets of real processes in which two builds of the daemon alternate.

Guards against changes of the messages between instances, of what is stored
and of the settings that an instance of another build does not understand. The
instances of a fleet run the two builds in turn, and each instance changes to
the other build whenever it starts again. The soaks of both deployments cause
the faults and check what callers and targets saw.

    python -m tests.mixed --other FOLDER --seed 1 --seconds 30

FOLDER is a checkout of the other build with its environment in `.venv`.
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
    """Chooses the build of each start of a daemon.

    Attributes:
        interpreters: Interpreters of this build and of the other one.
        starts: Starts of each daemon, in the order of the first ones.
        started: Starts by instance and build.
    """

    def __init__(self, other: pathlib.Path):
        self.interpreters = (sys.executable, str(other / ".venv/bin/python"))
        self.starts: dict[str, int] = {}
        self.started: collections.Counter[str] = collections.Counter()

    def interpreter(self, process: processes.ManagedProcess) -> str:
        """Returns the interpreter for a process that is about to start."""
        if not process.arguments[0].startswith(DAEMON):
            return sys.executable
        starts = self.starts.setdefault(process.name, 0)
        self.starts[process.name] += 1
        place = list(self.starts).index(process.name)
        build = (place + starts) % 2
        self.started[f"{process.name} {('this', 'other')[build]}"] += 1
        return self.interpreters[build]


def alternating(builds: Builds):
    """Returns a replacement of `ManagedProcess.start`."""
    start = processes.ManagedProcess.start

    def start_one(process: processes.ManagedProcess) -> None:
        chosen = builds.interpreter(process)
        with mock.patch.object(processes.sys, "executable", chosen):
            start(process)

    return mock.patch.object(processes.ManagedProcess, "start", start_one)


def run(deployment: str, builds: Builds, seed: int, seconds: float) -> bool:
    """Runs the soak of one deployment; returns whether its checks passed."""
    with alternating(builds):
        if deployment == "sidecar":
            return soak.soak(seed, seconds, None)
        reason = own_store_soak.one(seed, seconds)
    print(reason or "no violation")
    return not reason


def main() -> int:
    """Runs the soak of one deployment, or of each in its own process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--deployment", choices=DEPLOYMENTS)
    options = parser.parse_args()
    if options.deployment:
        builds = Builds(options.other.absolute())
        passed = run(options.deployment, builds, options.seed, options.seconds)
        print(f"starts: {dict(builds.started)}")
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
