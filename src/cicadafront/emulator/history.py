"""Checks a history of calls against the executions at the targets.

Every call has the id of its request, which all retries share, and a unique id
of its send. The checks are those of docs/promises.md: a request runs for the
client account that sent it; it runs at most once unless it is repeatable; a
request refused as not executed did not run; a complete response is one that a
target sent for this request.
"""

import collections
import enum
from collections.abc import Iterable, Iterator

import attrs


class Outcome(enum.Enum):
    """How a call ended for the caller.

    Attributes:
        COMPLETE: A complete response arrived.
        REFUSED: The fleet answered with a problem response.
        INCOMPLETE: The connection was lost or the call timed out.
    """

    COMPLETE = "whole"
    REFUSED = "refused"
    INCOMPLETE = "broken"


@attrs.frozen
class Call:
    """One send of a request by a caller.

    Attributes:
        request: Id of the request; its retries share it.
        send: Id of this send.
        account: Client account of the API key in the request.
        repeatable: Whether the route may run it more than once.
        outcome: How the call ended.
        executed: "no" or "unknown" for refused calls.
        answer_digest: SHA-256 of the response body, in hex.
        code: Error code of a refused call.
    """

    request: str
    send: str
    account: str
    repeatable: bool
    outcome: Outcome
    executed: str = ""
    answer_digest: str = ""
    code: str = ""


@attrs.frozen
class Execution:
    """One execution of a request at a target."""

    target: str
    request: str
    send: str
    account: str
    answer_digest: str


@attrs.frozen
class Violation:
    """Violation of a guarantee by one request.

    Attributes:
        rule: Name of the violated rule.
        request: Id of the request.
        detail: Description for the report.
    """

    rule: str
    request: str
    detail: str


def check(
    calls: Iterable[Call], executions: Iterable[Execution]
) -> list[Violation]:
    """Returns all violations in a finished history."""
    by_request: dict[str, list[Call]] = collections.defaultdict(list)
    for call in calls:
        by_request[call.request].append(call)
    runs: dict[str, list[Execution]] = collections.defaultdict(list)
    for run in executions:
        runs[run.request].append(run)
    found: list[Violation] = []
    for request in sorted(by_request.keys() | runs.keys()):
        found += _check_request(request, by_request[request], runs[request])
    return found


def _check_request(
    request: str, calls: list[Call], runs: list[Execution]
) -> Iterator[Violation]:
    yield from _check_origin(request, calls, runs)
    yield from _check_once(request, calls, runs)
    yield from _check_not_run(request, calls, runs)
    yield from _check_answers(request, calls, runs)


def _check_origin(
    request: str, calls: list[Call], runs: list[Execution]
) -> Iterator[Violation]:
    accounts = {call.send: call.account for call in calls}
    for run in runs:
        if run.send not in accounts:
            yield Violation(
                "origin",
                request,
                f"{run.target} ran a request that was not sent",
            )
        elif accounts[run.send] != run.account:
            detail = f"ran for {run.account}, sent by {accounts[run.send]}"
            yield Violation("account", request, detail)


def _check_once(
    request: str, calls: list[Call], runs: list[Execution]
) -> Iterator[Violation]:
    if len(runs) > 1 and not all(call.repeatable for call in calls):
        targets = ", ".join(run.target for run in runs)
        yield Violation("once", request, f"ran {len(runs)} times: {targets}")


def _check_not_run(
    request: str, calls: list[Call], runs: list[Execution]
) -> Iterator[Violation]:
    sends = {run.send for run in runs}
    for call in calls:
        refused = call.outcome is Outcome.REFUSED and call.executed == "no"
        if refused and call.send in sends:
            detail = f"send {call.send} was refused as not run ({call.code})"
            yield Violation("not run", request, detail)


def _check_answers(
    request: str, calls: list[Call], runs: list[Execution]
) -> Iterator[Violation]:
    digests = {run.answer_digest for run in runs}
    for call in calls:
        complete = call.outcome is Outcome.COMPLETE
        if complete and call.answer_digest not in digests:
            detail = f"response to send {call.send} is from no run"
            yield Violation("answer", request, detail)


def coverage(calls: Iterable[Call]) -> dict[str, int]:
    """Counts the calls by outcome.

    The counts show whether the run contained failures at all; a history
    without them verifies little.
    """
    counts: collections.Counter[str] = collections.Counter()
    for call in calls:
        name = call.outcome.value
        if call.outcome is Outcome.REFUSED:
            name = f"refused, executed {call.executed}"
        counts[name] += 1
    return dict(counts)
