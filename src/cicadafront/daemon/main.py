"""Command line of the daemon."""

import argparse
import gc
import pathlib
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.python import failure

from cicadafront import errors
from cicadafront.config import schema
from cicadafront.daemon import root
from cicadafront.sidecar import settings as sidecar_settings
from cicadafront.telemetry import logs

_log = logs.Log("daemon")

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


def _watch_signals(daemon: root.Daemon) -> None:
    """Notes when a signal arrives; the reactor acts on it in a later turn.

    A further signal changes nothing: the reactor would log it as an error.
    """
    for number in (signal.SIGINT, signal.SIGTERM):
        act = signal.getsignal(number)
        if callable(act):
            signal.signal(number, _noted(daemon, act))


def _noted(
    daemon: root.Daemon, act: Callable[[int, Any], Any]
) -> Callable[[int, Any], None]:
    def handle(number: int, frame: Any) -> None:
        if daemon.asked_to_stop():
            act(number, frame)

    return handle


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
        # The reactor has set its own handlers by now.
        _watch_signals(daemon)
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
        content = _content(parsed.settings)
        beside_target = sidecar_settings.selected(content)
        start = _sidecar if beside_target else _instance
        return start(parsed.settings, default_reactor)
    except schema.InvalidConfigurationError as error:
        print(error.message, file=sys.stderr)
        return EXIT_SETTINGS_INVALID


def _content(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise schema.InvalidConfigurationError(
            [
                errors.ConfigError(
                    str(path), "(file)", f"{error.strerror}; name a TOML file"
                )
            ]
        ) from error


def _instance(path: pathlib.Path, reactor: Any) -> int:
    """Runs an instance with the product's own store and announcements."""
    # The web framework of this deployment takes half of the other one's start.
    from cicadafront import settings
    from cicadafront.daemon import assembly

    chosen = settings.load(path)
    reactor.seconds = since_boot
    logs.start(sys.stderr, chosen.instance, _level(chosen.log_level))
    built = assembly.FleetAssembly(reactor, chosen)
    daemon = root.Daemon(reactor, built.options, built.build)
    built.abandon = daemon.agent.abandon
    built.is_down = daemon.calls.is_down
    return run(daemon)


def _sidecar(path: pathlib.Path, reactor: Any) -> int:
    """Runs an instance beside one target of the platform."""
    from cicadafront.sidecar import assembly, reload

    chosen = sidecar_settings.load(path)
    reactor.seconds = since_boot
    pipe = logs.start_pipe(
        sys.stdout.fileno(), chosen.instance, _level(chosen.log_level)
    )
    built = assembly.SidecarAssembly(reactor, chosen)
    built.count_logs(pipe)
    _log.info("started.", incarnation=built.options.incarnation)
    daemon = root.Daemon(reactor, built.options, built.build)
    built.is_down = daemon.calls.is_down
    reload.SettingsFile(
        path, reactor, built.loops, chosen, built.apply_settings
    ).start()
    return run(daemon)


def _level(name: str) -> logs.Level:
    return logs.Level[name.upper()]


if __name__ == "__main__":
    sys.exit(main())
