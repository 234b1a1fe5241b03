"""Checks the guarantees against what callers and targets observed.

The functions have no side effects.
"""

import bisect
import collections
from collections.abc import Iterable, Iterator

import attrs

# Statuses which guarantee that the request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Bounds of the user documentation, in seconds.
DRAIN_SECONDS = 2.0
APPLY_SECONDS = 2.0
# An instance is only checked after this time without a fault.
STABLE_SECONDS = 3.0
# Rate limits are checked in windows of this length.
QUOTA_SECONDS = 5.0
QUOTA_SHARE = 0.1
QUOTA_EXTRA = 20.0
# Retry budget: a share of the requests in a window, and a constant.
RETRY_WINDOW_SECONDS = 10.0
RETRY_SHARE = 0.2
# Smaller than in the deployments, since a soak has few instances.
RETRY_EXTRA = 10
# Time from the signal of a planned stop until its process has exited.
GRACE_SECONDS = 6.0
# A request sent within this time after the signal may be cut in the last sixth
# of the grace period while its target still runs it.
EARLY_SECONDS = 3.0
CUT_SECONDS = GRACE_SECONDS * 5 / 6
# For this time a request may be in flight while its connection is closed.
CLOSE_RACE_SECONDS = 0.2


@attrs.define
class Call:
    """One request of a caller; times are in seconds.

    Attributes:
        id: Unique id.
        kind: "read" or "pay".
        key: API key of the request.
        instance: Instance to which it was sent.
        sent: Time at which it was sent.
        status: Status of the response, 0 if there was none.
        stamp: Server stamp of the target in the response.
        body: Body of the response.
        ended: Time at which it ended.
        cut_off: Whether the connection was closed before a complete response.
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
    cut_off: bool = False


@attrs.define
class Run:
    """One request that a target began to run.

    Attributes:
        id: Id of the request.
        request_line: Method and path.
        target: Id of the target.
        instance: Instance to which the target belongs.
        account: Client account in the request that reached the target.
        key_forwarded: Whether the key itself reached the target.
        began: Time at which the run began, in seconds.
        status: Status of the target's response, 0 before it responds.
    """

    id: str
    request_line: str
    target: str
    instance: str
    account: str
    key_forwarded: bool
    began: float
    status: int = 0


@attrs.define
class History:
    """All observations of one soak; times are in seconds.

    Attributes:
        calls: Calls by id.
        runs: Runs in the order in which they began.
        arrivals: Ids and times of the requests that reached a target,
            including those that it refused.
        accounts: Account of each key that was ever issued.
        rates: Rate and burst of limited accounts.
        drain_acknowledged: Time at which an instance acknowledged that a
            target is draining, by target.
        withdrawn: Time at which the store acknowledged a key's withdrawal.
        fault_spans: Start and end of each fault by instance; "" for the store.
        stop_signals: Times of the signals of planned stops by instance.
        unplanned_spans: Start and end of each unplanned fault by instance,
            including the faults of its target.
        exited: Processes that exited unexpectedly, with their status.
        not_serving: Instances that did not serve again after all faults.
    """

    calls: dict[str, Call] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    arrivals: list[tuple[str, float]] = attrs.field(factory=list)
    accounts: dict[str, str] = attrs.field(factory=dict)
    rates: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    drain_acknowledged: dict[str, float] = attrs.field(factory=dict)
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    fault_spans: dict[str, list[tuple[float, float]]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    stop_signals: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    unplanned_spans: dict[str, list[tuple[float, float]]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    exited: list[str] = attrs.field(factory=list)
    not_serving: list[str] = attrs.field(factory=list)

    def is_stable(self, instance: str, time: float) -> bool:
        """Returns whether neither an instance nor the store had a fault.

        A fault counts until `STABLE_SECONDS` after its end.
        """
        spans = [*self.fault_spans[instance], *self.fault_spans[""]]
        return all(
            time < begin or time > end + STABLE_SECONDS for begin, end in spans
        )

    def is_undisturbed(
        self, instances: Iterable[str], begin: float, end: float
    ) -> bool:
        """Returns whether no unplanned fault overlaps a span of time."""
        return not any(
            first <= end and last >= begin
            for instance in instances
            for first, last in self.unplanned_spans.get(instance, ())
        )


def request_line_of(call: Call) -> str:
    """Returns the method and path of a call."""
    method = "GET" if call.kind == "read" else "POST"
    return f"{method} /{call.kind}/{call.id}"


def stamp_of(run: Run) -> str:
    """Returns the server stamp that the target of a run adds to a response."""
    return f"{run.target}.{run.id}"


def body_of(run: Run) -> str:
    """Returns the response body of a run."""
    return f"{run.id} at {run.target}"


def violations(history: History) -> list[str]:
    """Returns a line for each violated guarantee."""
    found: list[str] = []
    for check in CHECKS:
        found += check(history)
    found += [f"exited unexpectedly: {name}" for name in history.exited]
    found += [f"did not recover: {name}" for name in history.not_serving]
    return found


def _by_id(runs: Iterable[Run]) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        found[run.id].append(run)
    return found


def _check_runs(history: History) -> Iterator[str]:
    for id, runs in _by_id(history.runs).items():
        call = history.calls.get(id)
        if call is None:
            yield f"unexpected: {id} ran, but no caller sent it"
            continue
        if call.kind == "pay" and len(runs) > 1:
            yield f"duplicate: {id} ran at {[run.target for run in runs]}"
        if call.status in NOT_EXECUTED_STATUSES:
            yield f"refused: {id} got {call.status}, but ran"
        for run in runs:
            if run.request_line != request_line_of(call):
                yield f"unexpected: {id} was changed to {run.request_line}"
            if run.key_forwarded or run.account != history.accounts.get(
                call.key, ""
            ):
                yield f"unexpected: {id} ran for account {run.account!r}"
        if call.key not in history.accounts:
            yield f"unexpected: {id} ran with a key that was never issued"


def _check_responses(history: History) -> Iterator[str]:
    runs = _by_id(history.runs)
    for call in history.calls.values():
        runs_by_stamp = {stamp_of(run): run for run in runs[call.id]}
        run = runs_by_stamp.get(call.stamp)
        if call.stamp and run is None:
            yield f"wrong response: {call.id} got the stamp {call.stamp}"
        elif run is not None and run.status != call.status:
            yield (
                f"wrong response: {call.id} got {call.status}, but its target "
                f"sent {run.status}"
            )
        elif 200 <= call.status < 300 and run is None:
            yield f"wrong response: {call.id} got {call.status} without a stamp"
        elif call.status == 200 and run and call.body != body_of(run):
            yield f"wrong response: {call.id} got the body {call.body!r}"


def _check_drained_targets(history: History) -> Iterator[str]:
    for run in history.runs:
        drain_acknowledged = history.drain_acknowledged.get(run.target)
        if (
            drain_acknowledged is None
            or run.began <= drain_acknowledged + DRAIN_SECONDS
        ):
            continue
        call = history.calls.get(run.id)
        target_side_stable = history.is_stable(run.instance, run.began)
        if (
            target_side_stable
            and call
            and history.is_stable(call.instance, run.began)
        ):
            late = run.began - drain_acknowledged
            yield (
                f"draining: {run.id} began {late:.2f} s after the "
                f"acknowledgement at {run.target}"
            )


def _check_rates(history: History) -> Iterator[str]:
    for account, (rate, burst) in history.rates.items():
        limit = (rate * QUOTA_SECONDS + burst) * (1 + QUOTA_SHARE) + QUOTA_EXTRA
        first_began = {}
        for run in history.runs:
            if run.account == account:
                first_began.setdefault(run.id, run.began)
        times = sorted(first_began.values())
        for index, time in enumerate(times):
            count = sum(t < time + QUOTA_SECONDS for t in times[index:])
            if count > limit:
                yield f"rate: {account} had {count} in 5 s, {limit:.0f} allowed"
                break


def _check_withdrawn_keys(history: History) -> Iterator[str]:
    for call in history.calls.values():
        time = history.withdrawn.get(call.key)
        if time is None or call.sent <= time + APPLY_SECONDS:
            continue
        if 200 <= call.status < 300 and history.is_stable(
            call.instance, call.sent
        ):
            late = call.sent - time
            yield f"withdrawn: {call.id} was served {late:.2f} s later"


def _check_retries(history: History) -> Iterator[str]:
    seen: set[str] = set()
    retries = []
    for id, time in sorted(history.arrivals, key=lambda each: each[1]):
        if id in seen:
            retries.append(time)
        seen.add(id)
    sent = sorted(call.sent for call in history.calls.values())

    def requests(begin: float) -> int:
        end = begin + RETRY_WINDOW_SECONDS
        return bisect.bisect_left(sent, end) - bisect.bisect_left(sent, begin)

    for index, time in enumerate(retries):
        count = bisect.bisect_left(retries, time + RETRY_WINDOW_SECONDS) - index
        # This window, and the ones that begin half a window and one window
        # earlier.
        starts = (time - part * RETRY_WINDOW_SECONDS for part in (0, 0.5, 1))
        limit = RETRY_SHARE * max(map(requests, starts)) + RETRY_EXTRA
        if count > limit:
            yield (
                f"retries: {count} in 10 s from {time:.2f} s, "
                f"{limit:.0f} allowed"
            )
            return


def _check_lost_requests(history: History) -> Iterator[str]:
    arrived = {id for id, _ in history.arrivals}
    runs = _by_id(history.runs)
    for call in history.calls.values():
        for signal in history.stop_signals.get(call.instance, ()):
            ended = call.ended - signal
            if not call.cut_off or not 0 <= ended <= GRACE_SECONDS + 1.0:
                continue
            if call.id in arrived:
                allowed = _is_allowed_cut_while_running(
                    history, call, runs[call.id], signal
                )
            else:
                allowed = _is_allowed_cut_before_target(history, call)
            if not allowed:
                yield (
                    f"lost: {call.id} was sent {call.sent - signal:.2f} s "
                    f"after the signal of {call.instance} and cut off after "
                    f"{call.ended - call.sent:.2f} s"
                )


def _is_allowed_cut_while_running(
    history: History, call: Call, runs: list[Run], signal: float
) -> bool:
    """Returns whether a call that reached a target may have been cut off."""
    early = call.sent - signal <= EARLY_SECONDS
    last = call.ended - signal >= CUT_SECONDS
    if early and last and any(not run.status for run in runs):
        return True
    concerned = {call.instance, *(run.instance for run in runs)}
    return not history.is_undisturbed(
        concerned, call.sent - STABLE_SECONDS, call.ended
    )


def _is_allowed_cut_before_target(history: History, call: Call) -> bool:
    """Returns whether a call that reached no target may have been cut off.

    It may be held by a paused instance or by a link that forwards nothing.
    """
    if call.ended - call.sent <= CLOSE_RACE_SECONDS:
        return True
    begin = call.sent - STABLE_SECONDS
    return not history.is_undisturbed(
        history.unplanned_spans, begin, call.ended
    )


CHECKS = (
    _check_runs,
    _check_responses,
    _check_drained_targets,
    _check_rates,
    _check_withdrawn_keys,
    _check_retries,
    _check_lost_requests,
)
