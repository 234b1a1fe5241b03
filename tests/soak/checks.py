"""Checks the promises on what callers and targets saw; pure."""

import bisect
import collections
from collections.abc import Iterable, Iterator

import attrs

# Statuses that promise that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
# Bounds of the users' pages, in seconds.
DRAIN_SECONDS = 2.0
APPLY_SECONDS = 2.0
# An instance is judged once it was undisturbed for this time.
STABLE_SECONDS = 3.0
QUOTA_SECONDS = 5.0
QUOTA_SHARE = 0.1
QUOTA_EXTRA = 20.0
REPEAT_SECONDS = 10.0
REPEAT_SHARE = 0.2
# Less than the deployments allow: a soak has few instances.
REPEAT_EXTRA = 10
# Time from the signal of a planned stop to the end of its process.
GRACE_SECONDS = 6.0
# A request that was sent this soon after the signal may be cut in the last
# sixth of the grace while its target is at work.
EARLY_SECONDS = 3.0
CUT_SECONDS = GRACE_SECONDS * 5 / 6
# A request may cross the close of its connection for this time.
CROSSING_SECONDS = 0.2


@attrs.define
class Call:
    """One request of a caller.

    Attributes:
        id: Unique id.
        kind: "read" or "pay".
        key: Key that it carried.
        instance: Instance that took it.
        sent: Time of the send.
        status: Status of the answer, 0 if there was none.
        stamp: Proof of the target in the answer.
        body: Body of the answer.
        ended: Time at which it ended.
        broken: Whether the connection ended without a whole answer.
    """

    id: str
    kind: str
    key: str
    instance: str
    sent: float
    status: int = 0
    stamp: str = ""
    body: str = ""
    ended: float = 0.0
    broken: bool = False


@attrs.define
class Run:
    """One request that a target began to run.

    Attributes:
        id: Id of the request.
        line: Method and path.
        target: Id of the target.
        instance: Instance beside it.
        account: Client account that the target was told.
        keyed: Whether the key itself reached the target.
        began: Time at which it began.
        status: Status that the target answered, 0 for none yet.
    """

    id: str
    line: str
    target: str
    instance: str
    account: str
    keyed: bool
    began: float
    status: int = 0


