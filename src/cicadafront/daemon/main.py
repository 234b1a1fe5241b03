"""Command line of the daemon."""

import argparse
import gc
import pathlib
import sys
import tomllib
from typing import Any

import eliot
from twisted.internet import reactor as default_reactor
from twisted.python import failure

from cicadafront import errors
from cicadafront.daemon import local, options, root

DEFAULT_HOST = "127.0.0.1"


def _address(file: str, table: dict[str, Any], key: str) -> tuple[str, int]:
    host, _, port = str(table.get(key, "")).rpartition(":")
    if not port.isdigit():
        raise errors.ConfigError(file, key, 'write "<host>:<port>"')
    return host or DEFAULT_HOST, int(port)


def read_options(path: pathlib.Path) -> options.DaemonOptions:
    """Returns the options in a settings file.

    Raises:
        ConfigError: The file cannot be read or lacks a key.
    """
    file = path.name
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, ValueError) as cause:
        raise errors.ConfigError(file, "(file)", str(cause)) from cause
    for key in ("instance", "data_centre"):
        if not isinstance(table.get(key), str) or not table[key]:
            raise errors.ConfigError(file, key, "write a name")
    return options.DaemonOptions(
        instance=table["instance"],
        data_centre=table["data_centre"],
        edge=_address(file, table, "edge"),
        peer=_address(file, table, "peer"),
    )


def run(daemon: root.Daemon, reactor: Any = default_reactor) -> int:
    """Runs a daemon until a signal stops it; returns the exit status."""
    status = [0]

    def failed(reason: failure.Failure) -> None:
        print(reason.getErrorMessage(), file=sys.stderr)
        status[0] = 1
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
    parser = argparse.ArgumentParser(prog="cicadafrontd")
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    parsed = parser.parse_args(arguments)
    try:
        settings = read_options(parsed.settings)
    except errors.ConfigError as error:
        print(error.message, file=sys.stderr)
        return 2
    eliot.to_file(sys.stderr)
    directory = local.StaticDirectory()
    fleet = root.Fleet(directory, directory, lambda: None)
    return run(root.Daemon(default_reactor, settings, fleet))


if __name__ == "__main__":
    sys.exit(main())
