"""Changes that operators make to the claim of a shard."""

from collections.abc import Iterable

import attrs
from twisted.internet import defer

from cicadafront import errors, ports
from cicadafront.limits import calls, claims, shards
from cicadafront.limits.service import OwnershipService

STORE_TIMEOUT_SECONDS = 1.0
CHANGED_TIMEOUT_SECONDS = 1.0
CHANGED = "owner.changed"


class ReleaseRefusedError(errors.CicadafrontError):
    """Raised if the claim of a shard may not or cannot be changed now."""

    code = "shard_release_refused"


@attrs.define(eq=False)
class ShardReleases:
    """Releases shards whose processes have ended and clears unclean claims."""

    _ownership: OwnershipService
    _store: ports.Store
    _peers: ports.PeerCalls
    _directory: ports.Directory
    _timer: calls.Timer

    def __attrs_post_init__(self) -> None:
        self._peers.register(CHANGED, self._serve_changed)

    def release(self, shard: int) -> "defer.Deferred[dict[str, object]]":
        """Records that the owner and the deputy of a shard have ended.

        The result fails with `ReleaseRefusedError` while either is alive.
        """
        return self._guarded(self._release(shard))

    def clear(self, shard: int) -> "defer.Deferred[dict[str, object]]":
        """Allows new idempotency keys in a shard after an unclean claim.

        The result fails with `ReleaseRefusedError` if the claim cannot be
        changed.
        """
        return self._guarded(self._change(shard, unclean_at=0.0))

    def _guarded(self, changing):
        return changing.addErrback(self._translate_error)

    def _translate_error(self, reason) -> None:
        if reason.check(errors.StoreConflictError):
            raise ReleaseRefusedError(
                "the claim has just been changed by another instance;"
                " check the shard, then repeat the command"
            )
        if reason.check(ReleaseRefusedError):
            reason.raiseException()
        reason.trap(errors.CicadafrontError, defer.TimeoutError)
        raise ReleaseRefusedError(
            "the store does not answer; repeat the command once it does"
        )

    @defer.inlineCallbacks
    def _release(self, shard: int):
        claim, version = yield self._read(shard)
        leased = yield self._bounded(self._store.list(claims.LEASE_PREFIX))
        alive = {
            claims.decode_member(item.value).process for item in leased.values()
        } | set(self._live_processes())
        pair = [("owner", claim.owner)]
        if claim.deputy is not None:
            pair.append(("deputy", claim.deputy))
        for role, member in pair:
            if member.process in alive:
                raise ReleaseRefusedError(
                    f"the {role} of shard {shard}, instance {member.id}, is"
                    " alive; stop its process, wait 10 s and repeat the"
                    " command"
                )
        result = yield self._write(
            shard, attrs.evolve(claim, released=True), version
        )
        return result

    @defer.inlineCallbacks
    def _change(self, shard: int, **fields: object):
        claim, version = yield self._read(shard)
        changed = attrs.evolve(claim, **fields)
        result = yield self._write(shard, changed, version)
        return result

    def _live_processes(self) -> Iterable[tuple[str, int]]:
        yield self._ownership.core.me.process
        for info in self._directory.instances():
            # A leaving instance may still act as owner.
            if info.alive:
                yield info.id, info.incarnation

    def _bounded(self, deferred):
        return calls.bounded(deferred, self._timer, STORE_TIMEOUT_SECONDS)

    @defer.inlineCallbacks
    def _read(self, shard: int):
        if not 0 <= shard < shards.SHARDS:
            raise ReleaseRefusedError(
                f"shard {shard} does not exist; name one from 0 to"
                f" {shards.SHARDS - 1}"
            )
        item = yield self._bounded(self._store.get(claims.owner_key(shard)))
        if item is None:
            raise ReleaseRefusedError(
                f"shard {shard} has never had an owner; start an instance"
                " that claims it"
            )
        return claims.decode(item.value), item.version

    @defer.inlineCallbacks
    def _write(self, shard: int, claim: claims.Claim, expected: int):
        version = yield self._bounded(
            self._store.put(
                claims.owner_key(shard), claims.encode(claim), expected=expected
            )
        )
        core = self._ownership.core
        now = self._timer.seconds()
        self._ownership.run(core.claim_stored(now, shard, claim, version))
        self._notify_peers()
        return {"epoch": claim.epoch, "owner": claim.owner.id}

    def _notify_peers(self) -> None:
        # Without this call, peers read the claims only once a minute.
        for info in self._directory.instances():
            if info.alive and info.id != self._ownership.core.me.id:
                self._peers.call(
                    info.id, CHANGED, b"{}", CHANGED_TIMEOUT_SECONDS
                ).addErrback(calls.ignore)

    def _serve_changed(self, _caller: str, _body: bytes) -> bytes:
        self._ownership.core.schedule.due_by("read", self._timer.seconds())
        return b"{}"
