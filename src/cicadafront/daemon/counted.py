"""Counts of admission and idempotency decisions at this entry."""

import collections

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, ports
from cicadafront.config import model as config_model


def _error_code(reason: failure.Failure) -> str:
    error = reason.value
    if isinstance(error, errors.CicadafrontError):
        return error.code
    return errors.CicadafrontError.code


def _is_set(field: "attrs.Attribute[object]", value: object) -> bool:
    return value is not None and value != ()


class CountedAdmission:
    """Counts the decisions of the rate limiter by client account.

    Attributes:
        admitted: Number of admitted requests by account id.
        refused: Number of rejected requests by account id.
    """

    def __init__(self, inner: ports.Admission):
        self._inner = inner
        self.admitted: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()

    def admit(
        self, account: config_model.ClientAccount
    ) -> "defer.Deferred[None]":
        """Admits one request; fails with `RateExceededError`."""
        return self._inner.admit(account).addCallbacks(
            self._count_admitted,
            self._count_refused,
            (account.id,),
            {},
            (account.id,),
        )

    def _count_admitted(self, _: None, id: str) -> None:
        self.admitted[id] += 1

    def _count_refused(
        self, reason: failure.Failure, id: str
    ) -> failure.Failure:
        self.refused[id] += 1
        return reason

    def items(
        self, configuration: config_model.Configuration
    ) -> list[dict[str, object]]:
        """Returns the configured accounts with their counts.

        Deletes the counts of accounts that are not in the configuration, so
        that the number of counters is bounded.

        Args:
            configuration: Configuration in force.
        """
        accounts = configuration.accounts
        for counts in (self.admitted, self.refused):
            for id in counts.keys() - accounts.keys():
                del counts[id]
        return [
            {
                **attrs.asdict(accounts[id], filter=_is_set),
                "admitted": self.admitted[id],
                "refused": self.refused[id],
            }
            for id in sorted(accounts)
        ]


class CountedRecords:
    """Counts the results of `begin`.

    Attributes:
        begin_results: Number of results by kind or error code.
    """

    def __init__(self, inner: ports.OutcomeRecords):
        self._inner = inner
        self.begin_results: collections.Counter[str] = collections.Counter()
        self.finish = inner.finish
        self.release = inner.release
        self.abandon = inner.abandon

    def begin(
        self, account: str, key: str, digest: bytes, timeout: float
    ) -> "defer.Deferred[ports.Start | ports.Replay]":
        """Begins an idempotent request; waits for one that is in progress."""
        result = self._inner.begin(account, key, digest, timeout)
        return result.addCallbacks(self._count_result, self._count_error)

    def _count_result(
        self, result: ports.Start | ports.Replay
    ) -> ports.Start | ports.Replay:
        kind = "start" if isinstance(result, ports.Start) else "replay"
        self.begin_results[kind] += 1
        return result

    def _count_error(self, reason: failure.Failure) -> failure.Failure:
        self.begin_results[_error_code(reason)] += 1
        return reason
