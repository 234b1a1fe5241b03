"""Handlers of gossip messages, and sending of messages and broadcasts."""

import random
from collections.abc import Callable, Sequence

from cicadafront.membership import (
    antientropy,
    broadcasting,
    budget,
    codec,
    messages,
    outbox,
    probing,
    records,
    state,
)

# Topic of broadcasts that carry records; reserved for this module.
RECORDS_TOPIC = ""
# Size of the records of one broadcast; leaves space for the envelope.
_BROADCAST_BYTES = 950

_P = budget.Priority
Datagrams = list[outbox.Datagram]
BroadcastHandler = Callable[[bytes], None]
RevisionHandler = Callable[[str, int], None]


class Exchange:
    """Handles received messages and sends broadcasts.

    Attributes:
        topics: Broadcast handlers by topic.
        revision_handlers: Called for each message with the sender and its
            configuration revision.
        evacuation_handlers: Called for each message that has a token of
            evacuations, with the sender and the token.
    """

    def __init__(
        self,
        own_state: state.State,
        broadcasts: broadcasting.Broadcasts,
        out: outbox.Outbox,
        rng: random.Random,
    ):
        self.topics: dict[str, list[BroadcastHandler]] = {}
        self.revision_handlers: list[RevisionHandler] = []
        self.evacuation_handlers: list[RevisionHandler] = []
        self._state = own_state
        self._broadcasts = broadcasts
        self._outbox = out
        self._rng = rng

    # Sending.

    def send(
        self,
        now: float,
        message: probing.OutgoingMessage,
        priority: budget.Priority,
        carried: Sequence[records.Record] = (),
    ) -> Datagrams:
        """Sends one message if the byte budget allows it."""
        me = self._state.me
        return self._outbox.send(now, me, message, priority, carried)

    def request(
        self, now: float, address: records.Address, body: messages.Body
    ) -> Datagrams:
        """Sends a request of the anti-entropy exchange."""
        sequence = self._state.detector.prober.next_sequence()
        message = probing.OutgoingMessage(address, sequence, body)
        return self.send(now, message, _P.ORDINARY)

    def send_records(
        self,
        now: float,
        address: records.Address,
        items: Sequence[records.Record],
    ) -> Datagrams:
        """Sends records in as many datagrams as needed."""
        out: Datagrams = []
        for part in outbox.split(items):
            message = probing.OutgoingMessage(address, 0, messages.Update())
            out += self.send(now, message, _P.ORDINARY, part)
        return out

    def broadcast(self, now: float, topic: str, payload: bytes) -> Datagrams:
        """Starts an urgent broadcast."""
        me = self._state.me
        content = self._broadcasts.create(now, me, topic, payload)
        return self._forward(now, content, (me.id,))

    def broadcast_records(self, now: float) -> Datagrams:
        """Broadcasts and clears the records marked as urgent."""
        self._state.choose_spread(now)
        if not self._state.urgent:
            return []
        found = map(self._state.known.record, self._state.urgent)
        items = [record for record in found if record is not None]
        self._state.urgent.clear()
        out: Datagrams = []
        for part in outbox.split(items, _BROADCAST_BYTES):
            payload = codec.encode_records(part, now)
            out += self.broadcast(now, RECORDS_TOPIC, payload)
        return out

    def flush(self, now: float) -> Datagrams:
        """Sends pending forwards as far as the byte budget allows."""
        out: Datagrams = []
        pending = self._broadcasts.pending
        while pending:
            forward = pending.popleft()
            if now > forward.expires:
                continue
            message = probing.OutgoingMessage(
                forward.address, 0, forward.message
            )
            sent = self.send(now, message, _P.URGENT)
            if not sent:
                pending.appendleft(forward)
                break
            out += sent
        return out

    def repeat(self, now: float) -> Datagrams:
        """Pushes due broadcasts a second time, if the byte budget allows it."""
        out: Datagrams = []
        repeats = self._broadcasts.repeats
        me = self._state.me.id
        while repeats and repeats[0][0] <= now:
            _, content = repeats.popleft()
            excluded = me, content.origin
            for address in self._state.detector.random_peers(
                broadcasting.FANOUT, excluded
            ):
                message = probing.OutgoingMessage(address, 0, content)
                out += self.send(now, message, _P.ORDINARY)
        return out

    def _forward(
        self, now: float, content: messages.Broadcast, excluded: tuple[str, ...]
    ) -> Datagrams:
        detector = self._state.detector
        repeat_at = now + broadcasting.REPEAT_DELAY_SECONDS
        self._broadcasts.repeats.append((repeat_at, content))
        peers = detector.random_peers(broadcasting.FANOUT, excluded)
        expires = now + broadcasting.PENDING_SECONDS
        self._broadcasts.pending.extend(
            broadcasting.Forward(content, address, expires) for address in peers
        )
        return self.flush(now)

    # Receiving.

    def receive(
        self, now: float, message: messages.Message, sender: records.Address
    ) -> Datagrams:
        """Handles a message and returns the datagrams to send."""
        update = isinstance(message.body, messages.Update)
        old_me, learned = self._state.me, self._state.learned.records
        newer = self._state.merge(now, message.carried, spread=not update)
        self._state.merge_claims(now, message.claims)
        # What broadcasts bring is merged later and does not count: they reach
        # all instances, so that no comparison has to follow them.
        gained = self._state.learned.records - learned
        if gained:
            self._state.pace.learned(now, gained, compared=update)
        refuted = old_me is not self._state.me
        carried: list[records.Record] = [self._state.me] if refuted else []
        out = self._check_sender(now, message, sender)
        if update:
            out += self.send_records(now, sender, newer)
        out += self._dispatch(now, message, sender, carried)
        for handler in self.revision_handlers:
            handler(message.sender, message.revision)
        if message.evacuations:
            for handler in self.evacuation_handlers:
                handler(message.sender, message.evacuations)
        missing = self._broadcasts.missing(message.recent)
        if missing:
            out += self.request(now, sender, messages.Want(missing))
        return out

    def _check_sender(
        self, now: float, message: messages.Message, sender: records.Address
    ) -> Datagrams:
        """Fetches an unknown sender's record; notifies one marked dead."""
        member = self._state.known.members.get(message.sender)
        record = member.record if member else None
        if (
            record is None
            or not record.version
            or record.incarnation < message.incarnation
        ):
            wanted = messages.Fetch({records.id_hash(message.sender): ()})
            return self.request(now, sender, wanted)
        if isinstance(message.body, messages.Ping):
            # The acknowledgement carries the record.
            return []
        return self.send_records(now, sender, self._record_to_refute(message))

    def _record_to_refute(
        self, message: messages.Message
    ) -> list[records.Record]:
        """Returns the sender's record if the sender should supersede it."""
        member = self._state.known.members.get(message.sender)
        if member is None or not member.record.version:
            return []
        record = member.record
        if record.incarnation > message.incarnation:
            # The sender must choose a higher incarnation; its records are
            # ignored otherwise.
            return [record]
        if record.incarnation < message.incarnation or record.departed:
            return []
        alive = record.liveness is records.Liveness.ALIVE
        return [] if alive else [record]

    def _dispatch(
        self,
        now: float,
        message: messages.Message,
        sender: records.Address,
        carried: list[records.Record],
    ) -> Datagrams:
        detector = self._state.detector
        outgoing: list[probing.OutgoingMessage] = []
        match message.body:
            case messages.Ping() as ping:
                outgoing = detector.prober.handle_ping(message, ping, sender)
                carried = carried + self._record_to_refute(message)
            case messages.Ack() as ack:
                outgoing = detector.prober.handle_ack(message, ack)
            case messages.PingRequest() as ping_request:
                clock = detector.clock.time
                outgoing = detector.prober.handle_ping_request(
                    clock, message, ping_request, sender
                )
            case messages.RelayedAck() as relayed:
                detector.prober.handle_relayed_ack(message, relayed)
            case messages.Broadcast() as content:
                return self._receive_broadcast(now, message, content)
            case messages.Want(ids):
                return self._resend(now, ids, sender)
            case body:
                return self._repair(now, body, sender)
        out: Datagrams = []
        for reply in outgoing:
            out += self.send(now, reply, _P.ANSWER, carried)
        return out

    def _receive_broadcast(
        self, now: float, message: messages.Message, content: messages.Broadcast
    ) -> Datagrams:
        if not self._broadcasts.record_if_new(now, content):
            return []
        if content.topic == RECORDS_TOPIC:
            items = codec.decode_records(content.payload, now)
            # The broadcast itself reaches the other instances.
            self._state.merge(now, items, spread=False)
        me = self._state.me.id
        excluded = me, message.sender, content.origin
        out = self._forward(now, content, excluded)
        for handler in list(self.topics.get(content.topic, ())):
            handler(content.payload)
        return out

    def _resend(
        self, now: float, ids: tuple[int, ...], sender: records.Address
    ) -> Datagrams:
        out: Datagrams = []
        for id in ids[: broadcasting.MAX_RECENT]:
            content = self._broadcasts.get(id)
            if content is not None:
                message = probing.OutgoingMessage(sender, 0, content)
                out += self.send(now, message, _P.URGENT)
        return out

    def _repair(
        self, now: float, body: messages.Body, sender: records.Address
    ) -> Datagrams:
        known = self._state.known
        requests: Sequence[messages.Body] = ()
        items: list[records.Record] = []
        match body:
            case messages.Digest():
                requests = antientropy.summarize(known, body, self._rng)
            case messages.Summary():
                requests, items = antientropy.compare(known, body)
            case messages.Fetch():
                items, reply = antientropy.answer(known, body)
                requests = [] if reply is None else [reply]
        out = self.send_records(now, sender, items)
        for request in requests:
            out += self.request(now, sender, request)
        return out
