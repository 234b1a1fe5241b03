"""Puts the log lines of several processes together into one request's story.

Clocks of machines differ, so that the times of two logs cannot be compared
closely. The request's own line tells its steps in order, in milliseconds
since its head; lines of other processes are listed beside it by how far they
are from its end on the writer's own clock.
"""

import json
from collections.abc import Iterable
from typing import Any

import attrs

REQUEST = "entry: a request got no good answer."
# Lines this much before the beginning of a request may tell why it failed:
# judgements of a target, links and configurations last for seconds.
BEFORE_SECONDS = 5.0
# Lines after its end, with the difference of two clocks.
AFTER_SECONDS = 1.0
# Fields that every line has.
_COMMON = frozenset(
    {
        "text",
        "level",
        "instance",
        "timestamp",
        "task_uuid",
        "task_level",
        "message_type",
    }
)


@attrs.frozen
class Line:
    """One log line.

    Attributes:
        instance: Instance that wrote it.
        time: Unix time on the writer's clock, in seconds.
        text: Part and event.
        fields: Its other fields.
    """

    instance: str
    time: float
    text: str
    fields: dict[str, Any]


@attrs.frozen
class RequestReport:
    """What is known of one request.

    Attributes:
        line: The line of the request itself.
        related: Lines of any process that concern it, by time.
    """

    line: Line
    related: tuple[Line, ...]


def read(lines: Iterable[str]) -> tuple[list[Line], int]:
    """Returns the log lines among lines of text, and how many were none.

    A line may have a prefix, such as the name of its machine.
    """
    found, skipped = [], 0
    for text in lines:
        if not text.strip():
            continue
        try:
            found.append(_line(text[text.index("{") :]))
        except (ValueError, KeyError, TypeError):
            skipped += 1
    return found, skipped


def _line(text: str) -> Line:
    content = json.loads(text)
    fields = {k: v for k, v in content.items() if k not in _COMMON}
    return Line(
        str(content["instance"]),
        float(content["timestamp"]),
        str(content.get("text") or content.get("message") or ""),
        fields,
    )


def find(lines: Iterable[Line], request: str) -> RequestReport | None:
    """Returns the story of a request, or None if no line names it."""
    known = list(lines)
    own = next(
        (
            line
            for line in known
            if line.text == REQUEST and line.fields.get("request") == request
        ),
        None,
    )
    if own is None:
        return None
    names = _names(own, known)
    begin = own.time - float(own.fields.get("seconds", 0.0)) - BEFORE_SECONDS
    related = [
        line
        for line in known
        if line is not own
        and begin <= line.time <= own.time + AFTER_SECONDS
        and _concerns(line, own, names)
    ]
    return RequestReport(
        own, tuple(sorted(related, key=lambda line: line.time))
    )


def _names(own: Line, known: list[Line]) -> set[str]:
    """Returns the targets that were asked, and the instances beside them."""
    steps = [*own.fields.get("asked", ()), *own.fields.get("standing", ())]
    targets = {str(step).split(" ")[0] for step in steps}
    related = {
        line.instance
        for line in known
        if line.fields.get("target") in targets
        and line.text.startswith(("gate:", "membership: a target"))
    }
    return (targets | related) - {"-", own.instance}


def _concerns(line: Line, own: Line, names: set[str]) -> bool:
    if line.text == REQUEST:
        return False
    if "request" in line.fields:
        return line.fields["request"] == own.fields.get("request")
    values = {line.fields.get(key) for key in ("target", "other", "keeper")}
    if values & names:
        return True
    if line.instance in names:
        # What the process beside a target did: start, stop, its target.
        return line.text.startswith(("daemon:", "membership: a target"))
    if line.instance != own.instance:
        return False
    if line.text.startswith("limits:"):
        return line.fields.get("account") == own.fields.get("account")
    return line.text.startswith(("config:", "daemon:", "settings:"))


def render(request_report: RequestReport) -> list[str]:
    """Returns the story as lines of text."""
    own = request_report.line
    fields = own.fields
    found = [
        f"request {fields.get('request')} at {own.instance}: "
        f"{fields.get('status')} {fields.get('code')}, "
        f"run: {fields.get('executed') or 'answered by the target'}, "
        f"{fields.get('seconds')} s",
        f"  route {fields.get('route')}, service {fields.get('service')}, "
        f"account {fields.get('account') or 'none'}",
    ]
    if fields.get("reason"):
        found.append(f"  reason: {fields['reason']}")
    if fields.get("suppressed_before"):
        found.append(
            f"  {fields['suppressed_before']} lines of other requests were "
            "left out before this one"
        )
    found.append("steps, in milliseconds after the head:")
    found += [f"  {_step(str(step))}" for step in fields.get("asked", ())]
    standing = fields.get("standing", ())
    if not (fields.get("asked") or standing):
        found.append("  no target was asked")
    if fields.get("phase"):
        found.append(
            f"it ended without an answer while {fields['phase']}; its copies, "
            "with their age in milliseconds:"
        )
        found += [f"  {_step(str(step))}" for step in standing]
    found.append(
        "beside it, in seconds before (-) or after the end, by each clock:"
    )
    for line in request_report.related:
        rest = " ".join(f"{k}={v}" for k, v in line.fields.items())
        found.append(
            f"  {line.time - own.time:+8.2f} {line.instance}: "
            f"{line.text} {rest}".rstrip()
        )
    if not request_report.related:
        found.append("  nothing that names a target, an instance or a limit")
    return found


def _step(step: str) -> str:
    """Returns one step of `asked` with its time first."""
    target, _, rest = step.partition(" ")
    what, _, time = rest.rpartition(" ")
    return f"{time:>8} {target} {what}"
