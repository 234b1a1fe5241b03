"""Errors of links, streams and calls."""

import traceback

import eliot
from twisted.python import failure

from cicadafront import errors
from cicadafront.peer import codec


def call_error(code: str, message: str) -> errors.CallFailedError:
    """Returns a `CallFailedError` with the error code of its cause."""
    error = errors.CallFailedError(message)
    error.code = code
    return error


def internal_error() -> errors.RequestError:
    """Returns the error of a stream that failed because of a bug here."""
    return errors.RequestError(
        "An instance failed with an internal error; report the error "
        "in its log.",
        executed=errors.Executed.UNKNOWN,
        code=errors.CicadafrontError.code,
    )


def log_failure(error: Exception) -> None:
    """Logs an unexpected exception that ended one stream."""
    eliot.log_message(
        message_type="peer",
        message="peer: a stream failed with an unexpected exception.",
        reason="".join(traceback.format_exception(error)),
    )


def error_reply(id: int, reason: failure.Failure) -> codec.Reply:
    """Returns the reply to a call whose handler raised an error."""
    error = reason.value
    if isinstance(error, errors.CicadafrontError):
        return codec.Reply(id, error.code, error.message.encode())
    return codec.Reply(
        id,
        "internal_error",
        b"The handler failed.",
    )
