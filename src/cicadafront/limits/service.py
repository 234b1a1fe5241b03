"""Executes the actions of `ownership` over the store and peer calls."""

import math
import random
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import eliot
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.limits import actions, calls, claims
from cicadafront.limits.ownership import Ownership
from cicadafront.limits.shard import (
    LEASE_SECONDS,
    ConfirmationRequest,
    Kind,
    Phase,
)

TICK_SECONDS = 0.25
STORE_TIMEOUT_SECONDS = 1.0
CONFIRM_TIMEOUT_SECONDS = 1.0
HANDOVER_CALL_TIMEOUT_SECONDS = 3.0
# Shortest interval between reads of all claims that are triggered by requests
# for shards without a known owner.
REREAD_SECONDS = 1.0
# The state of a shard is sent in chunks of at most this size, so that the size
# of a frame does not depend on it.
CHUNK_BYTES = 128 * 1024
CONFIRM = "owner.confirm"
HANDOVER = "owner.handover"


def _log(text: str, **fields: object) -> None:
    eliot.log_message("limits", text=f"limits: {text}", **fields)


class Part(Protocol):
    """Component whose state moves with a shard."""

    name: str

    def acquired(self, event: actions.Acquired, state: Any) -> None:
        """Starts to serve a shard.

        Args:
            event: The new claim of this process.
            state: State from a handover, or None.
        """

    def lost(self, shard: int) -> None:
        """Drops the state of a shard that this instance no longer owns."""

    def export(self, shard: int) -> Any:
        """Returns the state for a handover as JSON data.

        The shard is frozen; pending calls are answered with a redirect.
        """

    def last_used(self) -> dict[int, float]:
        """Returns the time in seconds at which each shard was last used."""


Prober = Callable[[str, int], "defer.Deferred[bool]"]


