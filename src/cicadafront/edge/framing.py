"""Validation of request heads from callers."""

import re
import urllib.parse
from collections.abc import Iterable

import h11

from cicadafront import dialect, errors, headers, model

MAX_HEAD_BYTES = 32 * 1024
_ORIGIN = re.compile(r"[A-Za-z][A-Za-z0-9+.-]*://[^/?#]*")


def _size(request: h11.Request) -> int:
    fields = request.headers.raw_items()
    lines = sum(len(name) + len(value) + 4 for name, value in fields)
    return len(request.method) + len(request.target) + 12 + lines


def _check(request: h11.Request, limit: int) -> None:
    if _size(request) > limit:
        raise errors.BadRequestError(
            f"The head is larger than {limit} bytes; send less.",
            code="head_too_large",
            status=431,
        )
    names = [name for name, _ in request.headers]
    lengths = names.count(b"content-length")
    coded = names.count(b"transfer-encoding")
    if lengths and coded or lengths > 1 or coded > 1:
        raise errors.BadRequestError(
            "Content-Length and Transfer-Encoding conflict; send one of them.",
            code="framing_conflict",
        )
    if coded and request.http_version < b"1.1":
        raise errors.BadRequestError(
            "HTTP/1.0 has no Transfer-Encoding; send Content-Length.",
            code="framing_conflict",
        )
    if request.method == b"CONNECT":
        raise errors.BadRequestError(
            "The method CONNECT is not supported.",
            code="method_refused",
            status=405,
        )


def _path(target: str) -> str:
    path = _ORIGIN.sub("", target, count=1)
    if path != target and not path.startswith("/"):
        path = "/" + path
    if not path.startswith("/") and path != "*":
        raise errors.BadRequestError("The request target must be a path.")
    decoded = urllib.parse.unquote(path.partition("?")[0])
    segments = decoded.replace("\\", "/").split("/")
    if "." in segments or ".." in segments:
        # A target that resolves them would run a request of another route.
        raise errors.BadRequestError(
            "The path contains `.` or `..` segments; send the resolved path."
        )
    return path


def _token(
    fields: Iterable[tuple[bytes, bytes]], names: dialect.Dialect
) -> str:
    value = headers.value_of(fields, names.key_name)
    scheme = names.key_scheme
    if value[: len(scheme)].lower() != scheme:
        return ""
    return value[len(scheme) :].strip().decode("latin-1")


def request_head(
    request: h11.Request,
    names: dialect.Dialect = dialect.DEFAULT,
    limit: int = MAX_HEAD_BYTES,
) -> tuple[model.RequestHead, str]:
    """Returns the head to forward and the caller's token, or "".

    A body of unknown length is marked by `Transfer-Encoding: chunked`, which
    each hop applies anew.

    Args:
        request: Parsed head.
        names: Header names of the deployment.
        limit: Largest size of the head in bytes.

    Raises:
        BadRequestError: The head breaks a framing rule or a limit.
    """
    _check(request, limit)
    fields = request.headers.raw_items()
    kept = headers.end_to_end(fields, names.removed_at_entry)
    if headers.value_of(fields, b"transfer-encoding"):
        kept += (headers.CHUNKED,)
    path = _path(request.target.decode("ascii"))
    head = model.RequestHead(request.method.decode("ascii"), path, kept)
    return head, _token(fields, names)
