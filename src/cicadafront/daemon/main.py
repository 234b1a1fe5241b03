"""Command line of the daemon."""

import argparse
import gc
import pathlib
import sys
import time
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.python import failure

from cicadafront import errors, settings
from cicadafront.daemon import assembly, root
from cicadafront.telemetry import logs

EXIT_START_FAILED = 1
EXIT_SETTINGS_INVALID = 2


def since_boot() -> float:
    """Returns seconds since the machine started.

    The reactor's own clock is the wall clock, which may step. The monotonic
    clock stands still while a virtual machine is suspended, so that a lease
    would seem younger than it is.
    """
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


def run(daemon: root.Daemon, reactor: Any = default_reactor) -> int:
    """Runs a daemon until a signal stops it; returns the exit status."""
    status = [0]

    def failed(reason: failure.Failure) -> None:
        print(reason.getErrorMessage(), file=sys.stderr)
        status[0] = EXIT_START_FAILED
        reactor.stop()

    def started(_: object) -> None:
        # Full collections would otherwise walk all modules and the schema
        # while requests wait.
        gc.collect()
        gc.freeze()

    def start() -> None:
        daemon.start().addCallbacks(started, failed)

    reactor.callWhenRunning(start)
    reactor.addSystemEventTrigger("before", "shutdown", daemon.stop)
    reactor.run()
    return status[0]


def main(arguments: list[str] | None = None) -> int:
    """Runs `cicadafrontd`."""
    parser = argparse.ArgumentParser(
        prog="cicadafrontd",
        description="Runs one instance of the proxy fleet.",
        epilog="Exit codes: 0 stopped as asked, 1 start failed, 2 settings "
        "invalid.",
    )
    parser.add_argument(
        "--settings", required=True, type=pathlib.Path, help="TOML file"
    )
    parsed = parser.parse_args(arguments)
    try:
        chosen = settings.load(parsed.settings)
    except errors.CicadafrontError as error:
        print(error.message, file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    reactor: Any = default_reactor
    reactor.seconds = since_boot
    level = logs.Level[chosen.log_level.upper()]
    logs.start(sys.stderr, chosen.instance, level)
    built = assembly.FleetAssembly(reactor, chosen)
    daemon = root.Daemon(reactor, built.options, built.build)
    built.abandon = daemon.agent.abandon
    built.is_down = daemon.calls.is_down
    return run(daemon)


if __name__ == "__main__":
    sys.exit(main())
