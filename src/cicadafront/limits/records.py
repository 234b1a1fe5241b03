"""Owner side of idempotency records: one `Records` for each shard."""

import enum
import itertools

import attrs

from cicadafront import ports
from cicadafront.limits import journal

RECORD_SECONDS = 24 * 3600.0
# A begun request whose outcome is not known this long after its time limit
# becomes uncertain; a late outcome is still taken.
RUN_MARGIN_SECONDS = 30.0
MAX_BODY_BYTES = 64 * 1024
# Memory for records on one instance, and the share of one account in it.
MAX_BYTES = 64 * 1024 * 1024
ACCOUNT_SHARE = 0.25
RECORD_OVERHEAD_BYTES = 600
MAX_RELEASED = 10_000


class Refusal(enum.Enum):
    """Reasons why a begin gets neither `Start` nor `Replay`."""

    MISMATCH = "mismatch"
    UNCERTAIN = "uncertain"
    FULL = "full"
    RELEASED = "released"
    RUNNING = "running"


class State(enum.Enum):
    """Stages of a record."""

    PREPARING = "preparing"
    RUNNING = "running"
    DONE = "done"
    UNCERTAIN = "uncertain"


@attrs.define
class Record:
    """What the owner knows of one idempotency key.

    Attributes:
        ticket: Right to run that was or will be given out.
        digest: Digest of the request body that came with the key.
        attempt: Identifier of the begin that got the ticket.
        state: Stage.
        begun_at: Seconds.
        uncertain_at: Time at which a running record becomes uncertain.
        outcome: Outcome, once done.
        size: Bytes counted against the memory bound.
    """

    ticket: ports.Ticket
    digest: bytes
    attempt: str
    begun_at: float
    uncertain_at: float
    state: State = State.PREPARING
    outcome: ports.Outcome | None = None
    size: int = RECORD_OVERHEAD_BYTES


class Memory:
    """Bytes that the records of all shards on an instance take."""

    def __init__(self, max_bytes: int = MAX_BYTES):
        self.max_bytes = max_bytes
        self.total = 0
        self.by_account: dict[str, int] = {}

    def has_room(self, account: str, size: int) -> bool:
        """Tells whether a record of this size fits."""
        used = self.by_account.get(account, 0)
        if used + size > self.max_bytes * ACCOUNT_SHARE:
            return False
        return self.total + size <= self.max_bytes

    def add(self, account: str, size: int) -> None:
        """Counts a record, or uncounts it with a negative size."""
        self.total += size
        used = self.by_account.get(account, 0) + size
        if used:
            self.by_account[account] = used
        else:
            self.by_account.pop(account, None)


Begun = Record | ports.Replay | Refusal


