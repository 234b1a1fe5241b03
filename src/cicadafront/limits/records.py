"""Idempotency records on the owner of a shard; one `Records` per shard."""

import enum
import itertools

import attrs

from cicadafront import ports
from cicadafront.limits import journal

RECORD_SECONDS = 24 * 3600.0
# A begun request whose outcome is unknown this long after its timeout becomes
# uncertain; a late outcome is still accepted.
RUN_MARGIN_SECONDS = 30.0
MAX_BODY_BYTES = 64 * 1024
# Memory for records on one instance, and the maximum share of one account.
MAX_BYTES = 64 * 1024 * 1024
ACCOUNT_SHARE = 0.25
RECORD_OVERHEAD_BYTES = 600
MAX_RELEASED = 10_000


class Refusal(enum.Enum):
    """Reasons to answer a begin request with neither `Start` nor `Replay`."""

    MISMATCH = "mismatch"
    UNCERTAIN = "uncertain"
    FULL = "full"
    RELEASED = "released"
    RUNNING = "running"


class State(enum.Enum):
    """States of a record."""

    PREPARING = "preparing"
    RUNNING = "running"
    DONE = "done"
    UNCERTAIN = "uncertain"


@attrs.define
class Record:
    """State of one idempotency key on the owner.

    Attributes:
        ticket: Permission to execute the request that was or will be issued.
        digest: Digest of the request body that came with the key.
        attempt: Identifier of the attempt that got the ticket.
        state: Current state.
        begun_at: Time in seconds at which the request began.
        uncertain_at: Time in seconds at which a running record becomes
            uncertain.
        outcome: Outcome, once done.
        size: Bytes counted against the memory limit.
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
    """Memory in bytes used by the records of all shards on an instance."""

    def __init__(self, max_bytes: int = MAX_BYTES):
        self.max_bytes = max_bytes
        self.total = 0
        self.by_account: dict[str, int] = {}

    def has_room(self, account: str, size: int) -> bool:
        """Returns whether a record of this size in bytes fits."""
        used = self.by_account.get(account, 0)
        if used + size > self.max_bytes * ACCOUNT_SHARE:
            return False
        return self.total + size <= self.max_bytes

    def add(self, account: str, size: int) -> None:
        """Adds the size of a record; a negative size subtracts it."""
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
        journaled: Digests of keys in the journals of previous owners.
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
        """Decides on a request to begin with an idempotency key.

        A returned record in state `PREPARING` or `RUNNING` belongs to the
        caller's attempt, which may execute the request once the record is in
        the journal. `Refusal.RUNNING` means that the caller has to wait for
        another attempt.

        Args:
            now: Current time in seconds.
            account: Client account.
            key: Idempotency key.
            digest: Digest of the request body.
            attempt: Identifier of the caller's attempt. It stays the same when
                the caller repeats a begin request whose answer was lost.
            timeout: Seconds until the request must have finished.
            unclean: Whether unknown keys may have begun under a previous
                owner.
        """
        self._expire(now)
        record = self._records.get((account, key))
        if record is not None:
            return self._begin_existing(now, record, digest, attempt)
        if attempt in self._released:
            return Refusal.RELEASED
        if unclean or journal.digest(account, key) in self.journaled:
            return Refusal.UNCERTAIN
        # The body of the outcome is counted when it arrives. The memory limit
        # applies then as well.
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
        """Records that the ticket has been issued."""
        if record.state is State.PREPARING:
            record.state = State.RUNNING

    def cancel(self, record: Record) -> None:
        """Removes a record whose ticket was never issued."""
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
        """Stores an outcome; returns whether the record changed.

        A new owner accepts the outcome of a request that began under a
        previous owner, because at most one ticket of a key is executed.
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
        """Removes the record of a request that was not executed.

        Returns whether the record was removed.
        """
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
        """Cancels an attempt whose caller gave up before it got an answer.

        Returns whether a record was removed.
        """
        self._forget_attempt(attempt)
        record = self._records.get((account, key))
        if record is None or record.attempt != attempt:
            return False
        if record.state is State.DONE:
            return False
        self._remove((account, key))
        return True

    def abandon(self, ticket: ports.Ticket) -> bool:
        """Marks the outcome as unknown; returns whether the record changed."""
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
        """Removes all records after another process has become the owner."""
        for key in list(self._records):
            self._remove(key)

    def records(self) -> list[Record]:
        """Returns the records whose ticket has been issued."""
        return [
            record
            for record in self._records.values()
            if record.state is not State.PREPARING
        ]

    def restore(self, record: Record) -> None:
        """Adds a record received from the previous owner."""
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
