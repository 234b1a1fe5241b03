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


def seconds_since_boot() -> float:
    """Returns the seconds since the machine booted.

    The default clock of the reactor is the wall clock, which can jump. The
    monotonic clock stops while a virtual machine is suspended, so that a lease
    would appear younger than it is.
    """
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


def _wrap_signal_handlers(daemon: root.Daemon) -> None:
    """Records when a signal arrives, before the reactor handles it.

    The reactor handles a signal only in a later iteration. Further signals are
    ignored, since the reactor would log them as errors.
    """
    for number in (signal.SIGINT, signal.SIGTERM):
        reactor_handler = signal.getsignal(number)
        if callable(reactor_handler):
            signal.signal(number, _signal_handler(daemon, reactor_handler))


def _signal_handler(
    daemon: root.Daemon, reactor_handler: Callable[[int, Any], Any]
) -> Callable[[int, Any], None]:
    def handle(number: int, frame: Any) -> None:
        if daemon.request_stop():
            reactor_handler(number, frame)

    return handle


def run(daemon: root.Daemon, reactor: Any = default_reactor) -> int:
    """Runs a daemon until a signal stops it; returns the exit code."""
    status = [0]

    def failed(reason: failure.Failure) -> None:
        print(reason.getErrorMessage(), file=sys.stderr)
        status[0] = EXIT_START_FAILED
        reactor.stop()

    def started(_: object) -> None:
        # Excludes all modules and the schema from full garbage collections,
        # which would delay requests.
        gc.collect()
        gc.freeze()

    def start() -> None:
        # The reactor has already installed its own handlers.
        _wrap_signal_handlers(daemon)
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
        epilog="Exit codes: 0 stopped by a signal, 1 start failed, 2 settings "
        "invalid.",
    )
    parser.add_argument(
        "--settings", required=True, type=pathlib.Path, help="TOML file"
    )
    parsed = parser.parse_args(arguments)
    try:
        content = _read_settings(parsed.settings)
        is_sidecar = sidecar_settings.selected(content)
        start = _run_sidecar if is_sidecar else _run_instance
        return start(parsed.settings, default_reactor)
    except schema.InvalidConfigurationError as error:
        print(error.message, file=sys.stderr)
        return EXIT_SETTINGS_INVALID


def _read_settings(path: pathlib.Path) -> bytes:
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


def _run_instance(path: pathlib.Path, reactor: Any) -> int:
    """Runs an instance to which targets announce themselves."""
    # Imported here, since the web framework would take half of the start time
    # of a sidecar, which does not use it.
    from cicadafront import settings
    from cicadafront.daemon import assembly

    instance_settings = settings.load(path)
    reactor.seconds = seconds_since_boot
    logs.start(
        sys.stderr,
        instance_settings.instance,
        _level(instance_settings.log_level),
    )
    built = assembly.FleetAssembly(reactor, instance_settings)
    daemon = root.Daemon(reactor, built.options, built.build)
    built.abandon = daemon.agent.abandon
    built.is_down = daemon.calls.is_down
    return run(daemon)


def _run_sidecar(path: pathlib.Path, reactor: Any) -> int:
    """Runs an instance as the sidecar of one target."""
    gc.disable()
    from cicadafront.sidecar import assembly, reload

    gc.enable()

    instance_settings = sidecar_settings.load(path)
    reactor.seconds = seconds_since_boot
    pipe = logs.start_pipe(
        sys.stdout.fileno(),
        instance_settings.instance,
        _level(instance_settings.log_level),
    )
    built = assembly.SidecarAssembly(reactor, instance_settings)
    built.count_logs(pipe)
    _log.info("started.", incarnation=built.options.incarnation)
    daemon = root.Daemon(reactor, built.options, built.build)
    built.is_down = daemon.calls.is_down
    built.accepts_callers = lambda: daemon.accepts_callers
    reload.SettingsFile(
        path, reactor, built.loops, instance_settings, built.apply_settings
    ).start()
    return run(daemon)


def _level(name: str) -> logs.Level:
    return logs.Level[name.upper()]


if __name__ == "__main__":
    sys.exit(main())
