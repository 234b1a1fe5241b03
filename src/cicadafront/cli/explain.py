"""Command that explains from log files why a request failed."""

import pathlib
import sys

from cleo.helpers import argument

from cicadafront import errors
from cicadafront.cli import base
from cicadafront.telemetry import request_report


class ExplainCommand(base.BaseCommand):
    """Prints the log lines that are related to one request."""

    name = "explain"
    description = (
        "Explains from the logs of all instances why a request failed."
    )
    help = base.help_text(
        "explain 52226705ebda7043 /var/log/cicadafront/*.log",
        "cat *.log | cicadafront explain 52226705ebda7043",
    )
    arguments = [
        argument("request", "Request id that the caller sent."),
        argument(
            "files",
            "Log files of all instances (default: standard input).",
            optional=True,
            multiple=True,
        ),
    ]
    options = [base.JSON]

    def perform(self) -> base.Exit:
        """Reads the logs and prints the report on the request."""
        request = self.argument("request")
        lines, skipped = request_report.read(self._read_lines())
        if skipped:
            self.line_error(f"{skipped} lines are not log lines; skipped.")
        found = request_report.find(lines, request)
        if found is None:
            self.line_error(
                f"None of {len(lines)} lines names request {request}. Only "
                "requests without a good response are logged. Check that the "
                "files include the log of the instance that accepted it."
            )
            return base.Exit.NOT_FOUND
        self.show(_content(found), request_report.render(found))
        return base.Exit.OK

    def _read_lines(self) -> list[str]:
        files = self.argument("files")
        if not files:
            return sys.stdin.read().splitlines()
        lines: list[str] = []
        for name in files:
            try:
                content = pathlib.Path(name).read_bytes()
            except OSError as error:
                raise errors.ConfigError(
                    name, "(file)", f"{error.strerror}; specify a log file"
                ) from error
            lines += content.decode(errors="replace").splitlines()
        return lines


def _content(found: request_report.RequestReport) -> dict[str, object]:
    return {
        "request": _line(found.line),
        "beside": [_line(line) for line in found.related],
    }


def _line(line: request_report.Line) -> dict[str, object]:
    return {
        "instance": line.instance,
        "timestamp": line.time,
        "text": line.text,
        **line.fields,
    }