class Records:
    """Records of the client accounts of one shard.

    Attributes:
        epoch: Epoch of the owner.
        journaled: Digests of keys in the journals of former owners.
    """

    def __init__(self, shard: int, epoch: int, memory: Memory):
        self.epoch = epoch
        self.journaled: set[bytes] = set()
        self.shard = shard
        self._memory = memory
        self._records: dict[tuple[str, str], Record] = {}
        self._serial = itertools.count(1)
        self._released: dict[str, None] = {}

    def begin(
        self,
        now: float,
        account: str,
        key: str,
        digest: bytes,
        attempt: str,
        timeout: float,
        unclean: bool,
    ) -> Begun:
        """Decides on a begin.

        A returned record in state `PREPARING` or `RUNNING` whose attempt is
        the caller's is its right to run, once journaled. `Refusal.RUNNING`
        means that the caller has to wait for another attempt.

        Args:
            now: Seconds.
            account: Client account.
            key: Idempotency key.
            digest: Digest of the request.
            attempt: Identifier of the caller's attempt; it stays the same
                when the caller repeats a begin whose answer was lost.
            timeout: Seconds until the request must be over.
            unclean: Whether unknown keys may have begun under a former owner.
        """
        self._expire(now)
        record = self._records.get((account, key))
        if record is not None:
            return self._begin_existing(now, record, digest, attempt)
        if attempt in self._released:
            return Refusal.RELEASED
        if unclean or journal.digest(account, key) in self.journaled:
            return Refusal.UNCERTAIN
        # The outcome's body is counted when it comes; the bound must hold.
        if not self._memory.has_room(account, RECORD_OVERHEAD_BYTES):
            return Refusal.FULL
        ticket = ports.Ticket(
            account, key, self.shard, self.epoch, next(self._serial)
        )
        record = Record(
            ticket, digest, attempt, now, now + timeout + RUN_MARGIN_SECONDS
        )
        self._records[account, key] = record
        self._memory.add(account, record.size)
        return record

    def started(self, record: Record) -> None:
        """Notes that the right to run is given out."""
        if record.state is State.PREPARING:
            record.state = State.RUNNING

    def cancel(self, record: Record) -> None:
        """Removes a record whose right to run was never given out."""
        key = (record.ticket.account, record.ticket.key)
        if record.state is State.PREPARING and self._records.get(key) is record:
            self._remove(key)

    def finish(
        self,
        now: float,
        ticket: ports.Ticket,
        digest: bytes,
        outcome: ports.Outcome,
        unclean: bool,
    ) -> bool:
        """Stores an outcome; tells whether the record changed.

        A successor takes the outcome of a request that began under a former
        owner: at most one ticket of a key leads to a run.
        """
        key = (ticket.account, ticket.key)
        record = self._records.get(key)
        if record is None:
            known = journal.digest(*key) in self.journaled
            if ticket.epoch >= self.epoch or not (known or unclean):
                return False
            record = Record(ticket, digest, "", now, now, State.UNCERTAIN)
            self._records[key] = record
            self._memory.add(ticket.account, record.size)
        if record.ticket != ticket or record.state is State.DONE:
            return False
        size = self._outcome_size(outcome)
        if outcome.body is not None and (
            len(outcome.body) > MAX_BODY_BYTES
            or not self._memory.has_room(ticket.account, size)
        ):
            outcome = attrs.evolve(outcome, body=None)
            size = self._outcome_size(outcome)
        record.state, record.outcome = State.DONE, outcome
        record.size += size
        self._memory.add(ticket.account, size)
        return True

    def release(self, ticket: ports.Ticket) -> bool:
        """Removes the record of a request that certainly did not run."""
        key = (ticket.account, ticket.key)
        record = self._records.get(key)
        if record is None or record.ticket != ticket:
            return False
        if record.state is State.DONE:
            return False
        self._forget_attempt(record.attempt)
        self._remove(key)
        return True

    def withdraw(self, account: str, key: str, attempt: str) -> bool:
        """Ends an attempt whose caller gave up before it got an answer."""
        self._forget_attempt(attempt)
        record = self._records.get((account, key))
        if record is None or record.attempt != attempt:
            return False
        if record.state is State.DONE:
            return False
        self._remove((account, key))
        return True

    def abandon(self, ticket: ports.Ticket) -> bool:
        """Marks the outcome as unknown."""
        record = self._records.get((ticket.account, ticket.key))
        if record is None or record.ticket != ticket:
            return False
        if record.state is State.DONE:
            return False
        record.state = State.UNCERTAIN
        return True

    def digests(self) -> list[bytes]:
        """Returns the digests of all keys with a record."""
        return [journal.digest(*key) for key in self._records]

    def clear(self) -> None:
        """Drops all records, after another owner took over."""
        for key in list(self._records):
            self._remove(key)

    def records(self) -> list[Record]:
        """Returns the records whose right to run was given out."""
        return [
            record
            for record in self._records.values()
            if record.state is not State.PREPARING
        ]

    def restore(self, record: Record) -> None:
        """Takes a record from the former owner."""
        key = (record.ticket.account, record.ticket.key)
        self._records[key] = record
        self._memory.add(record.ticket.account, record.size)

    def _begin_existing(
        self, now: float, record: Record, digest: bytes, attempt: str
    ) -> Begun:
        if record.digest != digest:
            return Refusal.MISMATCH
        if record.state is State.DONE and record.outcome is not None:
            return ports.Replay(record.outcome)
        if record.state is State.UNCERTAIN or now >= record.uncertain_at:
            record.state = State.UNCERTAIN
            return Refusal.UNCERTAIN
        return record if record.attempt == attempt else Refusal.RUNNING

    def _remove(self, key: tuple[str, str]) -> None:
        record = self._records.pop(key)
        self._memory.add(key[0], -record.size)

    def _forget_attempt(self, attempt: str) -> None:
        self._released[attempt] = None
        while len(self._released) > MAX_RELEASED:
            del self._released[next(iter(self._released))]

    def _expire(self, now: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if now < record.begun_at + RECORD_SECONDS:
                return
            self._remove(key)

    @staticmethod
    def _outcome_size(outcome: ports.Outcome) -> int:
        heads = sum(len(a) + len(b) for a, b in outcome.head.headers)
        return heads + len(outcome.body or b"")
