"""Runs a small fleet as local processes on the loopback net 127.0.0.0/8.

The demo, the process tests and the latency benchmark use it. It starts the
emulated store, emulated targets and daemons, and stops them by process id.
"""

import contextlib
import itertools
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import attrs

HOST = "127.0.0.1"
STOP_TIMEOUT_SECONDS = 20.0
TARGETS_PER_SERVICE = 2


# These ports are below the usual ephemeral range. Otherwise an outgoing
# connection could take a port between its choice and its use. Fleets that run
# concurrently start at different ports, derived from the process id.
_PORTS = itertools.count(10_000 + os.getpid() % 200 * 100)


def free_port() -> int:
    """Returns a port that is free for TCP and UDP, each port only once."""
    while True:
        port = next(_PORTS)
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
            contextlib.suppress(OSError),
        ):
            stream.bind((HOST, port))
            # The gossip of another fleet may use the port for UDP only.
            datagrams.bind((HOST, port))
            return port


@attrs.frozen
class Deployment:
    """Size of a fleet.

    Attributes:
        name: Name of its folder under `examples`.
        data_centres: One instance runs in each.
        services: Names of the services. Each instance has two local targets
            of each. The six targets of a service allow the ejection of one
            without going below the floor.
        slots: Slots of each target.
    """

    name: str
    data_centres: tuple[str, ...]
    services: tuple[str, ...]
    slots: int


KABURI = Deployment(
    "kaburi",
    ("dar-a", "dar-b", "dar-c"),
    ("rounds", "ledger", "proofs", "desk"),
    3,
)
PANCIEROVA = Deployment(
    "pancierova",
    ("sk-west-a", "sk-west-b", "sk-west-c"),
    ("records", "bookings", "intake", "chambers"),
    5,
)
DEPLOYMENTS = {item.name: item for item in (KABURI, PANCIEROVA)}


@attrs.define
class ManagedProcess:
    """A child process whose output goes to a file.

    Attributes:
        name: Name of the process and of its log file.
        arguments: Name of the Python module to run, and its arguments.
        folder: Folder of the log file.
        popen: The process, or None before its start.
    """

    name: str
    arguments: list[str]
    folder: pathlib.Path
    popen: subprocess.Popen | None = None

    @property
    def log_path(self) -> pathlib.Path:
        """File that receives standard output and standard error."""
        return self.folder / f"{self.name}.log"

    @property
    def pid(self) -> int:
        """Process id of the running process."""
        assert self.popen is not None
        return self.popen.pid

    def start(self) -> None:
        """Starts the process."""
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def running(self) -> bool:
        """Returns whether the process was started and has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.running():
            os.kill(self.pid, number)

    def wait(self, timeout: float) -> int | None:
        """Waits for the process to end.

        Returns:
            The exit status, or None after `timeout` seconds.
        """
        assert self.popen is not None
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kills the process with SIGKILL, which also ends a stopped one."""
        if self.running():
            self.signal(signal.SIGKILL)
            self.wait(STOP_TIMEOUT_SECONDS)


@attrs.define
class Instance:
    """Ports and process of one daemon."""

    id: str
    data_centre: str
    edge: int = attrs.field(factory=free_port)
    peer: int = attrs.field(factory=free_port)
    gossip: int = attrs.field(factory=free_port)
    operators: int = attrs.field(factory=free_port)
    process: ManagedProcess | None = None

    @property
    def edge_url(self) -> str:
        """Base URL for callers."""
        return f"http://{HOST}:{self.edge}"

    @property
    def operators_url(self) -> str:
        """Base URL for operators and target announcements."""
        return f"http://{HOST}:{self.operators}"


@attrs.define
class EmulatedTarget:
    """One emulated target and its process."""

    id: str
    service: str
    instance: str
    port: int = attrs.field(factory=free_port)
    process: ManagedProcess | None = None

    @property
    def url(self) -> str:
        """Base URL of the target itself."""
        return f"http://{HOST}:{self.port}"


