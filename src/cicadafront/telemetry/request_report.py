"""Builds a report of a failed request from the logs of several processes.

The clocks of machines differ, so that timestamps of different logs are only
roughly comparable. The log line of the request itself lists its attempts in
order, in milliseconds after the request head. Related lines of all processes
are listed with their offset from the end of the request, each by the clock of
its writer.
"""

import json
from collections.abc import Iterable
from typing import Any

import attrs

REQUEST = "entry: a request got no good answer."
# Lines from this long before the start of a request may explain its failure,
# because the states of targets, links and configurations last for seconds.
BEFORE_SECONDS = 5.0
# Lines up to this long after its end are included, to allow for clock skew.
AFTER_SECONDS = 1.0
# Fields that every line has.
_COMMON_FIELDS = frozenset(
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
        instance: Instance that wrote the line.
        time: Unix time in seconds by the clock of the writer.
        text: Name of the component and text of the event.
        fields: All other fields.
    """

    instance: str
    time: float
    text: str
    fields: dict[str, Any]


@attrs.frozen
class RequestReport:
    """Log lines about one request.

    Attributes:
        line: Log line of the request itself.
        related: Related lines of all processes, ordered by time.
    """

    line: Line
    related: tuple[Line, ...]


def read(lines: Iterable[str]) -> tuple[list[Line], int]:
    """Parses the log lines in a text and counts the lines that are none.

    A log line may have a prefix, such as the name of its machine. Empty lines
    are not counted.

    Returns:
        The log lines and the number of skipped lines.
    """
    found, skipped = [], 0
    for text in lines:
        if not text.strip():
            continue
        try:
            found.append(_parse_line(text[text.index("{") :]))
        except (ValueError, KeyError, TypeError):
            skipped += 1
    return found, skipped


def _parse_line(text: str) -> Line:
    content = json.loads(text)
    fields = {k: v for k, v in content.items() if k not in _COMMON_FIELDS}
    return Line(
        str(content["instance"]),
        float(content["timestamp"]),
        str(content.get("text") or content.get("message") or ""),
        fields,
    )


def find(lines: Iterable[Line], request: str) -> RequestReport | None:
    """Returns the report of a request, or None if there is no line for it.

    Args:
        lines: Log lines of all processes.
        request: Id of the request.
    """
    all_lines = list(lines)
    request_line = next(
        (
            line
            for line in all_lines
            if line.text == REQUEST and line.fields.get("request") == request
        ),
        None,
    )
    if request_line is None:
        return None
    names = _involved_names(request_line, all_lines)
    start = (
        request_line.time
        - float(request_line.fields.get("seconds", 0.0))
        - BEFORE_SECONDS
    )
    related = [
        line
        for line in all_lines
        if line is not request_line
        and start <= line.time <= request_line.time + AFTER_SECONDS
        and _is_related(line, request_line, names)
    ]
    return RequestReport(
        request_line, tuple(sorted(related, key=lambda line: line.time))
    )


def _involved_names(request_line: Line, all_lines: list[Line]) -> set[str]:
    """Returns the targets of the attempts and the instances of the targets."""
    steps = [
        *request_line.fields.get("asked", ()),
        *request_line.fields.get("standing", ()),
    ]
    targets = {str(step).split(" ")[0] for step in steps}
    instances = {
        line.instance
        for line in all_lines
        if line.fields.get("target") in targets
        and line.text.startswith(("gate:", "membership: a target"))
    }
    return (targets | instances) - {"-", request_line.instance}


def _is_related(line: Line, request_line: Line, names: set[str]) -> bool:
    if line.text == REQUEST:
        return False
    if "request" in line.fields:
        return line.fields["request"] == request_line.fields.get("request")
    values = {line.fields.get(key) for key in ("target", "other", "keeper")}
    if values & names:
        return True
    if line.text.startswith("evacuation: a data centre"):
        return line.instance in names | {request_line.instance}
    if line.instance in names:
        # Start, stop and target state of an instance of an attempted target.
        return line.text.startswith(("daemon:", "membership: a target"))
    if line.instance != request_line.instance:
        return False
    if line.text.startswith("limits:"):
        return line.fields.get("account") == request_line.fields.get("account")
    return line.text.startswith(("config:", "daemon:", "settings:"))


def render(report: RequestReport) -> list[str]:
    """Formats a report as lines of text."""
    request_line = report.line
    fields = request_line.fields
    found = [
        f"request {fields.get('request')} at {request_line.instance}: "
        f"{fields.get('status')} {fields.get('code')}, "
        f"executed: {fields.get('executed') or 'answered by the target'}, "
        f"{fields.get('seconds')} s",
        f"  route {fields.get('route')}, service {fields.get('service')}, "
        f"account {fields.get('account') or 'none'}",
    ]
    if fields.get("reason"):
        found.append(f"  reason: {fields['reason']}")
    if fields.get("evacuated"):
        found.append(
            f"  evacuated data centres: {', '.join(fields['evacuated'])}"
        )
    if fields.get("suppressed_before"):
        found.append(
            f"  {fields['suppressed_before']} lines of other requests were "
            "suppressed before this one"
        )
    found.append("attempts, in milliseconds after the request head:")
    found += [f"  {_step(str(step))}" for step in fields.get("asked", ())]
    standing = fields.get("standing", ())
    if not (fields.get("asked") or standing):
        found.append("  no target was contacted")
    if fields.get("phase"):
        found.append(
            f"ended without a response while {fields['phase']}; open attempts, "
            "with their age in milliseconds:"
        )
        found += [f"  {_step(str(step))}" for step in standing]
    found.append(
        "related log lines, in seconds before (-) or after the end of the "
        "request by the clock of the writer:"
    )
    for line in report.related:
        rest = " ".join(f"{k}={v}" for k, v in line.fields.items())
        found.append(
            f"  {line.time - request_line.time:+8.2f} {line.instance}: "
            f"{line.text} {rest}".rstrip()
        )
    if not report.related:
        found.append("  none that names a target, an instance or a limit")
    return found


def _step(step: str) -> str:
    """Formats an entry of `asked` or `standing` with its time first."""
    target, _, rest = step.partition(" ")
    what, _, time = rest.rpartition(" ")
    return f"{time:>8} {target} {what}"
