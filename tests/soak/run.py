"""Daemons of the deployment beside targets under random faults.

Real processes, with faults from outside: signals, a store that is away, slow,
silent or forgetful for all or for one, connections that are reset, delayed or
cut one way, targets that stall, fail, leave and are replaced, changes of the
configuration. The promises are checked on what callers and targets saw.

Run it with `python -m tests.soak.run --seconds 30 --seeds 1 2 3`.
"""

import argparse
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import Any

import attrs
import treq
from twisted.internet import defer, error, task
from twisted.web import client as web_client

from tests.platform.test_documents import DOCUMENT, ROUTE
from tests.soak import checks, parties, proxy

INSTANCES = 4
CALLERS = 8
CALL_SECONDS = 5.0
START_SECONDS = 30.0
# Time from the last fault until everything must serve again.
RECOVERY_SECONDS = 15.0
RATE, BURST = 10.0, 10.0
KEYS = {"key-a": "wide", "key-b": "narrow", "key-c": "wide", "key-d": "wide"}
# Ends of calls that no instance has broken off: no connection, or no time left.
NOT_BROKEN = (error.ConnectError, error.TimeoutError, defer.TimeoutError)
# Faults of planned work.
PLANNED = frozenset({"stop", "hup", "change"})
# Pauses between planned stops, which come in series, in seconds.
STOP_PAUSES = (1.0, 5.0)
# Pauses between faults, in seconds; several run at the same time.
PAUSES = (0.2, 1.5)
LENGTHS = (0.3, 3.0)


@attrs.frozen
class Fault:
    """One disturbance.

    Attributes:
        at: Seconds from the start of the soak.
        kind: What happens.
        place: Number of the instance, -1 for the store.
        seconds: How long it lasts.
        how: Variant of the kind.
    """

    at: float
    kind: str
    place: int
    seconds: float
    how: str = ""


VARIANTS: dict[str, tuple[str, ...]] = {
    "kill": ("",),
    "stop": ("",),
    "pause": ("",),
    "hup": ("",),
    "store": ("unavailable", "forgets"),
    "store link": ("DELAY", "SILENT", "NO_ANSWERS", "RESET"),
    "target link": ("DELAY", "SILENT", "RESET"),
    "target": parties.FAULTS,
    "leave": ("",),
    "replace": ("",),
    "change": ("timeout", "withdraw"),
}