class LocalFleet:
    """Store, instances and targets on the local machine.

    Attributes:
        deployment: Size of the fleet.
        folder: Temporary folder with settings and logs.
        instances: Instances by id.
        targets: Targets by id.
    """

    def __init__(self, deployment: Deployment, seed: int = 1):
        self.deployment = deployment
        self.seed = seed
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cicadafront-"))
        self.store_port = free_port()
        self.store = self.process(
            "store",
            ["cicadafront.emulator.store", "--port", str(self.store_port)],
        )
        self.instances: dict[str, Instance] = {}
        self.targets: dict[str, EmulatedTarget] = {}
        for data_centre in deployment.data_centres:
            self.add_instance(data_centre)

    @property
    def store_url(self) -> str:
        """Base URL of the emulated store."""
        return f"http://{HOST}:{self.store_port}"

    def process(self, name: str, arguments: list[str]) -> ManagedProcess:
        """Returns a process without starting it."""
        return ManagedProcess(name, arguments, self.folder)

    def add_instance(self, data_centre: str) -> Instance:
        """Adds an instance and its targets without starting them."""
        number = len(self.instances) + 1
        first = TARGETS_PER_SERVICE * (number - 1) + 1
        instance = Instance(f"{data_centre}-{number}", data_centre)
        self.instances[instance.id] = instance
        for service in self.deployment.services:
            for target_number in range(first, first + TARGETS_PER_SERVICE):
                id = f"{service}-{target_number}"
                self.targets[id] = EmulatedTarget(id, service, instance.id)
        return instance

    def settings(self, instance: Instance) -> str:
        """Returns the TOML settings of an instance."""
        seeds = ", ".join(
            f'"{HOST}:{other.gossip}"'
            for other in self.instances.values()
            if other is not instance
        )
        return "\n".join(
            [
                f'instance = "{instance.id}"',
                f'data_centre = "{instance.data_centre}"',
                f'store_url = "{self.store_url}"',
                f"seeds = [{seeds}]",
                "[addresses]",
                f'edge = "{HOST}:{instance.edge}"',
                f'peer = "{HOST}:{instance.peer}"',
                f'gossip = "{HOST}:{instance.gossip}"',
                f'operators = "{HOST}:{instance.operators}"',
                "",
            ]
        )

    def start_instance(self, instance: Instance) -> None:
        """Starts the daemon of an instance."""
        path = self.folder / f"{instance.id}.toml"
        path.write_text(self.settings(instance))
        instance.process = self.process(
            instance.id,
            ["cicadafront.daemon.main", "--settings", str(path)],
        )
        instance.process.start()

    def start_target(self, target: EmulatedTarget) -> None:
        """Starts a target that announces itself to its instance."""
        url = self.instances[target.instance].operators_url
        arguments = [
            "cicadafront.emulator.target",
            *("--id", target.id),
            *("--service", target.service),
            *("--port", str(target.port)),
            *("--slots", str(self.deployment.slots)),
            *("--seed", str(self.seed)),
            *("--announce", f"{url}/v1/targets"),
            *("--run-log", str(self.run_log(target))),
        ]
        target.process = self.process(target.id, arguments)
        target.process.start()

    def run_log(self, target: EmulatedTarget) -> pathlib.Path:
        """Returns the file to which a target writes the requests it runs.

        The file remains after the target has ended.
        """
        return self.folder / f"{target.id}.runs"

    def start(self) -> None:
        """Starts all processes."""
        self.store.start()
        for instance in self.instances.values():
            self.start_instance(instance)
        for target in self.targets.values():
            self.start_target(target)

    def processes(self) -> list[ManagedProcess]:
        """Returns all processes that were started, and the store."""
        started = [instance.process for instance in self.instances.values()]
        started += [target.process for target in self.targets.values()]
        return [*(item for item in started if item is not None), self.store]

    def stop(self) -> list[str]:
        """Stops all processes and removes the folder.

        Returns:
            Names of the processes that did not end within
            `STOP_TIMEOUT_SECONDS` after SIGTERM and were killed.
        """
        running = [item for item in self.processes() if item.running()]
        for item in running:
            item.signal(signal.SIGCONT)
            item.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        killed = []
        for item in running:
            if item.wait(max(0.0, deadline - time.monotonic())) is None:
                killed.append(item.name)
                item.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
        return killed

    def logs(self, name: str) -> str:
        """Returns the output of a process so far."""
        with contextlib.suppress(FileNotFoundError):
            return (self.folder / f"{name}.log").read_text(errors="replace")
        return ""
