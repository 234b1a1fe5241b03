"""Decisions that `bench.hot` measures, at the target size.

All state is generated deterministically. Only the choice of a target uses a
random source, which is seeded.
"""

import functools
import hashlib
import itertools
import random
import tracemalloc
from collections.abc import Callable

import attrs

from bench import gossip_fleet
from cicadafront import model, ports
from cicadafront.config import folder
from cicadafront.config import model as config_model
from cicadafront.health import detector, outcomes, reference
from cicadafront.limits import grants, ledger, records
from cicadafront.membership import codec as gossip_codec
from cicadafront.membership import messages
from cicadafront.membership import records as members
from cicadafront.peer import codec as peer_codec
from cicadafront.peer import exchange
from cicadafront.routing import fairqueue, picker, subset, subset_view

SEED = 1
INSTANCES = 1300
TARGETS = 15_000
SERVICES = 880
LARGE_SERVICE = 17
ACCOUNTS = 33_000
ROUTES = 8_000
DATA_CENTRES = 6
REQUESTS_PER_SECOND = 290_000 / INSTANCES
# Changes of instance and target records per second: 2,430 replacements a day,
# each with three states of the old and the new instance together and four of
# each of 12 targets.
FLEET_CHANGES_PER_SECOND = 2430 * (3 + 4 * 12) / 86_400
# 12 targets, each evaluated every 0.1 s.
VERDICTS_PER_SECOND = 12 / 0.1
# Begins at one of 48 owners that share the records of the fleet. The design
# does not specify how many requests carry an idempotency key; one in ten is an
# assumption.
BEGINS_PER_SECOND = 290_000 / 10 / 48
CONFIG_CHANGES_PER_SECOND = 2700 / 86_400
# Gossip sends 1.2 KB/s. The smallest datagrams have about 100 bytes with IP and
# UDP headers, so at most 12 datagrams/s are sent and at most 12 received.
DATAGRAMS_PER_SECOND = 1200 / 100


@attrs.frozen
class TimedCase:
    """A decision and the processor time that it may use.

    Attributes:
        name: Name in the table.
        make: Builds the state and returns the action to time.
        rate: Actions per second on one instance at the target size.
        share: Share of a core that all these actions together may use.
        slow: Whether a single call takes long enough to be timed by itself.
    """

    name: str
    make: Callable[[], Callable[[], object]]
    rate: float
    share: float
    slow: bool = False


@attrs.frozen
class CountedCase:
    """A figure that does not depend on the machine, and its bound."""

    name: str
    unit: str
    count: Callable[[], float]
    bound: float


def _target(number: int, services: int) -> model.Target:
    instance = number % INSTANCES
    return model.Target(
        f"i{instance:04d}-t{number // INSTANCES:02d}",
        f"svc-{number % services}",
        f"i{instance:04d}",
        3,
        warm_since=-60.0,
        data_centre=f"dc-{instance % DATA_CENTRES}",
    )


class Directory:
    """Directory of all instances and targets at the target size."""

    def __init__(self, targets: int = TARGETS, services: int = SERVICES):
        self._handlers: list[Callable[[], None]] = []
        self._targets: dict[str, list[model.Target]] = {}
        for number in range(targets):
            target = _target(number, services)
            self._targets.setdefault(target.service, []).append(target)
        self._instances = [
            ports.InstanceInfo(
                f"i{n:04d}", 1, f"dc-{n % DATA_CENTRES}", ("10.0.0.1", 7100)
            )
            for n in range(INSTANCES)
        ]

    def targets(self, service: str) -> list[model.Target]:
        """Returns the targets of a service."""
        return self._targets.get(service, [])

    def instances(self) -> list[ports.InstanceInfo]:
        """Returns all instances."""
        return self._instances

    def instance(self, id: str) -> ports.InstanceInfo | None:
        """Returns one instance."""
        return self._instances[int(id[1:])]

    def on_change(self, handler: Callable[[], None]) -> None:
        """Registers a function to call after a change."""
        self._handlers.append(handler)

    def change(self) -> None:
        """Calls all registered change handlers."""
        for handler in self._handlers:
            handler()