def plan(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a soak."""
    rng = random.Random(seed)
    found = []
    at = 1.0
    while at < seconds:
        kind = rng.choice(list(VARIANTS))
        place = -1 if kind in ("store", "change") else rng.randrange(INSTANCES)
        how = rng.choice(VARIANTS[kind])
        found.append(Fault(at, kind, place, rng.uniform(*LENGTHS), how))
        at += rng.uniform(*PAUSES)
    for group in parties.LATER_FAULTS:
        found += _later(group, seed, seconds)
    found += _store_faults(seed, seconds)
    found += _stops(seed, seconds)
    return sorted(found, key=lambda each: each.at)


def _later(group: str, seed: int, seconds: float) -> Iterator[Fault]:
    """Yields the faults of kinds that were added after the first seeds."""
    rng = random.Random(f"{group} {seed}")
    at = rng.uniform(1.0, 6.0)
    while at < seconds:
        how = rng.choice(parties.LATER_FAULTS[group])
        place = rng.randrange(INSTANCES)
        yield Fault(at, "target", place, rng.uniform(*LENGTHS), how)
        at += rng.uniform(1.0, 6.0)


def _store_faults(seed: int, seconds: float) -> Iterator[Fault]:
    """Yields calls that the store never answers, and odd entries in it."""
    rng = random.Random(f"store {seed}")
    at = rng.uniform(1.0, 6.0)
    while at < seconds:
        how = rng.choice(parties.STORE_FAULTS)
        yield Fault(at, "store", -1, rng.uniform(*LENGTHS), how)
        at += rng.uniform(1.0, 6.0)


def _stops(seed: int, seconds: float) -> Iterator[Fault]:
    """Yields planned stops in series."""
    rng = random.Random(f"stops {seed}")
    at = rng.uniform(*STOP_PAUSES)
    while at < seconds:
        yield Fault(at, "stop", rng.randrange(INSTANCES), 0.0)
        at += rng.uniform(*STOP_PAUSES)


def _links(link: proxy.Proxy, how: str) -> tuple[Any, Any]:
    if how not in proxy.Mode.__members__:
        return None, None
    return (
        lambda: link.disturb(proxy.Mode[how]),
        lambda: link.disturb(proxy.Mode.PASS),
    )


class Soak:
    """One soak.

    Attributes:
        history: What was seen.
        told: The faults, as they happened.
    """

    def __init__(self, reactor: Any, seed: int, seconds: float):
        self.reactor = reactor
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed + 1)
        self.history = checks.History(
            accounts=dict(KEYS), rates={"narrow": (RATE, BURST)}
        )
        self.told: list[str] = []
        self.version = 1
        self.keys = list(KEYS)
        self.timeout = 2.0
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cicadafront-soak-"))
        self.store = parties.Store(reactor)
        self.store_port = self.store.listen()
        self.instances: list[parties.Instance] = []
        self.calling = True
        self.sent = 0
        for number in range(INSTANCES):
            name = f"n{number}"
            target = parties.Target(reactor, name, self.history, seed + number)
            link = proxy.Proxy(reactor, self.store_port.getHost().port)
            self.instances.append(
                parties.Instance(name, target, link, self.folder)
            )

    # Configuration.

    def configure(self) -> None:
        """Writes the next version."""
        self.version += 1
        routes = [
            {
                **ROUTE,
                "name": kind,
                "path_prefix": f"/{kind}/",
                "kind": "idempotent" if kind == "read" else "non_idempotent",
                "timeout_s": self.timeout,
                "service": parties.SERVICE,
            }
            for kind in ("read", "pay")
        ]
        tenants = [
            {
                "name": account,
                "api_keys": [key for key in self.keys if KEYS[key] == account],
                "rate_per_s": RATE if account == "narrow" else 0,
                "burst": BURST if account == "narrow" else 0,
            }
            for account in ("wide", "narrow")
        ]
        document = {
            **DOCUMENT,
            "version": self.version,
            "services": [{"name": parties.SERVICE}],
            "tenants": tenants,
            "virtual_hosts": [{"host": "one.example", "paths": routes}],
        }
        self.store.write("op/config", json.dumps(document).encode())

    # Callers.

    async def call_always(self, number: int) -> None:
        """Sends one request after the other on connections that stay open."""
        pool = web_client.HTTPConnectionPool(self.reactor, persistent=True)
        pool.retryAutomatically = False
        agent = web_client.Agent(self.reactor, pool=pool, connectTimeout=1.0)
        client = treq.client.HTTPClient(agent)
        while self.calling:
            instance = self.rng.choice(self.instances)
            key = self.rng.choice([*KEYS, "key-b", "unknown"])
            kind = self.rng.choice(("read", "pay"))
            await self.send(client, instance, kind, key)
            await parties.sleep(self.reactor, self.rng.uniform(0.0, 0.1))

    async def send(
        self, client: Any, instance: parties.Instance, kind: str, key: str
    ) -> checks.Call:
        """Sends one request and notes its end."""
        self.sent += 1
        now = self.reactor.seconds()
        id = f"{self.seed}-{self.sent}"
        call = checks.Call(id, kind, key, instance.name, now)
        self.history.calls[id] = call
        method, path = checks.line_of(call).split(" ")
        fields = {
            "Host": "one.example",
            "Cicadafront-Request-Id": id,
            "Cicadafront-Deadline-Ms": "3000",
            "Cicadafront-Key": key,
        }
        url = f"http://{parties.HOST}:{instance.ports['edge']}{path}"
        try:
            answer = await client.request(
                method,
                url,
                headers=fields,
                data=b"x" if kind == "pay" else None,
                timeout=CALL_SECONDS,
            )
            body = await answer.content()
        except Exception as failed:  # noqa: BLE001
            # No whole answer, for whatever reason, promises nothing.
            call.ended = self.reactor.seconds()
            in_time = call.ended < now + CALL_SECONDS
            call.broken = in_time and not isinstance(failed, NOT_BROKEN)
            return call
        call.ended = self.reactor.seconds()
        call.status = answer.code
        call.body = body.decode("latin-1")
        stamps = answer.headers.getRawHeaders("cicadafront-server-stamp", [""])
        call.stamp = stamps[0]
        return call

    # Faults.

    async def cause(self, fault: Fault) -> None:
        """Causes one fault and ends it."""
        name = "" if fault.place < 0 else self.instances[fault.place].name
        begin = self.reactor.seconds()
        # It counts as disturbed from now until the end is known.
        spans = self.history.disturbed[name]
        spans.append((begin, float("inf")))
        place = len(spans) - 1
        unplanned = self.history.unplanned[name]
        if fault.kind not in PLANNED:
            unplanned.append((begin, float("inf")))
        number = len(unplanned) - 1
        self.told.append(
            f"{fault.at:6.2f} s {fault.kind} {fault.how} {name} "
            f"for {fault.seconds:.2f} s"
        )
        begun, ended = self.action(fault)
        begun()
        await parties.sleep(self.reactor, fault.seconds)
        if ended is not None:
            ended()
        spans[place] = (begin, self.reactor.seconds())
        if fault.kind not in PLANNED:
            unplanned[number] = spans[place]

    def action(self, fault: Fault) -> tuple[Any, Any]:
        """Returns what begins a fault, and what ends it."""
        instance = self.instances[max(0, fault.place)]
        target = instance.target
        end, signalled = self.end, self.signal
        share = self.rng.choice((0.3, 1.0))
        store, how = self.store, fault.how
        actions: dict[str, tuple[Any, Any]] = {
            "kill": (lambda: end(instance, signal.SIGKILL), None),
            "stop": (lambda: end(instance, signal.SIGTERM), None),
            "hup": (lambda: signalled(instance, signal.SIGHUP), None),
            "pause": (
                lambda: signalled(instance, signal.SIGSTOP),
                lambda: signalled(instance, signal.SIGCONT),
            ),
            "store": (
                store.write_odd
                if how == "odd"
                else lambda: setattr(store, how, True),
                lambda: setattr(store, how, False),
            ),
            "store link": _links(instance.store, how),
            "target link": _links(target.proxy, how),
            "target": (
                lambda: self.set_fault(target, how, share),
                lambda: self.set_fault(target, "", 1.0),
            ),
            "leave": (lambda: setattr(target, "leaving", True), target.start),
            "replace": (target.start, None),
            "change": (lambda: self.change(how), None),
        }
        return actions[fault.kind]

    def set_fault(self, target: parties.Target, how: str, share: float) -> None:
        """Sets the fault of a target's work."""
        target.fault, target.share = how, share

    def signal(self, instance: parties.Instance, number: Any) -> None:
        """Sends a signal to a daemon that runs."""
        if instance.process is not None and not instance.planned:
            instance.process.signal(number)

    def end(self, instance: parties.Instance, number: Any) -> None:
        """Ends a daemon and starts it again once it is gone."""
        if instance.planned or instance.process is None:
            return
        instance.planned = True
        if number == signal.SIGTERM:
            now = self.reactor.seconds()
            self.history.stopped[instance.name].append(now)
        instance.process.signal(signal.SIGCONT)
        instance.process.signal(number)
        defer.ensureDeferred(self.restart(instance))

    async def restart(self, instance: parties.Instance) -> None:
        """Starts a daemon again once its process has ended."""
        begin = self.reactor.seconds()
        while instance.process.running():
            await parties.sleep(self.reactor, 0.1)
        instance.start()
        span = (begin, self.reactor.seconds() + checks.STABLE_SECONDS)
        self.history.disturbed[instance.name].append(span)

    def change(self, how: str) -> None:
        """Changes the configuration."""
        if how == "withdraw" and "key-d" in self.keys:
            self.keys.remove("key-d")
            self.history.withdrawn["key-d"] = self.reactor.seconds()
        self.timeout = self.rng.choice((1.5, 2.0, 2.5))
        self.configure()

    # The soak.

    async def run(self) -> list[str]:
        """Runs the soak; returns what was broken."""
        try:
            self.configure()
            beating = []
            for instance in self.instances:
                instance.start()
                beating.append(
                    defer.ensureDeferred(instance.beat_always(self.reactor))
                )
            assert await self.all_serve(START_SECONDS) == [], self.logs()
            await self.disturb()
            self.history.unserved = await self.all_serve(RECOVERY_SECONDS)
            self.history.ended += [
                f"{instance.name} ({instance.process.popen.returncode})"
                for instance in self.instances
                if not instance.process.running()
            ]
            for beat in beating:
                beat.addErrback(lambda _: None)
                beat.cancel()
            return checks.violations(self.history)
        finally:
            await self.stop()

    async def disturb(self) -> None:
        """Calls and disturbs at the same time."""
        calls = [
            defer.ensureDeferred(self.call_always(number))
            for number in range(CALLERS)
        ]
        start = self.reactor.seconds()
        faults = []
        for fault in plan(self.seed, self.seconds):
            wait = start + fault.at - self.reactor.seconds()
            await parties.sleep(self.reactor, max(0.0, wait))
            faults.append(defer.ensureDeferred(self.cause(fault)))
        await defer.gatherResults(faults)
        await parties.sleep(self.reactor, checks.STABLE_SECONDS + 1.0)
        self.calling = False
        await defer.gatherResults(calls)

    async def all_serve(self, seconds: float) -> list[str]:
        """Waits until each instance serves; returns those that do not."""
        client = treq.client.HTTPClient(
            web_client.Agent(
                self.reactor,
                pool=web_client.HTTPConnectionPool(
                    self.reactor, persistent=False
                ),
                connectTimeout=1.0,
            )
        )
        missing = list(self.instances)
        limit = self.reactor.seconds() + seconds
        while missing and self.reactor.seconds() < limit:
            for instance in list(missing):
                call = await self.send(client, instance, "read", "key-a")
                if call.status == 200:
                    missing.remove(instance)
            await parties.sleep(self.reactor, 0.2)
        return [instance.name for instance in missing]

    def logs(self) -> str:
        """Returns the ends of all logs."""
        return "\n".join(
            f"--- {path.name}\n{path.read_text(errors='replace')[-1500:]}"
            for path in sorted(self.folder.glob("*.log"))
        )

    async def stop(self) -> None:
        """Ends all processes and closes all sockets."""
        for instance in self.instances:
            if instance.process is not None:
                instance.process.kill()
            await instance.target.proxy.stop()
            await instance.store.stop()
            await instance.target.port.stopListening()
        await self.store_port.stopListening()


def soak(seed: int, seconds: float, keep: pathlib.Path | None) -> bool:
    """Runs one seed in this process; returns whether all promises held."""
    from twisted.internet import reactor

    running: Any = reactor
    running.seconds = time.monotonic
    results: list[list[str]] = []
    made = Soak(running, seed, seconds)

    async def main(_: Any) -> None:
        results.append(await made.run())

    try:
        task.react(lambda given: defer.ensureDeferred(main(given)), [])
    except SystemExit as ended:
        if ended.code:
            raise
    found = results[0]
    statuses: dict[int, int] = {}
    for call in made.history.calls.values():
        statuses[call.status] = statuses.get(call.status, 0) + 1
    counted = ", ".join(f"{s}: {n}" for s, n in sorted(statuses.items()))
    print(f"seed {seed}: {len(made.told)} faults, {counted}")
    for line in found:
        print(f"  BROKEN {line}")
    if found:
        print("  " + "\n  ".join(made.told))
        if keep is not None:
            shutil.copytree(made.folder, keep / str(seed), dirs_exist_ok=True)
    shutil.rmtree(made.folder, ignore_errors=True)
    return not found


def main() -> int:
    """Runs the seeds, each in a process of its own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    options = parser.parse_args()
    if len(options.seeds) == 1:
        good = soak(options.seeds[0], options.seconds, options.keep)
        return 0 if good else 1
    import subprocess

    failed = []
    for seed in options.seeds:
        given = [sys.executable, "-m", "tests.soak.run", "--seeds", str(seed)]
        given += ["--seconds", str(options.seconds)]
        if options.keep is not None:
            given += ["--keep", str(options.keep)]
        if subprocess.run(given, check=False).returncode:
            failed.append(seed)
    print(f"{len(options.seeds)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