@attrs.define
class History:
    """All that was seen in one soak.

    Attributes:
        calls: Calls by id.
        runs: Runs in the order of their beginning.
        arrivals: Ids and times of the requests that reached a target, those
            that it refused included.
        accounts: Account of each key that was ever given.
        rates: Rate and burst of limited accounts.
        left: Time at which the leaving of a target was acknowledged.
        withdrawn: Time at which the store acknowledged a key's withdrawal.
        disturbed: Spans of disturbance by instance; "" for the store.
        stopped: Times of the signals of planned stops by instance.
        unplanned: Spans of unplanned disturbance by instance, those of the
            target beside it included.
        ended: Processes that ended by themselves, with their status.
        unserved: Instances that did not serve again after all faults.
    """

    calls: dict[str, Call] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    arrivals: list[tuple[str, float]] = attrs.field(factory=list)
    accounts: dict[str, str] = attrs.field(factory=dict)
    rates: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    left: dict[str, float] = attrs.field(factory=dict)
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    disturbed: dict[str, list[tuple[float, float]]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    stopped: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    unplanned: dict[str, list[tuple[float, float]]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    ended: list[str] = attrs.field(factory=list)
    unserved: list[str] = attrs.field(factory=list)

    def in_touch(self, instance: str, time: float) -> bool:
        """Returns whether an instance was undisturbed before a time."""
        spans = [*self.disturbed[instance], *self.disturbed[""]]
        return all(
            time < begin or time > end + STABLE_SECONDS for begin, end in spans
        )

    def calm(self, instances: Iterable[str], begin: float, end: float) -> bool:
        """Returns whether no unplanned disturbance touched a span."""
        return not any(
            first <= end and last >= begin
            for instance in instances
            for first, last in self.unplanned.get(instance, ())
        )


def line_of(call: Call) -> str:
    """Returns the method and path of a call."""
    method = "GET" if call.kind == "read" else "POST"
    return f"{method} /{call.kind}/{call.id}"


def stamp_of(run: Run) -> str:
    """Returns the proof that the target of a run adds to its answer."""
    return f"{run.target}.{run.id}"


def body_of(run: Run) -> str:
    """Returns the body with which a run is answered."""
    return f"{run.id} at {run.target}"


def violations(history: History) -> list[str]:
    """Returns all promises that were broken."""
    found: list[str] = []
    for check in CHECKS:
        found += check(history)
    found += [f"ended by itself: {name}" for name in history.ended]
    found += [f"does not serve again: {name}" for name in history.unserved]
    return found


def _by_id(runs: Iterable[Run]) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        found[run.id].append(run)
    return found


def _runs(history: History) -> Iterator[str]:
    for id, runs in _by_id(history.runs).items():
        call = history.calls.get(id)
        if call is None:
            yield f"unasked: {id} was sent by no caller"
            continue
        if call.kind == "pay" and len(runs) > 1:
            yield f"twice: {id} ran at {[run.target for run in runs]}"
        if call.status in NOT_RUN:
            yield f"refused: {id} got {call.status} and ran"
        for run in runs:
            if run.line != line_of(call):
                yield f"unasked: {id} was changed to {run.line}"
            if run.keyed or run.account != history.accounts.get(call.key, ""):
                yield f"unasked: {id} ran for {run.account!r}"
        if call.key not in history.accounts:
            yield f"unasked: {id} ran with a key that was never given"


def _answers(history: History) -> Iterator[str]:
    runs = _by_id(history.runs)
    for call in history.calls.values():
        own = {stamp_of(run): run for run in runs[call.id]}
        run = own.get(call.stamp)
        if call.stamp and run is None:
            yield f"mixed: {call.id} got the proof {call.stamp}"
        elif run is not None and run.status != call.status:
            yield f"mixed: {call.id} got {call.status} for {run.status}"
        elif 200 <= call.status < 300 and run is None:
            yield f"mixed: {call.id} got {call.status} without proof"
        elif call.status == 200 and run and call.body != body_of(run):
            yield f"mixed: {call.id} got the body {call.body!r}"


def _leaving(history: History) -> Iterator[str]:
    for run in history.runs:
        left = history.left.get(run.target)
        if left is None or run.began <= left + DRAIN_SECONDS:
            continue
        call = history.calls.get(run.id)
        beside = history.in_touch(run.instance, run.began)
        if beside and call and history.in_touch(call.instance, run.began):
            late = run.began - left
            yield f"leaving: {run.id} began {late:.2f} s after at {run.target}"


def _rates(history: History) -> Iterator[str]:
    for account, (rate, burst) in history.rates.items():
        most = (rate * QUOTA_SECONDS + burst) * (1 + QUOTA_SHARE) + QUOTA_EXTRA
        first = {}
        for run in history.runs:
            if run.account == account:
                first.setdefault(run.id, run.began)
        times = sorted(first.values())
        for place, time in enumerate(times):
            count = sum(t < time + QUOTA_SECONDS for t in times[place:])
            if count > most:
                yield f"rate: {account} had {count} in 5 s, {most:.0f} allowed"
                break


def _withdrawn(history: History) -> Iterator[str]:
    for call in history.calls.values():
        time = history.withdrawn.get(call.key)
        if time is None or call.sent <= time + APPLY_SECONDS:
            continue
        if 200 <= call.status < 300 and history.in_touch(
            call.instance, call.sent
        ):
            late = call.sent - time
            yield f"withdrawn: {call.id} was served {late:.2f} s after"


def _repeats(history: History) -> Iterator[str]:
    first: set[str] = set()
    again = []
    for id, time in sorted(history.arrivals, key=lambda each: each[1]):
        if id in first:
            again.append(time)
        first.add(id)
    sent = sorted(call.sent for call in history.calls.values())

    def requests(begin: float) -> int:
        end = begin + REPEAT_SECONDS
        return bisect.bisect_left(sent, end) - bisect.bisect_left(sent, begin)

    for place, time in enumerate(again):
        count = bisect.bisect_left(again, time + REPEAT_SECONDS) - place
        # The window, the one before it, and the one half a window before it.
        starts = (time - part * REPEAT_SECONDS for part in (0, 0.5, 1))
        most = REPEAT_SHARE * max(map(requests, starts)) + REPEAT_EXTRA
        if count > most:
            yield f"repeats: {count} from {time:.2f} s, {most:.0f} allowed"
            return


def _lost(history: History) -> Iterator[str]:
    arrived = {id for id, _ in history.arrivals}
    runs = _by_id(history.runs)
    for call in history.calls.values():
        for signal in history.stopped.get(call.instance, ()):
            ended = call.ended - signal
            if not call.broken or not 0 <= ended <= GRACE_SECONDS + 1.0:
                continue
            if call.id in arrived:
                excused = _cut_at_work(history, call, runs[call.id], signal)
            else:
                excused = _never_passed_on(history, call)
            if not excused:
                yield (
                    f"lost: {call.id} was sent {call.sent - signal:.2f} s "
                    f"after the signal of {call.instance} and cut after "
                    f"{call.ended - call.sent:.2f} s"
                )


def _cut_at_work(
    history: History, call: Call, runs: list[Run], signal: float
) -> bool:
    """Whether a request that reached a target may end without an answer."""
    early = call.sent - signal <= EARLY_SECONDS
    last = call.ended - signal >= CUT_SECONDS
    if early and last and any(not run.status for run in runs):
        return True
    concerned = {call.instance, *(run.instance for run in runs)}
    return not history.calm(concerned, call.sent - STABLE_SECONDS, call.ended)


def _never_passed_on(history: History, call: Call) -> bool:
    """Whether a request that reached no target may end without an answer.

    An instance that is paused, or a link that is silent, may have it.
    """
    if call.ended - call.sent <= CROSSING_SECONDS:
        return True
    begin = call.sent - STABLE_SECONDS
    return not history.calm(history.unplanned, begin, call.ended)


CHECKS = (_runs, _answers, _leaving, _rates, _withdrawn, _repeats, _lost)
