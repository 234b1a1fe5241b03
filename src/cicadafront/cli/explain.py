"""The command that tells from log files why a request failed."""

import pathlib
import sys

from cleo.helpers import argument

from cicadafront import errors
from cicadafront.cli import base
from cicadafront.telemetry import request_report


class ExplainCommand(base.BaseCommand):
    """Prints the story of one request."""

    name = "explain"
    description = "Tells from the logs of all instances why a request failed."
    help = base.helped(
        "explain 52226705ebda7043 /var/log/cicadafront/*.log",
        "cat *.log | cicadafront explain 52226705ebda7043",
    )
    arguments = [
        argument("request", "Id of the request, as its caller sent it."),
        argument(
            "files",
            "Log files of all instances; standard input without any.",
            optional=True,
            multiple=True,
        ),
    ]
    options = [base.JSON]

    def perform(self) -> base.Exit:
        """Reads the logs and prints what they tell."""
        request = self.argument("request")
        lines, skipped = request_report.read(self._texts())
        if skipped:
            self.line_error(f"{skipped} lines are no log lines; skipped.")
        found = request_report.find(lines, request)
        if found is None:
            self.line_error(
                f"None of {len(lines)} lines names request {request}; only "
                "requests without a good answer have one. Check that the "
                "logs of the instance that took it are among the files."
            )
            return base.Exit.NOT_FOUND
        self.show(_content(found), request_report.render(found))
        return base.Exit.OK

    def _texts(self) -> list[str]:
        files = self.argument("files")
        if not files:
            return sys.stdin.read().splitlines()
        texts: list[str] = []
        for name in files:
            try:
                content = pathlib.Path(name).read_bytes()
            except OSError as error:
                raise errors.ConfigError(
                    name, "(file)", f"{error.strerror}; name a log file"
                ) from error
            texts += content.decode(errors="replace").splitlines()
        return texts


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
