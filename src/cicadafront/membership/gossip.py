"""Gossip protocol core without I/O.

It takes the current time and received datagrams and returns datagrams to send.
`tick` should be called every `TICK_SECONDS`. Section 3.2 of the design page
describes the protocol.
"""

import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from cicadafront.membership import (
    antientropy,
    broadcasting,
    budget,
    codec,
    exchange,
    failure_detector,
    joining,
    messages,
    outbox,
    pace,
    probing,
    records,
    state,
)

Datagram = outbox.Datagram

TICK_SECONDS = 0.1
DIGEST_SECONDS = 10.0
DEAD_PROBE_SECONDS = 5.0
PURGE_SECONDS = 60.0
# New claims are sent without waiting for the next probe, but at most once per
# this interval, which limits the traffic after a mass failure.
CLAIMS_SECONDS = 0.5
CLAIMS_FANOUT = 3
MAX_PAYLOAD_BYTES = 1000
# Bytes that an instance may send for each byte of records of which it knew no
# version. All instances together send such a record at least once to each of
# them, and up to three times while several exchanges overlap.
SENT_PER_NEW = 4

_P = budget.Priority


@attrs.frozen
class Parameters:
    """Protocol parameters; the defaults suit thousands of instances.

    Attributes:
        bytes_per_second: Mean rate limit of the bytes that an instance sends.
        digest_seconds: Mean interval between anti-entropy exchanges with a
            random peer while they find no difference.
        broadcast_all_changes: Whether every change of a target is broadcast
            while the fleet is calm, not only those that take it out of use.
        tick_seconds: Interval between calls of `tick`.
    """

    bytes_per_second: float = budget.BYTES_PER_SECOND
    digest_seconds: float = DIGEST_SECONDS
    broadcast_all_changes: bool = False
    tick_seconds: float = TICK_SECONDS