class OwnershipService:
    """Runs `Ownership` and notifies the parts of acquired and lost shards.

    Attributes:
        core: Decides on the ownership of shards.
        parts: Components whose state moves with the shards.
    """

    def __init__(
        self,
        core: Ownership,
        store: ports.Store,
        peers: ports.PeerCalls,
        directory: ports.Directory,
        timer: calls.Timer,
        rng: random.Random,
        prober: Prober,
    ):
        self.core = core
        self.parts: list[Part] = []
        self._store = store
        self._peers = peers
        self._directory = directory
        self._timer = timer
        self._rng = rng
        self._prober = prober
        self._chunks: dict[tuple[int, int], dict[int, str]] = {}
        self._received_states: dict[int, Any] = {}
        self._handing_over: set[int] = set()
        self._read_at = -math.inf
        self._stopped: defer.Deferred[None] | None = None
        peers.register(CONFIRM, self._serve_confirm)
        peers.register(HANDOVER, self._serve_handover)
        peers.register(calls.SUSPECT, self._serve_suspect)
        directory.on_change(self._directory_changed)

    def start(self) -> None:
        """Starts to claim shards and to renew the lease."""
        self._directory_changed()
        self._timer.callLater(self._rng.uniform(0, TICK_SECONDS), self._tick)

    def stop(self) -> "defer.Deferred[None]":
        """Hands over or releases all shards; fires once none is held.

        If the result is cancelled, this process stops acting for all shards,
        so that its listener may be closed.
        """
        last_used: dict[int, float] = {}
        for part in self.parts:
            for shard, used in part.last_used().items():
                last_used[shard] = max(used, last_used.get(shard, used))
        self.core.stop(last_used)
        stopped = self._stopped = defer.Deferred(self._stop_cancelled)
        return stopped

    def _stop_cancelled(self, _stopped: "defer.Deferred[None]") -> None:
        self._stopped = None
        self.core.stop_acting()

    def acts(self, shard: int) -> int | None:
        """Returns the claim's epoch if this instance may act as owner now.

        Returns None otherwise.
        """
        return self.core.acts(self._timer.seconds(), shard)

    def redirect(self, shard: int) -> bytes:
        """Returns the reply to a call for a shard that is not owned here."""
        owner = self.core.owner(shard)
        if owner == self.core.me.id:
            owner = None
        if owner is None:
            # The claim may be newer than the last read of all claims.
            due = max(self._timer.seconds(), self._read_at + REREAD_SECONDS)
            self.core.schedule.due_by("read", due)
        return calls.pack({"owner": owner})

    def _directory_changed(self) -> None:
        self.core.directory_changed(
            self._timer.seconds(), self._directory.instances()
        )

    def _tick(self) -> None:
        self._timer.callLater(TICK_SECONDS, self._tick)
        self.run(self.core.tick(self._timer.seconds()))
        held = any(state.held for state in self.core.shards)
        if self._stopped is not None and not held:
            stopped, self._stopped = self._stopped, None
            stopped.callback(None)

    def run(self, todo: list[actions.Action]) -> None:
        """Executes actions of the core."""
        for action in todo:
            match action:
                case actions.RequestConfirmation(deputy, confirmation_requests):
                    self._request_confirmation(deputy, confirmation_requests)
                case actions.Probe(member):
                    self._probe(member)
                case actions.HandOver(shard, to):
                    self._hand_over(shard, to)
                case actions.Release(shard):
                    self._release(shard)
                case actions.Acquired():
                    self._acquired(action)
                case actions.Lost(shard):
                    _log("no longer owner of the shard", shard=shard)
                    for part in self.parts:
                        part.lost(shard)
                case _:
                    self._call_store(action)

    def _bounded(self, deferred: "defer.Deferred[Any]"):
        return calls.bounded(deferred, self._timer, STORE_TIMEOUT_SECONDS)

    def _call_store(self, action: actions.Action) -> None:
        match action:
            case actions.GrantLease() | actions.WriteLeaseKey():
                self._new_lease(action)
            case actions.RenewLease(lease):
                self._renew(lease)
            case actions.ReadClaims():
                self._read_claims()
            case actions.ReadLeases():
                self._read_leases()
            case actions.WriteClaim():
                self._write_claim(action)

    @defer.inlineCallbacks
    def _new_lease(self, action: actions.GrantLease | actions.WriteLeaseKey):
        sent = self._timer.seconds()
        lease = self.core.lease
        try:
            if isinstance(action, actions.GrantLease):
                id = yield self._bounded(self._store.grant_lease(LEASE_SECONDS))
                lease.granted(self._timer.seconds(), sent, id)
                return
            yield self._bounded(
                self._store.put(
                    claims.lease_key(action.lease),
                    claims.encode_member(self.core.me),
                    lease=action.lease,
                )
            )
            lease.key_written(self._timer.seconds(), action.lease)
        except errors.StoreConflictError:
            if isinstance(action, actions.WriteLeaseKey):
                lease.lost(self._timer.seconds(), action.lease)
        except (errors.CicadafrontError, defer.TimeoutError):
            self.core.store_failed(self._timer.seconds(), "lease")

    @defer.inlineCallbacks
    def _renew(self, lease: str):
        sent = self._timer.seconds()
        try:
            yield self._bounded(self._store.renew_lease(lease))
        except errors.StoreConflictError:
            _log("store lease expired", lease=lease)
            self.core.lease.lost(self._timer.seconds(), lease)
        except (errors.CicadafrontError, defer.TimeoutError):
            self.core.store_failed(self._timer.seconds(), "lease")
        else:
            self.core.lease_renewed(sent, lease)

    @defer.inlineCallbacks
    def _read_claims(self):
        self._read_at = self._timer.seconds()
        try:
            found = yield self._bounded(self._store.list(claims.OWNER_PREFIX))
        except (errors.CicadafrontError, defer.TimeoutError):
            self.core.store_failed(self._timer.seconds(), "read")
            return
        decoded = {}
        for key, item in found.items():
            number = int(key.removeprefix(claims.OWNER_PREFIX))
            decoded[number] = (claims.decode(item.value), item.version)
        self.run(self.core.claims_read(self._timer.seconds(), decoded))

    @defer.inlineCallbacks
    def _read_leases(self):
        sent = self._timer.seconds()
        try:
            found = yield self._bounded(self._store.list(claims.LEASE_PREFIX))
        except (errors.CicadafrontError, defer.TimeoutError):
            self.core.store_failed(self._timer.seconds(), "leases")
            return
        live = {
            key.removeprefix(claims.LEASE_PREFIX): claims.decode_member(
                item.value
            )
            for key, item in found.items()
        }
        self.core.leases_read(self._timer.seconds(), sent, live)

    @defer.inlineCallbacks
    def _write_claim(self, action: actions.WriteClaim):
        try:
            version = yield self._bounded(
                self._store.put(
                    claims.owner_key(action.shard),
                    claims.encode(action.claim),
                    expected=action.expected,
                )
            )
        except errors.StoreConflictError:
            self.core.write_conflicted(self._timer.seconds(), action.shard)
        except (errors.CicadafrontError, defer.TimeoutError):
            self.core.write_failed(self._timer.seconds(), action.shard)
        else:
            self.run(
                self.core.claim_stored(
                    self._timer.seconds(), action.shard, action.claim, version
                )
            )

    @defer.inlineCallbacks
    def _probe(self, member: claims.Member):
        refused = yield self._prober(member.host, member.port)
        if refused:
            self.core.connection_refused(member)
            self.run(self.core.tick(self._timer.seconds()))

    @defer.inlineCallbacks
    def _request_confirmation(
        self,
        deputy: claims.Member,
        confirmation_requests: tuple[ConfirmationRequest, ...],
    ):
        sent = self._timer.seconds()
        body = calls.pack(
            [attrs.astuple(request) for request in confirmation_requests]
        )
        try:
            answer = yield calls.bounded(
                self._peers.call(
                    deputy.id, CONFIRM, body, CONFIRM_TIMEOUT_SECONDS
                ),
                self._timer,
                CONFIRM_TIMEOUT_SECONDS,
            )
        except (errors.CicadafrontError, defer.TimeoutError):
            return
        for request, promised in zip(
            confirmation_requests, calls.unpack(answer), strict=True
        ):
            if promised:
                self.core.shards[request.shard].confirm(sent, request)

    def _serve_confirm(self, _caller: str, body: bytes) -> bytes:
        now = self._timer.seconds()
        answers = []
        for shard, owner, deputy, epoch, version, outage in calls.unpack(body):
            request = ConfirmationRequest(
                shard, tuple(owner), tuple(deputy), epoch, version, outage
            )
            answers.append(self.core.confirmation_requested(now, request))
        return calls.pack(answers)

    def _serve_suspect(self, _caller: str, body: bytes) -> bytes:
        self.core.suspect(self._timer.seconds(), calls.unpack(body))
        return b"{}"

    def _acquired(self, event: actions.Acquired) -> None:
        _log(
            "acquired the shard",
            shard=event.shard,
            epoch=event.claim.epoch,
            kind=event.kind.value,
        )
        arrived = self._received_states.pop(event.shard, None)
        # State received for an earlier claim is stale.
        state = arrived if event.kind is Kind.HANDOVER else None
        for part in self.parts:
            part_state = state.get(part.name) if state is not None else None
            part.acquired(event, part_state)

    def _release(self, shard: int) -> None:
        if not self.core.release(self._timer.seconds(), shard):
            return
        _log("releasing the shard: no candidate can take it over", shard=shard)
        # Rejects waiting begin requests; `journaled` writes the claim.
        for part in self.parts:
            part.lost(shard)

    @defer.inlineCallbacks
    def _hand_over(self, shard: int, to: str):
        if shard in self._handing_over:
            return
        if not self.core.freeze(self._timer.seconds(), shard):
            return
        self._handing_over.add(shard)
        try:
            yield self._send_state(shard, to)
        except (errors.CicadafrontError, defer.TimeoutError):
            _log("handover failed", shard=shard, to=to)
            self.core.handover_failed(shard, to)
        finally:
            self._handing_over.discard(shard)
            # Scheduled, because calls that fail immediately would recurse.
            self._timer.callLater(0, self._continue_departures)

    def _continue_departures(self) -> None:
        self.run(self.core.departures(self._timer.seconds()))

    @defer.inlineCallbacks
    def _send_state(self, shard: int, to: str):
        state = self.core.shards[shard]
        assert state.claim is not None
        data = {part.name: part.export(shard) for part in self.parts}
        text = calls.pack(data).decode()
        chunks = [
            text[start : start + CHUNK_BYTES]
            for start in range(0, len(text), CHUNK_BYTES)
        ]
        for index, chunk in enumerate(chunks):
            body = {
                "shard": shard,
                "claim": claims.encode(state.claim).decode(),
                "version": state.version,
                "settled": state.settled,
                "index": index,
                "count": len(chunks),
                "piece": chunk,
            }
            answer = yield calls.bounded(
                self._peers.call(
                    to,
                    HANDOVER,
                    calls.pack(body),
                    HANDOVER_CALL_TIMEOUT_SECONDS,
                ),
                self._timer,
                HANDOVER_CALL_TIMEOUT_SECONDS,
            )
        reply = calls.unpack(answer)
        if reply["claim"] is None:
            self.core.handover_failed(shard, to)
        else:
            claim = claims.decode(reply["claim"].encode())
            self.run(
                self.core.claim_stored(
                    self._timer.seconds(), shard, claim, reply["version"]
                )
            )

    def _serve_handover(self, _caller: str, body: bytes):
        data = calls.unpack(body)
        shard, version = data["shard"], data["version"]
        chunks = self._chunks.setdefault((shard, version), {})
        chunks[data["index"]] = data["piece"]
        if len(chunks) < data["count"]:
            return calls.pack({"claim": None})
        del self._chunks[shard, version]
        text = "".join(chunks[index] for index in range(data["count"]))
        todo = self.core.handover_requested(
            self._timer.seconds(),
            shard,
            claims.decode(data["claim"].encode()),
            version,
            data["settled"],
        )
        if any(isinstance(each, actions.WriteClaim) for each in todo):
            self._received_states[shard] = calls.unpack(text.encode())
        self.run(todo)
        return self._await_claim(shard)

    @defer.inlineCallbacks
    def _await_claim(self, shard: int):
        end = self._timer.seconds() + HANDOVER_CALL_TIMEOUT_SECONDS
        state = self.core.shards[shard]
        while state.phase is Phase.CLAIMING and self._timer.seconds() < end:
            yield calls.pause(self._timer, 0.02)
        if state.phase is not Phase.HOLDING or state.claim is None:
            return calls.pack({"claim": None})
        return calls.pack(
            {
                "claim": claims.encode(state.claim).decode(),
                "version": state.version,
            }
        )
