"""Twisted integration of the membership: UDP, timers and state transfer."""

import collections
import random
from collections.abc import Generator
from typing import Any

import eliot
from twisted.internet import defer, error, protocol

from cicadafront import errors, loops, ports
from cicadafront.membership import (
    announce,
    codec,
    gossip,
    handover,
    transfer,
    view,
)

TRANSFER_TIMEOUT_SECONDS = 5.0
RETRY_SECONDS = 1.0
# A tick does not wait for anything; it can only fail because of a bug.
TICK_TIMEOUT_SECONDS = 1.0


class _Socket(protocol.DatagramProtocol):
    """Passes received datagrams to the service."""

    def __init__(self, service: "MembershipService"):
        self._service = service

    def datagramReceived(  # noqa: N802 (name given by Twisted)
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        self._service.received(datagram, addr)


class MembershipService:
    """Runs the gossip core of one daemon.

    Attributes:
        directory: Known instances and targets.
        broadcaster: Sends and receives urgent messages.
        revisions: Configuration revisions that the instances run.
        joined: Whether the full state of the fleet was received, or there
            is no seed to fetch it from.
        loop: Periodically sends pending datagrams.
        send_errors: Number of datagrams that the socket refused.
        traffic: Bytes of datagrams, by `sent` and `received`.
    """

    def __init__(
        self,
        reactor,
        core: gossip.Gossip,
        calls: ports.PeerCalls,
        rng: random.Random,
        registry: announce.TargetRegistry | None = None,
        facts: handover.Handover | None = None,
    ):
        self.directory = view.GossipDirectory(core)
        self.broadcaster = view.LocalBroadcaster(
            core, reactor.seconds, self._send
        )
        self.revisions = view.GossipRevisions(core)
        self.joined = not core.seeds
        self.send_errors = 0
        self.traffic: collections.Counter[str] = collections.Counter()
        self._reactor = reactor
        self._core = core
        self._calls = calls
        self._rng = rng
        self._registry = registry
        self._facts = facts or handover.Handover(core.me.id)
        self._port = None
        timing = loops.Timing(
            core.parameters.tick_seconds,
            TICK_TIMEOUT_SECONDS,
            max_backoff=RETRY_SECONDS,
        )
        self.loop = loops.Loop("gossip", self._tick, timing, reactor, rng)
        self._next_transfer_at = 0.0
        self._transferring = False
        self._join_waiters: list[defer.Deferred[None]] = []
        calls.register(transfer.METHOD, self._serve_page)
        calls.register(handover.METHOD, self._serve_facts)

    def start(self) -> None:
        """Opens the socket and starts to join the fleet.

        Raises:
            twisted.internet.error.CannotListenError: The address is in use.
        """
        host, port = self._core.me.gossip_address
        self._port = self._reactor.listenUDP(
            port, _Socket(self), interface=host
        )
        self.loop.start()

    def send_urgent(self) -> None:
        """Sends urgent changes of this instance at once."""
        self._send(self._core.broadcast_urgent(self._reactor.seconds()))

    def leave(self) -> None:
        """Announces a planned stop; new requests cease within 2 s."""
        self._core.leave(self._reactor.seconds())

    def stop(self) -> "defer.Deferred[None]":
        """Announces the departure of this instance and closes the socket."""
        self._send(self._core.depart(self._reactor.seconds()))
        self.loop.stop()
        port, self._port = self._port, None
        return defer.maybeDeferred(port.stopListening) if port else _done()

    def when_joined(self) -> "defer.Deferred[None]":
        """Returns a Deferred that fires once the full state was received."""
        if self.joined:
            return _done()
        waiting: defer.Deferred[None] = defer.Deferred()
        self._join_waiters.append(waiting)
        return waiting

    def received(self, data: bytes, address: tuple[str, int]) -> None:
        """Processes a datagram from the socket."""
        now = self._reactor.seconds()
        self.traffic["received"] += len(data)
        self._send(self._core.receive(now, data, address[:2]))

    def _tick(self) -> None:
        now = self._reactor.seconds()
        if self._registry is not None:
            self._registry.expire(now)
        self._send(self._core.tick(now))
        if not self._transferring:
            self._join(now)

    def _send(self, datagrams: list[gossip.Datagram]) -> None:
        for datagram in datagrams:
            if self._port is None:
                return
            try:
                transport = self._port
                transport.write(datagram.data, datagram.address)
                self.traffic["sent"] += len(datagram.data)
            except (OSError, ValueError, error.InvalidAddressError):
                # The send buffer is full, or a peer sent an invalid address.
                # Anti-entropy repairs the loss.
                self.send_errors += 1

    def _join(self, now: float) -> None:
        """Asks a peer for the state of the fleet, or only for the facts."""
        if self.joined and not self._facts.awaits_peer:
            return
        peers = self._core.peers()
        if not peers or now < self._next_transfer_at:
            return
        self._next_transfer_at = now + RETRY_SECONDS * self._rng.uniform(1, 2)
        self._transferring = True
        ask = self._ask_for_facts if self.joined else self._transfer
        done = ask(self._rng.choice(peers))
        done.addBoth(self._transfer_ended)

    @defer.inlineCallbacks
    def _transfer(
        self, peer: str
    ) -> Generator["defer.Deferred[Any]", Any, None]:
        after = ""
        try:
            while True:
                body = yield self._calls.call(
                    peer,
                    transfer.METHOD,
                    codec.encode_request(after),
                    TRANSFER_TIMEOUT_SECONDS,
                )
                now = self._reactor.seconds()
                items, after = codec.decode_page(body, now)
                self._core.load(now, items)
                if not after:
                    break
            yield self._fetch_facts(peer)
        except errors.CicadafrontError as failure:
            eliot.log_message(
                message_type="gossip: state transfer failed",
                peer=peer,
                code=failure.code,
            )
            return
        self.joined = True
        waiting, self._join_waiters = self._join_waiters, []
        for deferred in waiting:
            deferred.callback(None)

    @defer.inlineCallbacks
    def _ask_for_facts(
        self, peer: str
    ) -> Generator["defer.Deferred[Any]", Any, None]:
        try:
            yield self._fetch_facts(peer)
        except errors.CicadafrontError as failure:
            eliot.log_message(
                message_type="gossip: a peer handed over no facts",
                peer=peer,
                code=failure.code,
            )

    @defer.inlineCallbacks
    def _fetch_facts(
        self, peer: str
    ) -> Generator["defer.Deferred[bytes]", bytes, None]:
        try:
            reply = yield self._calls.call(
                peer,
                handover.METHOD,
                self._facts.request(),
                TRANSFER_TIMEOUT_SECONDS,
            )
        except errors.CallFailedError as failure:
            if failure.code != "method_unknown":
                raise
            # The peer runs an earlier version during an upgrade.
            eliot.log_message(
                message_type="gossip: a peer hands over no facts", peer=peer
            )
            self._facts.peer_has_none()
            return
        self._facts.learn_reply(reply)

    def _transfer_ended(self, result) -> None:
        self._transferring = False
        if result is not None:
            eliot.log_message(
                message_type="gossip: state transfer broke off",
                reason=str(result.value),
            )

    def _serve_facts(self, caller: str, body: bytes) -> bytes:
        return self._facts.for_peer(caller, body)

    def _serve_page(self, caller: str, body: bytes) -> bytes:
        after = codec.decode_request(body)
        return transfer.page(self._core, after, self._reactor.seconds())


def _done() -> "defer.Deferred[None]":
    return defer.succeed(None)