def _picker(view: subset_view.SubsetView) -> picker.Picker:
    return picker.Picker(random.Random(SEED), view.targets, data_centre="dc-0")


def _pick_fleet() -> Callable[[], object]:
    view = subset_view.SubsetView("i0000", Directory())
    target_picker = _picker(view)
    services = itertools.cycle(f"svc-{n}" for n in range(SERVICES))
    for _ in range(SERVICES):
        target_picker.pick(next(services), frozenset(), 0.0)
    return lambda: target_picker.pick(next(services), frozenset(), 0.0)


def _pick_service() -> Callable[[], object]:
    view = subset_view.SubsetView("i0000", Directory(LARGE_SERVICE, 1))
    target_picker = _picker(view)
    return lambda: target_picker.pick("svc-0", frozenset(), 0.0)


def _pick_after_change() -> Callable[[], object]:
    directory = Directory()
    target_picker = _picker(subset_view.SubsetView("i0000", directory))

    def action() -> object:
        directory.change()
        return target_picker.pick("svc-0", frozenset(), 0.0)

    return action


def _queue(accounts: int) -> Callable[[], object]:
    queue = fairqueue.FairQueue(3, lambda _: None, lambda *_: None)
    times = itertools.count()

    def submit(account: str) -> fairqueue.Entry:
        now = next(times) * 0.001
        entry = fairqueue.Entry(account, now + 3600)
        queue.submit(entry, now)
        return entry

    running = [submit(f"a{n % accounts}") for n in range(3)]
    names = itertools.cycle(f"a{n}" for n in range(accounts))

    def action() -> None:
        entry = running.pop(0)
        queue.finished(entry, next(times) * 0.001)
        running.append(submit(next(names)))

    return action


def _admission() -> Callable[[], object]:
    credit = grants.Grants()
    credit.admit(0.0, "a1")
    grant = ledger.Grant((1, 1), 10**9, 2.0)
    credit.granted(0.0, 0.0, "a1", grant)
    return lambda: credit.admit(0.5, "a1")


def _warmed_up_detector() -> tuple[
    detector.Detector, reference.Reference, list[float]
]:
    target_detector = detector.Detector("t0")
    references = reference.References()
    clock = [0.0]
    for number in range(LARGE_SERVICE):
        other = detector.Detector(f"t{number}")
        for serial in range(64):
            _run_request(other, clock, serial)
        references.learn(clock[0], other.summary(clock[0], 1.0))
    for serial in range(64):
        _run_request(target_detector, clock, serial)
    return target_detector, references.reference(clock[0], "t0"), clock


def _run_request(
    target_detector: detector.Detector, clock: list[float], serial: int
) -> None:
    clock[0] += 0.001
    request = outcomes.Request(serial, f"r{serial % 4}")
    target_detector.started(clock[0], request)
    target_detector.finished(clock[0], request, outcomes.Completed(200, 0.02))


def _outcome() -> Callable[[], object]:
    target_detector, _, clock = _warmed_up_detector()
    serials = itertools.count(1000)
    return lambda: _run_request(target_detector, clock, next(serials))


def _verdict() -> Callable[[], object]:
    target_detector, references, clock = _warmed_up_detector()
    for serial in range(3):
        target_detector.started(
            clock[0], outcomes.Request(10_000 + serial, "r0")
        )
    return lambda: target_detector.verdict(clock[0] + 0.1, references)


@functools.cache
def files() -> dict[str, bytes]:
    """Returns a configuration of the target size as TOML files."""
    secret = config_model.secret_digest("secret").hex()
    accounts = "".join(
        f"[accounts.a{n}]\nrate = 10\nburst = 20\n" for n in range(ACCOUNTS)
    )
    keys = "".join(
        f'[keys.k{n}]\naccount = "a{n}"\ndigest = "{secret}"\n'
        for n in range(ACCOUNTS)
    )
    services = "".join(f"[services.svc-{n}]\n" for n in range(SERVICES))
    routes = "".join(
        f'[routes.r{n}]\nprefix = "/s{n % SERVICES}/r{n}"\n'
        f'methods = ["GET"]\nservice = "svc-{n % SERVICES}"\n'
        for n in range(ROUTES)
    )
    parts = (accounts, services, routes, keys)
    return {f"{n}0.toml": text.encode() for n, text in enumerate(parts, 1)}


