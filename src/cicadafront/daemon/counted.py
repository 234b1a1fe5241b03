"""Counts of admissions and record decisions at this entry."""

import collections

import attrs
from twisted.internet import defer
from twisted.python import failure

from cicadafront import errors, ports
from cicadafront.config import model as config_model


def _code(reason: failure.Failure) -> str:
    error = reason.value
    if isinstance(error, errors.CicadafrontError):
        return error.code
    return errors.CicadafrontError.code


def _is_set(field: "attrs.Attribute[object]", value: object) -> bool:
    return value is not None


class CountedAdmission:
    """Counts what an admission decides, by client account.

    Attributes:
        admitted: Admitted requests by account id.
        refused: Refused requests by account id.
    """

    def __init__(self, inner: ports.Admission):
        self._inner = inner
        self.admitted: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()

    def admit(
        self, account: config_model.ClientAccount
    ) -> "defer.Deferred[None]":
        """Admits one request, or fails with `RateExceededError`."""
        return self._inner.admit(account).addCallbacks(
            self._admitted, self._refused, (account.id,), {}, (account.id,)
        )

    def _admitted(self, _: None, id: str) -> None:
        self.admitted[id] += 1

    def _refused(self, reason: failure.Failure, id: str) -> failure.Failure:
        self.refused[id] += 1
        return reason

    def items(
        self, known: config_model.Configuration
    ) -> list[dict[str, object]]:
        """Returns the configured accounts with their counts.

        Counts of removed accounts are dropped, so that they stay bounded.
        """
        accounts = known.accounts
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
    """Counts the answers to `begin`.

    Attributes:
        begun: Number of answers by kind or error code.
    """

    def __init__(self, inner: ports.OutcomeRecords):
        self._inner = inner
        self.begun: collections.Counter[str] = collections.Counter()
        self.finish = inner.finish
        self.release = inner.release
        self.abandon = inner.abandon

    def begin(
        self, account: str, key: str, digest: bytes, timeout: float
    ) -> "defer.Deferred[ports.Start | ports.Replay]":
        """Asks for the right to run; waits for an outcome still running."""
        begun = self._inner.begin(account, key, digest, timeout)
        return begun.addCallbacks(self._answered, self._failed)

    def _answered(
        self, answer: ports.Start | ports.Replay
    ) -> ports.Start | ports.Replay:
        kind = "start" if isinstance(answer, ports.Start) else "replay"
        self.begun[kind] += 1
        return answer

    def _failed(self, reason: failure.Failure) -> failure.Failure:
        self.begun[_code(reason)] += 1
        return reason
