"""Requests that may crash the targets that run them.

A caller learns that its request crashed a target only after
`CRASH_HOLD_SECONDS`, the time in which the broadcast reaches every instance.
A caller that waits for the failure before it sends the request again
therefore meets only instances that know the request. Agents decide again
before a request reaches their target, because an entry may know less.
"""

import collections
import hashlib
import struct
from collections.abc import Sequence

import attrs

# Longer than the broadcast takes (200 ms).
CRASH_HOLD_SECONDS = 0.25
REFUSE_SECONDS = 600.0
# A suspect that is neither cleared nor sent again is forgotten.
SUSPECT_SECONDS = 600.0
MAX_SUSPECTS = 4096
# An account cannot displace the suspects of others.
MAX_SUSPECTS_PER_ACCOUNT = 256
MAX_EVENTS_PER_SUSPECT = 4
# Upper bound of slots whose requests share a crash event; with names of 200
# bytes the event stays below the 1,000 bytes of a broadcast.
MAX_OTHERS = 16
MAX_NAME_BYTES = 200
FINGERPRINT_BYTES = 32

_CRASH = 1
_CLEARED = 2
_EVENT = struct.Struct("!B32sBBBB")


@attrs.frozen
class Crash:
    """A target died while it ran a request.

    Attributes:
        fingerprint: Digest of the request.
        account: Client account of the request.
        target: Target that died.
        alone: Whether no other request ran on it.
        others: Fingerprints of the other requests on it.
    """

    fingerprint: bytes
    account: str
    target: str
    alone: bool
    others: tuple[bytes, ...] = ()


@attrs.frozen
class Cleared:
    """A suspect completed while it ran alone."""

    fingerprint: bytes
    account: str


Event = Crash | Cleared


@attrs.frozen
class RunNormally:
    """The request is no suspect."""


@attrs.frozen
class RunAlone:
    """The request may run with no other one on this target."""

    target: str


@attrs.frozen
class Refuse:
    """The request is refused until a time, in seconds."""

    until: float


Decision = RunNormally | RunAlone | Refuse


def encode(event: Event) -> bytes:
    """Returns the payload of the broadcast, at most 1,000 bytes."""
    match event:
        case Crash(fingerprint, account, target, alone, others):
            names = [account.encode(), target.encode()]
            kept = others[:MAX_OTHERS]
            kind = _CRASH
        case Cleared(fingerprint, account):
            names, kept = [account.encode(), b""], ()
            alone, kind = False, _CLEARED
    if max(map(len, names)) > MAX_NAME_BYTES:
        raise ValueError(f"a name exceeds {MAX_NAME_BYTES} bytes")
    head = _EVENT.pack(
        kind, fingerprint, len(names[0]), len(names[1]), alone, len(kept)
    )
    return head + b"".join(names) + b"".join(kept)


def decode(data: bytes) -> Event:
    """Returns the event; fails with `ValueError` on any other bytes."""
    if len(data) < _EVENT.size:
        raise ValueError(f"crash event of {len(data)} bytes is too short")
    kind, fingerprint, account, target, alone, count = _EVENT.unpack_from(data)
    names = data[_EVENT.size : _EVENT.size + account + target]
    rest = data[_EVENT.size + account + target :]
    if len(names) != account + target or len(rest) != count * 32:
        raise ValueError(f"crash event of {len(data)} bytes is cut short")
    name = names[:account].decode()
    if kind == _CLEARED:
        return Cleared(fingerprint, name)
    if kind != _CRASH:
        raise ValueError(f"crash event of unknown kind {kind}")
    others = tuple(rest[i : i + 32] for i in range(0, len(rest), 32))
    return Crash(
        fingerprint, name, names[account:].decode(), bool(alone), others
    )


def lone_target(fingerprint: bytes, targets: Sequence[str]) -> str:
    """Returns the target on which a suspect runs, by rendezvous hash."""
    return max(
        targets,
        key=lambda target: hashlib.blake2b(
            target.encode(), key=fingerprint, digest_size=8
        ).digest(),
    )


@attrs.define
class _Suspect:
    expires: float
    crashes: dict[str, Crash] = attrs.field(factory=dict)
    refused_until: float = 0.0


class Suspects:
    """Suspects that one instance knows of."""

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[tuple[str, bytes], _Suspect] = (
            collections.OrderedDict()
        )
        self._counts: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._suspects)

    def learn(self, now: float, event: Event) -> None:
        """Takes an event of this instance or from a broadcast."""
        match event:
            case Cleared(fingerprint, account):
                self._drop((account, fingerprint))
            case Crash():
                self._crashed(now, event)

    def _crashed(self, now: float, crash: Crash) -> None:
        key = (crash.account, crash.fingerprint)
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = self._add(now, key)
        if len(suspect.crashes) < MAX_EVENTS_PER_SUSPECT:
            suspect.crashes[crash.target] = crash
        suspect.expires = now + SUSPECT_SECONDS
        if self._should_refuse(list(suspect.crashes.values())):
            suspect.refused_until = now + REFUSE_SECONDS
            # Suspicion outlives the refusal: the request then runs alone.
            suspect.expires = now + REFUSE_SECONDS + SUSPECT_SECONDS

    def _should_refuse(self, crashes: list[Crash]) -> bool:
        if len(crashes) < 2:
            return False
        if any(crash.alone for crash in crashes):
            return True
        # A companion in every crash explains them as well; both then run
        # alone, which tells them apart at the price of one target.
        common = set(crashes[0].others)
        for crash in crashes[1:]:
            common &= set(crash.others)
        return not common

    def _add(self, now: float, key: tuple[str, bytes]) -> _Suspect:
        self._expire(now)
        account = key[0]
        if self._counts[account] >= MAX_SUSPECTS_PER_ACCOUNT:
            self._drop(next(k for k in self._suspects if k[0] == account))
        elif len(self._suspects) >= MAX_SUSPECTS:
            most = self._counts.most_common(1)[0][0]
            self._drop(next(k for k in self._suspects if k[0] == most))
        suspect = self._suspects[key] = _Suspect(now + SUSPECT_SECONDS)
        self._counts[account] += 1
        return suspect

    def decide(
        self,
        now: float,
        account: str,
        fingerprint: bytes,
        targets: Sequence[str],
    ) -> Decision:
        """Decides how a request runs.

        Args:
            now: Time in seconds.
            account: Client account of the request.
            fingerprint: Digest of the request.
            targets: Serving targets of the service.
        """
        suspect = self._suspects.get((account, fingerprint))
        if suspect is None or now >= suspect.expires:
            return RunNormally()
        if now < suspect.refused_until:
            return Refuse(suspect.refused_until)
        if not targets:
            return Refuse(now + 1.0)
        return RunAlone(lone_target(fingerprint, targets))

    def _drop(self, key: tuple[str, bytes]) -> None:
        if self._suspects.pop(key, None) is not None:
            self._counts[key[0]] -= 1
            if not self._counts[key[0]]:
                del self._counts[key[0]]

    def _expire(self, now: float) -> None:
        ended = [key for key, s in self._suspects.items() if s.expires <= now]
        for key in ended:
            self._drop(key)
