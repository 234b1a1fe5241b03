"""Serves ejection permits for the services of the owned shards."""

from collections.abc import Callable
from typing import Any

import attrs
import eliot

from cicadafront import model, ports
from cicadafront.config import model as config_model
from cicadafront.health import permits
from cicadafront.limits import actions, calls, shards
from cicadafront.limits.service import OwnershipService

PERMIT = "health.permit"
RELEASE = "health.release"
RECALL = "health.recall"
TICK_SECONDS = 0.5
CALL_SECONDS = 0.5
# `acts` is checked for each call, so the ownership needs to be confirmed only
# for the duration of the call.
_MOMENT_SECONDS = 0.001
# A target that disappeared without leaving counts as announced for this time.
VANISHED_SECONDS = 600.0


@attrs.define
class _LastSeen:
    target: model.Target
    at: float


@attrs.define
class _Service:
    permits: permits.Permits
    seen: dict[str, _LastSeen] = attrs.field(factory=dict)


class PermitOwner:
    """Issues permits for services of owned shards; a part of each shard.

    Args:
        ownership: Shards that this instance owns.
        peers: Calls from and to agents.
        directory: Known targets.
        clock: Source of time in seconds; the same as that of `ownership`.
        configuration: Returns the active configuration.
        reachable: Returns whether this instance can reach another one.
    """

    name = "permits"

    def __init__(
        self,
        ownership: OwnershipService,
        peers: ports.PeerCalls,
        directory: ports.Directory,
        clock: Any,
        configuration: Callable[[], config_model.Configuration],
        reachable: Callable[[str], bool],
    ):
        self._ownership = ownership
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._configuration = configuration
        self._reachable = reachable
        self._acquired_at: dict[int, tuple[int, float]] = {}
        self._services: dict[str, _Service] = {}
        ownership.parts.append(self)
        peers.register(PERMIT, self._serve_permit)
        peers.register(RELEASE, self._serve_release)

    # Interface of a part of a shard.

    def acquired(self, event: actions.Acquired, state: Any) -> None:
        """Starts without permits; those of the former owner expire."""
        former_end = max(event.issue_from, self._clock.seconds())
        self._acquired_at[event.shard] = (event.claim.epoch, former_end)

    def lost(self, shard: int) -> None:
        """Discards the permits of the services of a shard."""
        self._acquired_at.pop(shard, None)
        for name in list(self._services):
            if shards.shard_of(name) == shard:
                del self._services[name]

    def export(self, shard: int) -> Any:
        """Returns nothing: the new owner waits until all permits expire."""
        return None

    def last_used(self) -> dict[int, float]:
        """Returns nothing: permits are not handed over."""
        return {}

    # Calls from agents.

    def _serve_permit(self, caller: str, body: bytes) -> bytes:
        asked = calls.unpack(body)
        name = asked["service"]
        shard = shards.shard_of(name)
        if self._ownership.acts(shard) is None:
            return self._ownership.redirect(shard)
        now = self._clock.seconds()
        service = self._service(now, name, shard)
        answer = service.permits.request(
            now,
            asked["target"],
            asked["slots"],
            asked["serial"],
            asked["running"],
        )
        match answer:
            case permits.Denied(reason):
                _log(f"permit for {asked['target']} denied: {reason}")
                return calls.pack({"denied": reason})
            case permits.Granted(until, epoch):
                _log(f"permit for {asked['target']} granted")
                return calls.pack({"until": until, "epoch": epoch})

    def _serve_release(self, caller: str, body: bytes) -> bytes:
        asked = calls.unpack(body)
        shard = shards.shard_of(asked["service"])
        if self._ownership.acts(shard) is None:
            return self._ownership.redirect(shard)
        now = self._clock.seconds()
        service = self._service(now, asked["service"], shard)
        service.permits.release(now, asked["target"], asked["serial"])
        return calls.pack({})

    def tick(self) -> None:
        """Recalls permits of services whose capacity is below the floor."""
        now = self._clock.seconds()
        for name in list(self._services):
            shard = shards.shard_of(name)
            if self._ownership.acts(shard) is None:
                continue
            service = self._service(now, name, shard)
            for target in service.permits.recalls(now):
                self._recall(service, target)

    def _recall(self, service: _Service, target: str) -> None:
        seen = service.seen.get(target)
        if seen is None:
            return
        body = calls.pack({"target": target})
        sent = self._peers.call(
            seen.target.instance, RECALL, body, CALL_SECONDS
        )
        sent.addErrback(calls.ignore)

    def _service(self, now: float, name: str, shard: int) -> _Service:
        floor = config_model.Service(name).floor
        configured = self._configuration().services.get(name)
        if configured is not None:
            floor = configured.floor
        epoch, former_end = self._acquired_at[shard]
        found = self._services.get(name)
        if found is None or found.permits.epoch != epoch:
            found = _Service(permits.Permits(floor, epoch, former_end))
            self._services[name] = found
        found.permits.floor = floor
        found.permits.update(now, self._targets(now, name, found), self._usable)
        found.permits.confirm(now + _MOMENT_SECONDS)
        return found

    def _usable(self, instance: str) -> bool:
        return self._reachable(instance)

    def _targets(
        self, now: float, name: str, service: _Service
    ) -> list[model.Target]:
        """Returns the known targets and those that disappeared recently."""
        present = self._directory.targets(name)
        for target in present:
            service.seen[target.id] = _LastSeen(target, now)
        ids = {target.id for target in present}
        for id, seen in list(service.seen.items()):
            left = seen.target.state is model.TargetState.LEAVING
            old = now - seen.at > VANISHED_SECONDS
            if id not in ids and (left or old):
                del service.seen[id]
        vanished = [
            attrs.evolve(seen.target, state=model.TargetState.STARTING)
            for id, seen in service.seen.items()
            if id not in ids
        ]
        return [*present, *vanished]


def _log(text: str) -> None:
    eliot.log_message(message_type="health:permit", message=f"health: {text}")
