"""Failure detection by direct probes, then through relays.

The prober runs on its own clock, which does not advance while the process is
paused or cut off, so that neither condemns the other instances.
"""

import random
from collections.abc import Callable

import attrs

from cicadafront.membership import messages, records

RELAYS = 3
# A round trip takes at most a few ms between data centres; the rest covers a
# busy event loop.
DIRECT_TIMEOUT_SECONDS = 0.4
# Until the end of the probe, relays included.
PROBE_TIMEOUT_SECONDS = 1.0
RELAY_MEMORY_SECONDS = 3.0
# A single lost datagram must not mark a direction as broken.
STRIKES = 2


@attrs.frozen
class Path:
    """Whether datagrams pass directly between this instance and another.

    Attributes:
        sends: Whether the other one receives what this instance sends.
        hears: Whether this instance receives what the other one sends.
        strikes: Probes in a row that passed only through relays.
    """

    sends: bool = True
    hears: bool = True
    strikes: int = 0


OPEN_PATH = Path()


@attrs.define
class _Probe:
    target: str
    address: records.Address
    started: float
    relayed: bool = False
    acknowledged: bool = False
    heard: bool = False
    hears: bool = False


@attrs.frozen
class Send:
    """A message for an instance; the caller adds records and encodes."""

    address: records.Address
    sequence: int
    body: messages.Body
    to: str = ""


@attrs.frozen
class _Relay:
    requester: records.Address
    sequence: int
    started: float


class Prober:
    """Probes in flight, the rotation, and the paths found broken.

    Attributes:
        paths: Paths by instance id, where they are not known to be open.
        rotation: Instances to probe, in the order of the current round.
    """

    def __init__(self, rng: random.Random):
        self.paths: dict[str, Path] = {}
        self._rng = rng
        self.rotation: list[str] = []
        self._first: list[str] = []
        self._members: set[str] = set()
        self._position = 0
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        # Sequence number of the last direct ping, by sender.
        self._heard: dict[str, int] = {}
        self._sequence = rng.randrange(1 << 16)

    def add(self, id: str) -> None:
        """Adds an instance at a random place, so that its turn comes soon."""
        if id in self._members:
            return
        self._members.add(id)
        place = self._rng.randrange(len(self.rotation) + 1)
        self.rotation.insert(place, id)
        if place < self._position:
            self._position += 1

    def remove(self, id: str) -> None:
        """Forgets an instance."""
        self.paths.pop(id, None)
        self._heard.pop(id, None)
        if id in self._members:
            self._members.remove(id)
            place = self.rotation.index(id)
            del self.rotation[place]
            if place < self._position:
                self._position -= 1

    def hasten(self, id: str) -> None:
        """Probes an instance next."""
        self._first.append(id)

    def next_sequence(self) -> int:
        """Returns a number for a new question."""
        self._sequence = (self._sequence + 1) % (1 << 32)
        return self._sequence

    def choose(self) -> str | None:
        """Returns the instance to probe next.

        Instances behind a broken path get every other probe on average, so
        that a recovery is noted within seconds.
        """
        while self._first:
            id = self._first.pop()
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

    def start(self, clock: float, id: str, address: records.Address) -> Send:
        """Starts a probe."""
        sequence = self.next_sequence()
        self._probes[sequence] = _Probe(id, address, clock)
        return Send(address, sequence, messages.Ping(), id)

    def advance(
        self,
        clock: float,
        relays: Callable[[str], list[records.Address]],
    ) -> tuple[list[Send], list[str]]:
        """Moves probes on.

        Args:
            clock: Time during which this instance was awake.
            relays: Returns relays for the probe of an instance.

        Returns:
            Messages to send, and the ids of instances that did not answer.
        """
        sends: list[Send] = []
        failed = []
        for sequence, probe in list(self._probes.items()):
            age = clock - probe.started
            if age >= PROBE_TIMEOUT_SECONDS:
                del self._probes[sequence]
                if not self._conclude(probe):
                    failed.append(probe.target)
            elif age >= DIRECT_TIMEOUT_SECONDS and not probe.relayed:
                probe.relayed = True
                body = messages.PingRequest(probe.address)
                sends += [
                    Send(address, sequence, body)
                    for address in relays(probe.target)
                ]
        self._forget_relays(clock)
        return sends, failed

    def _conclude(self, probe: _Probe) -> bool:
        if not probe.acknowledged:
            return False
        strikes = self.paths.get(probe.target, OPEN_PATH).strikes + 1
        self.paths[probe.target] = Path(probe.heard, probe.hears, strikes)
        return True

    def _forget_relays(self, clock: float) -> None:
        # In order of insertion, hence of start.
        while self._relays:
            sequence, relay = next(iter(self._relays.items()))
            if clock - relay.started < RELAY_MEMORY_SECONDS:
                return
            del self._relays[sequence]

    def pinged(
        self,
        message: messages.Message,
        ping: messages.Ping,
        sender: records.Address,
    ) -> list[Send]:
        """Answers a ping; one by a relay is answered to its origin as well."""
        if not ping.origin:
            if message.sender in self._members:
                self._heard[message.sender] = message.sequence
            return [
                Send(sender, message.sequence, messages.Ack(), message.sender)
            ]
        heard = self._heard.get(ping.origin) == ping.origin_sequence
        ack = messages.Ack(heard)
        return [
            Send(sender, message.sequence, ack, message.sender),
            Send(ping.origin_address, ping.origin_sequence, ack, ping.origin),
        ]

    def requested(
        self,
        clock: float,
        message: messages.Message,
        request: messages.PingRequest,
        sender: records.Address,
    ) -> list[Send]:
        """Pings on behalf of the sender."""
        sequence = self.next_sequence()
        self._relays[sequence] = _Relay(sender, message.sequence, clock)
        body = messages.Ping(message.sender, sender, message.sequence)
        return [Send(request.address, sequence, body)]

    def acknowledged(
        self, message: messages.Message, ack: messages.Ack
    ) -> list[Send]:
        """Takes an acknowledgement for a probe or for a relayed ping."""
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            body = messages.RelayedAck(ack.heard)
            return [Send(relay.requester, relay.sequence, body)]
        probe = self._probes.get(message.sequence)
        if probe is None or probe.target != message.sender:
            return []
        probe.acknowledged = probe.hears = True
        probe.heard = probe.heard or ack.heard
        if probe.heard:
            del self._probes[message.sequence]
            self.paths.pop(probe.target, None)
        return []

    def relayed(
        self, message: messages.Message, ack: messages.RelayedAck
    ) -> None:
        """Takes an acknowledgement that came through a relay."""
        probe = self._probes.get(message.sequence)
        if probe is not None:
            probe.acknowledged = True
            probe.heard = probe.heard or ack.heard

    def path(self, id: str) -> Path:
        """Returns what is known of the direct path to an instance."""
        return self.paths.get(id, OPEN_PATH)
