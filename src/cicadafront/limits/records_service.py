"""Serves idempotency records on the owner, over the store and peer calls."""

import random
from typing import Any

import attrs
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.limits import (
    actions,
    calls,
    claims,
    journal,
    outcomes,
    records,
    records_codec,
    shards,
)
from cicadafront.limits.records import Record, Records, Refusal, State
from cicadafront.limits.service import OwnershipService
from cicadafront.limits.shard import Kind

TICK_SECONDS = 0.05
STORE_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = (0.5, 1.5)
# A begin request waits at most this long for the journal or the deputy's
# confirmation.
JOURNAL_TIMEOUT_SECONDS = 5.0

Reply = dict[str, Any]


@attrs.define
class _PendingEntry:
    """A begin request that is answered once it is in the journal."""

    shard: int
    record: Record
    position: int
    until: float
    replies: list["defer.Deferred[bytes]"] = attrs.field(factory=list)


@attrs.define
class _WaitingBegin:
    """A begin request that waits for another attempt with the same key."""

    shard: int
    body: Reply
    until: float
    reply: "defer.Deferred[bytes]"


class RecordsService:
    """Serves begin and close calls for the shards that this instance owns.

    Attributes:
        owned: Records by shard. A shard is absent until the journals of its
            previous owners have been read.
        journal: Journal of the requests that began in this process.
    """

    name = "records"

    def __init__(
        self,
        ownership: OwnershipService,
        store: ports.Store,
        peers: ports.PeerCalls,
        timer: calls.Timer,
        rng: random.Random,
        unix_offset: float = 0.0,
        max_bytes: int = records.MAX_BYTES,
    ):
        self.owned: dict[int, Records] = {}
        self.journal = journal.Journal(claims.journal_prefix(ownership.core.me))
        self._memory = records.Memory(max_bytes)
        self._ownership = ownership
        self._store = store
        self._timer = timer
        self._rng = rng
        self._unix_offset = unix_offset
        self._pending_entries: dict[str, _PendingEntry] = {}
        self._waiting_begins: list[_WaitingBegin] = []
        self._settling: dict[int, tuple[int, int]] = {}
        self._last_used: dict[int, float] = {}
        ownership.parts.append(self)
        peers.register(outcomes.BEGIN, self._serve_begin)
        peers.register(outcomes.CLOSE, self._serve_close)

    def start(self) -> None:
        """Starts the periodic work, such as writing the journal."""
        self._timer.callLater(TICK_SECONDS, self._tick)

    def acquired(self, event: actions.Acquired, state: Any) -> None:
        """Opens the records of a shard.

        If the previous owner handed over no state, its journals are read.
        """
        shard, epoch = event.shard, event.claim.epoch
        self._settling.pop(shard, None)
        if event.kind is Kind.FENCE and shard in self.owned:
            self.owned[shard].epoch = epoch
            return
        shard_records = Records(shard, epoch, self._memory)
        if state is not None:
            settled = event.claim.outage <= event.claim.settled
            self._restore(shard_records, state, settled)
            self.owned[shard] = shard_records
        elif event.kind is Kind.FRESH:
            self.owned[shard] = shard_records
        else:
            self._read_journals(shard_records, event.claim)

    def lost(self, shard: int) -> None:
        """Drops the records of a shard."""
        self._settling.pop(shard, None)
        self._last_used.pop(shard, None)
        shard_records = self.owned.pop(shard, None)
        self._redirect(shard)
        if shard_records is not None:
            shard_records.clear()

    def export(self, shard: int) -> Any:
        """Returns the records for a handover as JSON data."""
        self._redirect(shard)
        shard_records = self.owned.get(shard)
        if shard_records is None:
            return None
        now = self._timer.seconds()
        return {
            "records": [
                records_codec.record_data(now, each)
                for each in shard_records.records()
            ],
            "journaled": [each.hex() for each in shard_records.journaled],
        }

    def last_used(self) -> dict[int, float]:
        """Returns the time in seconds of the last begin or close by shard."""
        return dict(self._last_used)

    def _restore(
        self, shard_records: Records, state: Any, settled: bool
    ) -> None:
        now = self._timer.seconds()
        for data in state["records"]:
            shard_records.restore(records_codec.record(now, data))
        shard_records.journaled = {
            bytes.fromhex(each) for each in state["journaled"]
        }
        if not settled:
            # Requests that began in an outage may be in no journal yet.
            for digest in shard_records.digests():
                self.journal.append(shard_records.shard, digest)

    @defer.inlineCallbacks
    def _read_journals(self, shard_records: Records, claim: claims.Claim):
        for prefix, _ in claim.journals:
            segments = None
            while segments is None:
                state = self._ownership.core.shards[shard_records.shard]
                if not state.held or state.claim is None:
                    return
                if state.claim.epoch != shard_records.epoch:
                    return
                segments = yield self._list(prefix)
            for item in segments.values():
                shard_records.journaled.update(
                    digest
                    for shard, digest in journal.entries(item.value)
                    if shard == shard_records.shard
                )
        state = self._ownership.core.shards[shard_records.shard]
        if (
            state.held
            and state.claim
            and state.claim.epoch == shard_records.epoch
        ):
            self.owned[shard_records.shard] = shard_records

    @defer.inlineCallbacks
    def _list(self, prefix: str):
        try:
            found = yield calls.bounded(
                self._store.list(prefix), self._timer, STORE_TIMEOUT_SECONDS
            )
        except (errors.CicadafrontError, defer.TimeoutError):
            yield calls.pause(self._timer, self._rng.uniform(*RETRY_SECONDS))
            return None
        return found

    def _unclean(self, shard: int) -> bool:
        claim = self._ownership.core.shards[shard].claim
        if claim is None or not claim.unclean_at:
            return False
        unix = self._timer.seconds() + self._unix_offset
        return unix < claim.unclean_at + records.RECORD_SECONDS

    def _acting(self, shard: int) -> Records | None:
        if self._ownership.acts(shard) is None:
            return None
        self._last_used[shard] = self._timer.seconds()
        return self.owned.get(shard)

    def _serve_begin(self, _caller: str, body: bytes):
        data = calls.unpack(body)
        shard = shards.shard_of(data["account"])
        reply: defer.Deferred[bytes] = defer.Deferred()
        until = self._timer.seconds() + outcomes.BEGIN_WAIT_SECONDS
        self._begin(_WaitingBegin(shard, data, until, reply))
        return reply

    def _begin(self, request: _WaitingBegin) -> None:
        shard_records = self._acting(request.shard)
        if shard_records is None:
            request.reply.callback(self._ownership.redirect(request.shard))
            return
        data, now = request.body, self._timer.seconds()
        begun = shard_records.begin(
            now,
            data["account"],
            data["key"],
            bytes.fromhex(data["digest"]),
            data["attempt"],
            data["timeout"],
            self._unclean(request.shard),
        )
        match begun:
            case Refusal.RUNNING if now < request.until:
                self._waiting_begins.append(request)
            case Refusal():
                self._answer(request.reply, {"kind": begun.value})
            case ports.Replay(outcome):
                data = records_codec.outcome_data(outcome)
                self._answer(request.reply, {"kind": "replay", "outcome": data})
            case Record(state=State.RUNNING):
                self._start(request.reply, begun)
            case Record():
                self._journal(request, begun)

    def _answer(self, reply: "defer.Deferred[bytes]", data: Reply) -> None:
        reply.callback(calls.pack(data))

    def _start(self, reply: "defer.Deferred[bytes]", record: Record) -> None:
        ticket = attrs.asdict(record.ticket)
        self._answer(reply, {"kind": "start", "ticket": ticket})

    def _journal(self, request: _WaitingBegin, record: Record) -> None:
        entry = self._pending_entries.get(record.attempt)
        if entry is None:
            digest = journal.digest(record.ticket.account, record.ticket.key)
            position = self.journal.append(request.shard, digest)
            until = self._timer.seconds() + JOURNAL_TIMEOUT_SECONDS
            entry = _PendingEntry(request.shard, record, position, until)
            self._pending_entries[record.attempt] = entry
        entry.replies.append(request.reply)
        self._answer_stored()

    def _answer_stored(self) -> None:
        """Answers begin requests whose entry is stored or not required."""
        core, now = self._ownership.core, self._timer.seconds()
        for attempt, entry in list(self._pending_entries.items()):
            shard_records = self._acting(entry.shard)
            stored = entry.position <= self.journal.stored
            memory = self.journal.failing and core.memory_only(now, entry.shard)
            if shard_records is not None and (stored or memory):
                shard_records.started(entry.record)
                del self._pending_entries[attempt]
                for reply in entry.replies:
                    self._start(reply, entry.record)
            elif shard_records is None or now >= entry.until:
                self._cancel_entry(attempt)

    def _cancel_entry(self, attempt: str) -> None:
        entry = self._pending_entries.pop(attempt)
        shard_records = self.owned.get(entry.shard)
        if shard_records is not None:
            shard_records.cancel(entry.record)
        for reply in entry.replies:
            reply.callback(self._ownership.redirect(entry.shard))

    def _redirect(self, shard: int) -> None:
        for attempt, entry in list(self._pending_entries.items()):
            if entry.shard == shard:
                self._cancel_entry(attempt)
        leaving = [each for each in self._waiting_begins if each.shard == shard]
        self._waiting_begins = [
            each for each in self._waiting_begins if each.shard != shard
        ]
        for request in leaving:
            request.reply.callback(self._ownership.redirect(shard))

    def _serve_close(self, _caller: str, body: bytes) -> bytes:
        data = calls.unpack(body)
        shard = shards.shard_of(data["account"])
        shard_records = self._acting(shard)
        if shard_records is None:
            return self._ownership.redirect(shard)
        if data["how"] == "withdraw":
            self._withdraw(shard_records, data)
        else:
            self._close(shard_records, data)
        self._retry_waiting(shard)
        return b"{}"

    def _withdraw(self, shard_records: Records, data: Reply) -> None:
        shard_records.withdraw(data["account"], data["key"], data["attempt"])
        entry = self._pending_entries.pop(data["attempt"], None)
        for reply in entry.replies if entry is not None else ():
            self._answer(reply, {"kind": Refusal.RELEASED.value})

    def _close(self, shard_records: Records, data: Reply) -> None:
        ticket = ports.Ticket(**data["ticket"])
        match data["how"]:
            case "finish":
                shard_records.finish(
                    self._timer.seconds(),
                    ticket,
                    bytes.fromhex(data["digest"]),
                    records_codec.outcome(data["outcome"]),
                    self._unclean(ticket.shard),
                )
            case "release":
                shard_records.release(ticket)
            case "abandon":
                shard_records.abandon(ticket)

    def _retry_waiting(self, shard: int) -> None:
        waiting = [each for each in self._waiting_begins if each.shard == shard]
        self._waiting_begins = [
            each for each in self._waiting_begins if each.shard != shard
        ]
        for request in waiting:
            self._begin(request)

    def _tick(self) -> None:
        self._timer.callLater(TICK_SECONDS, self._tick)
        now = self._timer.seconds()
        late = [each for each in self._waiting_begins if now >= each.until]
        self._waiting_begins = [
            each for each in self._waiting_begins if now < each.until
        ]
        for request in late:
            self._begin(request)
        write = self.journal.next_write(now)
        if write is not None:
            self._write(write)
        for key in self.journal.expired(now):
            self._store.delete(key).addErrback(calls.ignore)
        self._answer_stored()
        self._settle(now)
        if self.journal.complete:
            core = self._ownership.core
            self._ownership.run(core.journaled(now))

    @defer.inlineCallbacks
    def _write(self, write: journal.Write):
        try:
            version = yield calls.bounded(
                self._store.put(
                    write.key, write.value, expected=write.expected
                ),
                self._timer,
                STORE_TIMEOUT_SECONDS,
            )
        except (errors.CicadafrontError, defer.TimeoutError):
            delay = self._rng.uniform(*RETRY_SECONDS)
            self.journal.failed(self._timer.seconds(), delay)
        else:
            self.journal.written(version)
        self._answer_stored()

    def _settle(self, now: float) -> None:
        """Marks outages as settled in the claim once the journal is complete.

        The deputy reads this from the claim.
        """
        for shard in self.owned:
            if shard not in self._settling:
                outage = self._ownership.core.settle(now, shard)
                if outage is not None:
                    position = self.journal.appended
                    self._settling[shard] = (outage, position)
        for shard, (outage, position) in list(self._settling.items()):
            if self.journal.stored >= position:
                del self._settling[shard]
                core = self._ownership.core
                self._ownership.run(core.settled(now, shard, outage))