class Gossip:
    """Membership state of one instance.

    Times are in seconds on one monotonic clock of the caller.

    Attributes:
        counters: Traffic counters.
        parameters: Protocol parameters.
    """

    def __init__(
        self,
        me: records.InstanceRecord,
        rng: random.Random,
        now: float,
        seeds: Sequence[records.Address] = (),
        parameters: Parameters = Parameters(),
    ):
        self.counters = outbox.Counters()
        self._rng = rng
        others = [seed for seed in seeds if seed != me.gossip_address]
        self._seeds = joining.Seeds(others, rng)
        self.parameters = parameters
        self._pace = pace.Pace(
            parameters.digest_seconds,
            now + rng.uniform(0, pace.MIN_INTERVAL_SECONDS),
        )
        self._state = state.State(
            me, rng, now, self._pace, parameters.broadcast_all_changes
        )
        self._detector = self._state.detector
        self._known = self._state.known
        self._budget = budget.ByteBudget(now, parameters.bytes_per_second)
        broadcasts = broadcasting.Broadcasts()
        self._outbox = outbox.Outbox(
            self._known,
            self._state.queue,
            self._state.claims,
            broadcasts,
            self._budget,
            self.counters,
        )
        self._exchange = exchange.Exchange(
            self._state, broadcasts, self._outbox, rng
        )
        self._next_claims_push = now
        self._change_handlers: list[Callable[[], None]] = []
        self._due: dict[Callable[[float], list[Datagram]], float] = {
            self._probe: now + rng.uniform(0, failure_detector.PROBE_SECONDS),
            self._probe_dead: now + DEAD_PROBE_SECONDS,
            self._ping_seeds: now,
            self._purge: now + PURGE_SECONDS,
        }

    @property
    def seeds(self) -> list[records.Address]:
        """Gossip addresses of seeds, without the instance's own."""
        return self._seeds.addresses

    @seeds.setter
    def seeds(self, addresses: Iterable[records.Address]) -> None:
        self._seeds.replace(addresses)
        # The next tick pings them.
        self._due[self._ping_seeds] = 0.0

    @property
    def revision(self) -> int:
        """Configuration revision sent in each message."""
        return self._outbox.revision

    @revision.setter
    def revision(self, revision: int) -> None:
        self._outbox.revision = revision

    @property
    def evacuations(self) -> int:
        """Token of the known evacuations, sent in each message."""
        return self._outbox.evacuations

    @evacuations.setter
    def evacuations(self, token: int) -> None:
        self._outbox.evacuations = token

    @property
    def me(self) -> records.InstanceRecord:
        """The record of this instance."""
        return self._state.me

    @property
    def superseded(self) -> bool:
        """Whether a later process with the id of this instance was seen."""
        return self._state.superseded

    def instance(self, id: str) -> records.InstanceRecord | None:
        """Returns the record of an instance, or None if it is unknown."""
        member = self._known.members.get(id)
        return member.record if member and member.record.version else None

    def instances(self) -> list[records.InstanceRecord]:
        """Returns the records of all known instances, dead ones included."""
        found = (member.record for member in self._known.members.values())
        return [record for record in found if record.version]

    def targets(self, service: str) -> list[records.TargetRecord]:
        """Returns the targets of a service whose owners are not dead."""
        return self._known.targets(service)

    def take_changed_services(self) -> set[str]:
        """Returns and clears the services with changed targets."""
        changed, self._known.changed_services = (
            self._known.changed_services,
            set(),
        )
        return changed

    def take_changed_instances(self) -> set[str]:
        """Returns and clears the ids of the instances that changed."""
        changed, self._known.changed_instances = (
            self._known.changed_instances,
            set(),
        )
        return changed

    def records_of(self, id: str) -> list[records.Record]:
        """Returns the records of an instance and of its targets."""
        member = self._known.members.get(id)
        return list(member.all_records()) if member else []

    def peers(self) -> list[str]:
        """Returns the ids of the other instances that are not dead."""
        return list(self._detector.peers)

    def reachable(self, id: str) -> bool:
        """Returns whether the direct path to an instance works."""
        member = self._known.members.get(id)
        if member is None or not member.usable:
            return False
        return id == self.me.id or self._detector.reachable(id)

    def path(self, id: str) -> probing.Path:
        """Returns the state of the direct path to an instance."""
        return self._detector.prober.path(id)

    def isolated(self, now: float) -> bool:
        """Returns whether this instance appears to be cut off."""
        return self._detector.isolated(now)

    def on_change(self, handler: Callable[[], None]) -> None:
        """Registers a handler for changes of instances or targets."""
        self._change_handlers.append(handler)

    def on_broadcast(
        self, topic: str, handler: Callable[[bytes], None]
    ) -> None:
        """Registers a handler, called once per broadcast of other instances."""
        self._exchange.topics.setdefault(topic, []).append(handler)

    def on_departure(self, handler: state.DepartureHandler) -> None:
        """Registers a handler for targets of other instances that leave."""
        self._state.departure_handlers.append(handler)

    def on_revision(self, handler: Callable[[str, int], None]) -> None:
        """Registers a handler for the sender and revision of each message."""
        self._exchange.revision_handlers.append(handler)

    def on_evacuations(self, handler: Callable[[str, int], None]) -> None:
        """Registers a handler for the sender and token of each message."""
        self._exchange.evacuation_handlers.append(handler)

    def announce_target(self, now: float, record: records.TargetRecord) -> None:
        """Announces or updates a target of this instance.

        The next tick broadcasts an ejection, leaving or removal.
        """
        self._state.announce(now, record)
        self._notify()

    def withdraw_target(self, now: float, id: str) -> None:
        """Announces the removal of a target of this instance."""
        held = self._state.own_targets.get(id)
        if held is not None and not held.gone:
            self.announce_target(now, attrs.evolve(held, gone=True))

    def broadcast_urgent(self, now: float) -> list[Datagram]:
        """Broadcasts urgent changes without waiting for the next tick."""
        out = self._exchange.broadcast_records(now)
        return out + self._exchange.flush(now)

    def leave(self, now: float) -> None:
        """Announces a planned stop, which the next tick broadcasts."""
        self._state.update_own_record(now, leaving=True)
        self._notify()

    def depart(self, now: float) -> list[Datagram]:
        """Broadcasts that the process stops now, and marks it as dead."""
        dead = records.Liveness.DEAD
        self._state.update_own_record(now, leaving=True, liveness=dead)
        return self._exchange.broadcast_records(now)

    def broadcast(
        self, now: float, topic: str, payload: bytes
    ) -> list[Datagram]:
        """Broadcasts a payload to all other live instances.

        Raises:
            ValueError: The topic is empty or the payload is too long.
        """
        if topic == exchange.RECORDS_TOPIC:
            raise ValueError("broadcast topic is empty")
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(
                f"broadcast payload too long: {len(payload)} bytes, limit "
                f"{MAX_PAYLOAD_BYTES}"
            )
        return self._exchange.broadcast(now, topic, payload)

    def load(self, now: float, items: Iterable[records.Record]) -> None:
        """Merges records of a full-state transfer without forwarding them."""
        self._state.merge(now, items, spread=False)
        self._notify()

    def tick(self, now: float) -> list[Datagram]:
        """Runs the actions that are due; returns the datagrams to send."""
        out: list[Datagram] = []
        outgoing, transitions = self._detector.tick(now)
        for message in outgoing:
            out += self._exchange.send(now, message, _P.ANSWER)
        for record in transitions:
            self._state.apply_transition(now, record)
        for action, due in list(self._due.items()):
            if now >= due:
                out += action(now)
        if now >= self._pace.next_at:
            out += self._send_digest(now)
        out += self._exchange.broadcast_records(now)
        out += self._exchange.flush(now)
        out += self._exchange.repeat(now)
        out += self._push_claims(now)
        self._notify()
        return out

    def receive(
        self, now: float, data: bytes, sender: records.Address
    ) -> list[Datagram]:
        """Handles a datagram and returns the datagrams to send.

        Malformed datagrams are counted and ignored.
        """
        self.counters.received_datagrams += 1
        self.counters.received_bytes += len(data) + budget.HEADER_BYTES
        try:
            message = codec.decode(data, now)
            if not message.sender or message.sender == self.me.id:
                raise codec.DatagramError(
                    "The sender of the datagram is empty or this instance."
                )
            self._detector.clock.datagram_received(now)
            known = self._state.learned.new_bytes
            out = self._exchange.receive(now, message, sender)
            new = self._state.learned.new_bytes - known
            self._budget.earn(now, SENT_PER_NEW * new)
        except codec.DatagramError:
            self.counters.ignored += 1
            return []
        self._notify()
        return out

    def _notify(self) -> None:
        if self._state.changed:
            self._state.changed = False
            for handler in list(self._change_handlers):
                handler()

    def _probe(self, now: float) -> list[Datagram]:
        period = failure_detector.probe_period(self._budget.level(now))
        self._due[self._probe] = now + period * self._rng.uniform(0.8, 1.2)
        if self._budget.available(now, _P.PROBE) <= 0:
            return []
        started = self._detector.probe()
        if started is None:
            return []
        message, record = started
        suspected = record.liveness is not records.Liveness.ALIVE
        # A suspect must receive the suspicion to be able to refute it.
        carried = [record] if suspected else []
        return self._exchange.send(now, message, _P.PROBE, carried)

    def _probe_dead(self, now: float) -> list[Datagram]:
        """Pings a dead instance with its record, which it refutes if alive."""
        self._due[self._probe_dead] = now + DEAD_PROBE_SECONDS
        found = (self._known.members[id] for id in sorted(self._known.dead))
        dead = [m.record for m in found if not m.record.departed]
        if not dead:
            return []
        record = self._rng.choice(dead)
        sequence = self._detector.prober.next_sequence()
        ping = probing.OutgoingMessage(
            record.gossip_address, sequence, messages.Ping()
        )
        # The interval shrinks with the number of dead instances: after a
        # partition there are many, and half of them should be reached soon.
        period = DEAD_PROBE_SECONDS / min(len(dead), 10)
        self._due[self._probe_dead] = now + period
        return self._exchange.send(now, ping, _P.ORDINARY, [record])

    def _send_digest(self, now: float) -> list[Datagram]:
        address = self._detector.peer_to_compare()
        if address is None:
            # The first peer is compared with as soon as it is known.
            return []
        self._pace.compares(now, self._rng.uniform(0.8, 1.2))
        body = antientropy.digest(self._known)
        return self._exchange.request(now, address, body)

    def _ping_seeds(self, now: float) -> list[Datagram]:
        peers = self._detector.peers
        known = {self._known.members[id].record.gossip_address for id in peers}
        addresses, pause = self._seeds.next_batch(known, alone=not peers)
        self._due[self._ping_seeds] = now + pause
        out: list[Datagram] = []
        for address in addresses:
            sequence = self._detector.prober.next_sequence()
            ping = probing.OutgoingMessage(address, sequence, messages.Ping())
            out += self._exchange.send(now, ping, _P.ORDINARY)
        return out

    def _push_claims(self, now: float) -> list[Datagram]:
        if not self._state.has_new_claims or now < self._next_claims_push:
            return []
        self._state.has_new_claims = False
        self._next_claims_push = now + CLAIMS_SECONDS
        out: list[Datagram] = []
        for address in self._detector.random_peers(CLAIMS_FANOUT, ()):
            message = probing.OutgoingMessage(address, 0, messages.Update())
            out += self._exchange.send(now, message, _P.ORDINARY)
        return out

    def _purge(self, now: float) -> list[Datagram]:
        self._due[self._purge] = now + PURGE_SECONDS
        self._known.purge(now)
        return []
