"""Failure detection by direct probes, then by probes through relays.

The prober uses a clock that does not advance while the process is paused or
cut off. Otherwise all probes in flight would time out then, and other instances
would be marked as failed.
"""

import random
from collections.abc import Callable

import attrs

from cicadafront.membership import messages, records

RELAYS = 3
# A round trip between data centres takes at most a few ms; the rest allows for
# a busy event loop.
DIRECT_TIMEOUT_SECONDS = 0.4
# Timeout of the whole probe, relays included.
PROBE_TIMEOUT_SECONDS = 1.0
RELAY_TIMEOUT_SECONDS = 3.0
# A single lost datagram must not mark a path as broken.
DIRECT_FAILURE_THRESHOLD = 2


@attrs.frozen
class Path:
    """State of the direct path to another instance.

    Attributes:
        outbound_ok: Whether the other one receives datagrams of this one.
        inbound_ok: Whether this one receives datagrams of the other one.
        direct_failures: Consecutive probes that succeeded only via relays.
    """

    outbound_ok: bool = True
    inbound_ok: bool = True
    direct_failures: int = 0


WORKING_PATH = Path()


@attrs.define
class _Probe:
    target: str
    address: records.Address
    started: float
    relays_asked: bool = False
    acknowledged: bool = False
    direct_received: bool = False
    inbound_ok: bool = False


@attrs.frozen
class OutgoingMessage:
    """A message to send; the caller adds records and encodes it.

    Attributes:
        address: Gossip address of the receiver.
        sequence: Sequence number of the message.
        body: Content specific to the type of message.
        to: Id of the receiver; empty if it is not known.
    """

    address: records.Address
    sequence: int
    body: messages.Body
    to: str = ""


@attrs.frozen
class _RelayedPing:
    requester: records.Address
    sequence: int
    started: float


