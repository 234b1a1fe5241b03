"""Tests of idempotency records and their journal."""

import unittest

from parameterized import parameterized

from cicadafront import model, ports
from cicadafront.limits import journal, records

OUTCOME = ports.Outcome(model.ResponseHead(200, ()), b"body", b"digest")


def _records(most=records.MAX_BYTES, epoch=1):
    return records.Records(0, epoch, records.Memory(most))


def _begin(
    shard_records, key="k", digest=b"d", attempt="a1", now=0.0, unclean=False
):
    return shard_records.begin(
        now, "amani", key, digest, attempt, 10.0, unclean
    )


class RecordsTest(unittest.TestCase):
    """Guards against a request that is executed twice or never.

    That can happen when answers are lost, callers retry, or the owner changes
    while a request runs.
    """

    def _started(self, shard_records):
        record = _begin(shard_records)
        shard_records.started(record)
        return record

    def test_lost_answer_gets_the_same_ticket(self):
        shard_records = _records()
        self.assertIs(_begin(shard_records), self._started(shard_records))

    @parameterized.expand(
        [
            ("running", None, b"d", records.Refusal.RUNNING),
            ("mismatch", None, b"e", records.Refusal.MISMATCH),
            ("done", "finish", b"d", ports.Replay(OUTCOME)),
            ("unknown", "abandon", b"d", records.Refusal.UNCERTAIN),
        ]
    )
    def test_second_attempt(self, _name, end, digest, expected):
        shard_records = _records()
        ticket = self._started(shard_records).ticket
        if end == "finish":
            shard_records.finish(1.0, ticket, b"d", OUTCOME, False)
        elif end == "abandon":
            shard_records.abandon(ticket)
        self.assertEqual(
            _begin(shard_records, digest=digest, attempt="a2"), expected
        )

    def test_released_key_may_start_again(self):
        shard_records = _records()
        ticket = self._started(shard_records).ticket
        self.assertTrue(shard_records.release(ticket))
        again = _begin(shard_records, attempt="a2")
        self.assertNotEqual(again.ticket, ticket)
        self.assertFalse(shard_records.release(ticket))

    def test_withdrawn_attempt_is_refused(self):
        """A delayed copy of a begin request must not issue a ticket.

        The caller has given up, so that nobody would use the ticket.
        """
        shard_records = _records()
        self._started(shard_records)
        shard_records.withdraw("amani", "k", "a1")
        self.assertEqual(_begin(shard_records), records.Refusal.RELEASED)

    def test_running_record_becomes_uncertain(self):
        shard_records = _records()
        ticket = self._started(shard_records).ticket
        late = 10.0 + records.RUN_MARGIN_SECONDS
        refusal = _begin(shard_records, attempt="a2", now=late)
        self.assertEqual(refusal, records.Refusal.UNCERTAIN)
        self.assertTrue(
            shard_records.finish(late, ticket, b"d", OUTCOME, False)
        )

    @parameterized.expand(
        [("journaled", True, False), ("unclean", False, True)]
    )
    def test_keys_of_a_previous_owner(self, _name, journaled, unclean):
        shard_records = _records(epoch=2)
        if journaled:
            shard_records.journaled.add(journal.digest("amani", "k"))
        refusal = _begin(shard_records, unclean=unclean)
        self.assertEqual(refusal, records.Refusal.UNCERTAIN)
        ticket = ports.Ticket("amani", "k", 0, 1, 7)
        self.assertTrue(
            shard_records.finish(1.0, ticket, b"d", OUTCOME, unclean)
        )
        self.assertEqual(
            _begin(shard_records, attempt="a2"), ports.Replay(OUTCOME)
        )

    def test_full_memory_refuses_new_keys_and_keeps_existing_ones(self):
        shard_records = _records(most=records.RECORD_OVERHEAD_BYTES * 8)
        for number in range(2):
            self.assertIsInstance(
                _begin(shard_records, f"k{number}"), records.Record
            )
        self.assertEqual(_begin(shard_records, "k2"), records.Refusal.FULL)
        self.assertIsInstance(_begin(shard_records, "k0"), records.Record)

    def test_records_expire_after_a_day(self):
        shard_records = _records()
        ticket = self._started(shard_records).ticket
        shard_records.finish(1.0, ticket, b"d", OUTCOME, False)
        again = _begin(shard_records, attempt="a2", now=records.RECORD_SECONDS)
        self.assertIsInstance(again, records.Record)


class JournalTest(unittest.TestCase):
    """Guards against begun requests that a new owner cannot see.

    That can happen if a write gets no answer and later replaces newer entries.
    """

    def _append(self, writer, count):
        for number in range(count):
            writer.append(3, journal.digest("amani", str(number)))

    def test_batch_is_one_write(self):
        writer = journal.Journal("journal/i1/1/")
        self._append(writer, 5)
        write = writer.next_write(0.0)
        self.assertEqual(len(journal.entries(write.value)), 5)
        self.assertEqual(writer.stored, 0)
        writer.written(1)
        self.assertEqual(writer.stored, 5)

    def test_write_without_answer_moves_to_a_new_segment(self):
        """A write that takes effect late must not replace newer contents."""
        writer = journal.Journal("journal/i1/1/")
        self._append(writer, 2)
        first = writer.next_write(0.0)
        writer.failed(0.0, 0.5)
        self._append(writer, 1)
        self.assertIsNone(writer.next_write(0.4))
        second = writer.next_write(0.5)
        self.assertNotEqual(first.key, second.key)
        self.assertEqual(len(journal.entries(second.value)), 3)

    def test_writes_are_rate_limited(self):
        """An owner writes at most 4 times per second, with a burst of 20."""
        writer = journal.Journal("journal/i1/1/")
        writes = 0
        for step in range(1000):
            self._append(writer, 1)
            if writer.next_write(step * 0.01) is not None:
                writes += 1
                writer.written(writes)
        self.assertLessEqual(writes, 20 + 4 * 10)


if __name__ == "__main__":
    unittest.main()
