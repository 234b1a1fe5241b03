"""Command line of the daemon."""

import argparse
import pathlib
import sys
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.python import failure

from cicadafront import errors, settings
from cicadafront.daemon import assembly, root
from cicadafront.telemetry import logs

EXIT_START_FAILED = 1
EXIT_SETTINGS_INVALID = 2


def run(daemon: root.Daemon, reactor: Any = default_reactor) -> int:
    """Runs a daemon until a signal stops it; returns the exit status."""
    status = [0]

    def failed(reason: failure.Failure) -> None:
        print(reason.getErrorMessage(), file=sys.stderr)
        status[0] = EXIT_START_FAILED
        reactor.stop()

    def start() -> None:
        daemon.start().addErrback(failed)

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
    level = logs.Level[chosen.log_level.upper()]
    logs.start(sys.stderr, chosen.instance, level)
    built = assembly.FleetAssembly(default_reactor, chosen)
    daemon = root.Daemon(default_reactor, built.options, built.build)
    return run(daemon)


if __name__ == "__main__":
    sys.exit(main())