class Prober:
    """Probes in flight, the probe rotation, and failing paths.

    Attributes:
        paths: States of paths with failures, by instance id.
        rotation: Ids of the instances to probe, in the order of the round.
    """

    def __init__(self, rng: random.Random):
        self.paths: dict[str, Path] = {}
        self._rng = rng
        self.rotation: list[str] = []
        self._probe_first: list[str] = []
        self._members: set[str] = set()
        self._position = 0
        self._probes: dict[int, _Probe] = {}
        self._relayed_pings: dict[int, _RelayedPing] = {}
        # Sequence number of the last direct ping, by sender.
        self._last_direct_ping: dict[str, int] = {}
        self._sequence = rng.randrange(1 << 16)

    def add(self, id: str) -> None:
        """Adds an instance at a random position, so that it is probed soon."""
        if id in self._members:
            return
        self._members.add(id)
        index = self._rng.randrange(len(self.rotation) + 1)
        self.rotation.insert(index, id)
        if index < self._position:
            self._position += 1

    def remove(self, id: str) -> None:
        """Removes an instance."""
        self.paths.pop(id, None)
        self._last_direct_ping.pop(id, None)
        if id in self._members:
            self._members.remove(id)
            index = self.rotation.index(id)
            del self.rotation[index]
            if index < self._position:
                self._position -= 1

    def probe_next(self, id: str) -> None:
        """Schedules an instance as the next to probe."""
        self._probe_first.append(id)

    def next_sequence(self) -> int:
        """Returns the sequence number for a new request."""
        self._sequence = (self._sequence + 1) % (1 << 32)
        return self._sequence

    def choose(self) -> str | None:
        """Returns the instance to probe next, or None if there is none.

        Instances with a failing path get every other probe on average, so that
        a recovery is detected within seconds.
        """
        while self._probe_first:
            id = self._probe_first.pop()
            if id in self._members:
                return id
        if self.paths and self._rng.random() < 0.5:
            return self._rng.choice(sorted(self.paths))
        if not self.rotation:
            return None
        if self._position >= len(self.rotation):
            self._rng.shuffle(self.rotation)
            self._position = 0
        self._position += 1
        return self.rotation[self._position - 1]

    def start(
        self, clock: float, id: str, address: records.Address
    ) -> OutgoingMessage:
        """Starts a probe; returns its ping."""
        sequence = self.next_sequence()
        self._probes[sequence] = _Probe(id, address, clock)
        return OutgoingMessage(address, sequence, messages.Ping(), id)

    def advance(
        self,
        clock: float,
        relays: Callable[[str], list[records.Address]],
    ) -> tuple[list[OutgoingMessage], list[str]]:
        """Starts relayed pings and ends probes whose timeout has passed.

        Args:
            clock: Seconds that this instance was running and connected.
            relays: Returns addresses of relays for the probe of an instance.

        Returns:
            Messages to send, and the ids of instances that did not respond.
        """
        outgoing: list[OutgoingMessage] = []
        failed = []
        for sequence, probe in list(self._probes.items()):
            age = clock - probe.started
            if age >= PROBE_TIMEOUT_SECONDS:
                del self._probes[sequence]
                if not self._finish(probe):
                    failed.append(probe.target)
            elif age >= DIRECT_TIMEOUT_SECONDS and not probe.relays_asked:
                probe.relays_asked = True
                body = messages.PingRequest(probe.address)
                outgoing += [
                    OutgoingMessage(address, sequence, body)
                    for address in relays(probe.target)
                ]
        self._expire_relayed_pings(clock)
        return outgoing, failed

    def _finish(self, probe: _Probe) -> bool:
        if not probe.acknowledged:
            return False
        direct_failures = (
            self.paths.get(probe.target, WORKING_PATH).direct_failures + 1
        )
        self.paths[probe.target] = Path(
            probe.direct_received, probe.inbound_ok, direct_failures
        )
        return True

    def _expire_relayed_pings(self, clock: float) -> None:
        # Insertion order is the order of start times.
        while self._relayed_pings:
            sequence, relay = next(iter(self._relayed_pings.items()))
            if clock - relay.started < RELAY_TIMEOUT_SECONDS:
                return
            del self._relayed_pings[sequence]

    def handle_ping(
        self,
        message: messages.Message,
        ping: messages.Ping,
        sender: records.Address,
    ) -> list[OutgoingMessage]:
        """Acknowledges a ping; one from a relay also to its origin."""
        if not ping.origin:
            if message.sender in self._members:
                self._last_direct_ping[message.sender] = message.sequence
            return [
                OutgoingMessage(
                    sender, message.sequence, messages.Ack(), message.sender
                )
            ]
        direct_received = (
            self._last_direct_ping.get(ping.origin) == ping.origin_sequence
        )
        ack = messages.Ack(direct_received)
        return [
            OutgoingMessage(sender, message.sequence, ack, message.sender),
            OutgoingMessage(
                ping.origin_address, ping.origin_sequence, ack, ping.origin
            ),
        ]

    def handle_ping_request(
        self,
        clock: float,
        message: messages.Message,
        request: messages.PingRequest,
        sender: records.Address,
    ) -> list[OutgoingMessage]:
        """Pings an address on behalf of the sender."""
        sequence = self.next_sequence()
        self._relayed_pings[sequence] = _RelayedPing(
            sender, message.sequence, clock
        )
        body = messages.Ping(message.sender, sender, message.sequence)
        return [OutgoingMessage(request.address, sequence, body)]

    def handle_ack(
        self, message: messages.Message, ack: messages.Ack
    ) -> list[OutgoingMessage]:
        """Handles the acknowledgement of a probe or of a relayed ping."""
        relay = self._relayed_pings.pop(message.sequence, None)
        if relay is not None:
            body = messages.RelayedAck(ack.direct_received)
            return [OutgoingMessage(relay.requester, relay.sequence, body)]
        probe = self._probes.get(message.sequence)
        if probe is None or probe.target != message.sender:
            return []
        probe.acknowledged = probe.inbound_ok = True
        probe.direct_received = probe.direct_received or ack.direct_received
        if probe.direct_received:
            del self._probes[message.sequence]
            self.paths.pop(probe.target, None)
        return []

    def handle_relayed_ack(
        self, message: messages.Message, ack: messages.RelayedAck
    ) -> None:
        """Handles an acknowledgement reported by a relay."""
        probe = self._probes.get(message.sequence)
        if probe is not None:
            probe.acknowledged = True
            probe.direct_received = probe.direct_received or ack.direct_received

    def path(self, id: str) -> Path:
        """Returns the state of the direct path to an instance."""
        return self.paths.get(id, WORKING_PATH)