@functools.cache
def _configuration() -> config_model.Configuration:
    return folder.merge(files()).configuration()


def _merge() -> Callable[[], object]:
    files()

    def action() -> config_model.Configuration:
        # The result stays cached for the other benchmarks that use it.
        _configuration.cache_clear()
        return _configuration()

    return action


def _index() -> Callable[[], object]:
    configuration = _configuration()
    return lambda: attrs.evolve(configuration, revision=2)


def _route_and_key() -> Callable[[], object]:
    configuration = _configuration()
    numbers = itertools.cycle(range(0, ROUTES, 7))

    def action() -> None:
        number = next(numbers)
        path = f"/s{number % SERVICES}/r{number}/item/7?from=1"
        assert configuration.route_for("GET", path) is not None
        assert configuration.account_for(f"cf_k{number}_secret") is not None

    return action


def _begin() -> Callable[[], object]:
    record_table = records.Records(0, 1, records.Memory(1 << 40))
    digest = hashlib.sha256(b"body").digest()
    numbers = itertools.count()

    def action() -> object:
        n = next(numbers)
        return record_table.begin(
            0.0, f"a{n % 128}", f"k{n}", digest, f"{n}", 30, False
        )

    return action


def datagram() -> messages.Message:
    """Returns an acknowledgement with one target and four broadcast ids."""
    record = members.TargetRecord(
        "i0001-t01", "svc-1", ("", 8001), 3, "i0001", 1, 2
    )
    return messages.Message(
        "i0001", 1_700_000_000_000, 7, messages.Ack(), [record], (1, 2, 3, 4)
    )


def _gossip() -> Callable[[], object]:
    message = datagram()
    return lambda: gossip_codec.decode(gossip_codec.encode(message, 0.0), 0.0)


def open_frame() -> peer_codec.Open:
    """Returns the open frame of a typical request."""
    headers = (
        (b"Host", b"records"),
        (b"User-Agent", b"bench"),
        (b"Accept", b"*/*"),
        (b"Accept-Encoding", b"gzip"),
    )
    head = model.RequestHead("GET", "/s1/r1/item/7?from=1", headers)
    return peer_codec.Open(
        7,
        exchange.OpenRequest(
            head,
            "a1",
            "svc-1",
            "i0001-t01",
            30.0,
            True,
            "00-" + "1" * 32 + "-" + "2" * 16 + "-01",
            fingerprint=b"f" * 32,
        ),
    )


def _frame() -> Callable[[], object]:
    frame = open_frame()
    return lambda: peer_codec.decode(peer_codec.encode(frame))


# The shares of the decisions for each request add up to 6% of a core, for the
# entry and the agent together. The rest of the core is for sockets and HTTP.
TIMED = (
    # 2% of a core over 224 requests/s: 89 us each.
    TimedCase(
        "choice: 15,000 targets, 880 services",
        _pick_fleet,
        REQUESTS_PER_SECOND,
        0.02,
    ),
    TimedCase(
        "choice: 17 targets of one service",
        _pick_service,
        REQUESTS_PER_SECOND,
        0.02,
    ),
    # 1% over 1.4 changes/s: 7 ms each.
    TimedCase(
        "choice after a change in the fleet",
        _pick_after_change,
        FLEET_CHANGES_PER_SECOND,
        0.01,
    ),
    # 1% over 224 requests/s at the agents: 45 us each.
    TimedCase(
        "fair queue: finish and submit, 8 accounts",
        functools.partial(_queue, 8),
        REQUESTS_PER_SECOND,
        0.01,
    ),
    # 0.5% over 224 requests/s at the entry: 22 us each.
    TimedCase(
        "admission from held credit", _admission, REQUESTS_PER_SECOND, 0.005
    ),
    # 1% over 224 outcomes/s at the agents: 45 us each.
    TimedCase(
        "detector: start and outcome", _outcome, REQUESTS_PER_SECOND, 0.01
    ),
    # 1% over 120 verdicts/s: 83 us each.
    TimedCase("detector: verdict", _verdict, VERDICTS_PER_SECOND, 0.01),
    # Runs once per change, in the operator's command. A change must take effect
    # within 17 s. Merge and check may use 4 s of that, which is 12.5% of the
    # 32 s between two changes.
    TimedCase(
        "merge and check of a configuration",
        _merge,
        CONFIG_CHANGES_PER_SECOND,
        0.125,
        slow=True,
    ),
    # 0.5% of a core over one change every 32 s: 160 ms on each instance.
    TimedCase(
        "index of a new configuration",
        _index,
        CONFIG_CHANGES_PER_SECOND,
        0.005,
        slow=True,
    ),
    # 0.5% over 224 requests/s at the entry: 22 us each.
    TimedCase(
        "route lookup and key check", _route_and_key, REQUESTS_PER_SECOND, 0.005
    ),
    # 0.5% over 12 datagrams/s: 417 us for sending one and receiving one.
    TimedCase(
        "gossip datagram: encode and decode",
        _gossip,
        DATAGRAMS_PER_SECOND,
        0.005,
    ),
    # 1% over 224 frames/s sent by the entry and 224 received by the agents.
    TimedCase(
        "open frame: encode and decode", _frame, REQUESTS_PER_SECOND, 0.01
    ),
    # 2% over 604 begins/s of an owner: 33 us each.
    TimedCase(
        "begin of an idempotency record", _begin, BEGINS_PER_SECOND, 0.02
    ),
)


def _targets_per_pick() -> float:
    """Returns the mean number of targets examined per choice of about 17."""
    view = subset_view.SubsetView("i0000", Directory())
    calls = itertools.count()

    def usable(now: float, instance: str) -> bool:
        next(calls)
        return True

    target_picker = picker.Picker(random.Random(SEED), view.targets, usable)
    for number in range(SERVICES):
        target_picker.pick(f"svc-{number}", frozenset(), 0.0)
    return next(calls) / SERVICES


def _record_bytes() -> float:
    """Returns the memory in bytes of an idempotency record after its begin."""
    record_table = records.Records(0, 1, records.Memory(1 << 40))
    count = 10_000
    tracemalloc.start()
    try:
        for n in range(count):
            digest = hashlib.sha256(str(n).encode()).digest()
            record_table.begin(
                0.0, f"a{n % 128}", f"key-{n}", digest, f"{n}", 30, False
            )
        return tracemalloc.get_traced_memory()[0] / count
    finally:
        tracemalloc.stop()


def _full_datagram() -> float:
    """Returns the size in bytes of a datagram with 12 target records."""
    record = datagram().carried[0]
    assert isinstance(record, members.TargetRecord)
    carried = [
        attrs.evolve(record, id=f"i0001-t{n:02d}", service=f"svc-{n}")
        for n in range(gossip_fleet.TARGETS)
    ]
    message = attrs.evolve(datagram(), carried=carried)
    return len(gossip_codec.encode(message, 0.0))


COUNTED = (
    # An entry uses at most 16 targets of a service at any fleet size.
    CountedCase(
        "targets looked at per choice",
        "calls",
        _targets_per_pick,
        subset.MAX_TARGETS,
    ),
    # The announcement of all targets of an instance fits into one datagram.
    CountedCase("datagram with 12 targets", "bytes", _full_datagram, 1400),
    # The memory limit of the records counts this many bytes for each record.
    CountedCase(
        "memory of a begun record",
        "bytes",
        _record_bytes,
        records.RECORD_OVERHEAD_BYTES,
    ),
)
