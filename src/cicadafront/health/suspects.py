"""Tracks requests that may crash the targets that run them.

The error response for a request that crashed its target is delayed by
`CRASH_HOLD_SECONDS`, until the broadcast has reached every instance. A client
that waits for this response before it retries therefore reaches only
instances that know the request as a suspect. Agents repeat the decision of
the entry before they send a request to their target, because the entry may
not have received the broadcast yet.
"""

import collections
import hashlib
import struct
from collections.abc import Sequence

import attrs

# Exceeds the duration of a broadcast (200 ms).
CRASH_HOLD_SECONDS = 0.25
REFUSE_SECONDS = 600.0
# Lifetime of a suspect that is neither cleared nor crashes another target.
SUSPECT_SECONDS = 600.0
MAX_SUSPECTS = 4096
# Keeps one account from evicting the suspects of other accounts.
MAX_SUSPECTS_PER_ACCOUNT = 256
MAX_EVENTS_PER_SUSPECT = 4
# Maximum number of other requests in a crash event. With names of 200 bytes
# the event stays below the 1,000 bytes of a broadcast.
MAX_OTHERS = 16
MAX_NAME_BYTES = 200
FINGERPRINT_BYTES = 32

_CRASH = 1
_CLEARED = 2
_EVENT = struct.Struct("!B32sBBBB")


@attrs.frozen
class Crash:
    """A target crashed while it ran a request.

    Attributes:
        fingerprint: Digest of the request.
        account: Client account of the request.
        target: Target that crashed.
        alone: Whether the target ran no other request.
        others: Fingerprints of the other requests that the target ran.
    """

    fingerprint: bytes
    account: str
    target: str
    alone: bool
    others: tuple[bytes, ...] = ()


@attrs.frozen
class Cleared:
    """A suspect completed while no other request ran on its target."""

    fingerprint: bytes
    account: str


Event = Crash | Cleared


@attrs.frozen
class RunNormally:
    """The request is not a suspect."""


@attrs.frozen
class RunIsolated:
    """The request may run only on this target, with no other request."""

    target: str


@attrs.frozen
class Refuse:
    """The request is refused until a time, in seconds."""

    until: float


Decision = RunNormally | RunIsolated | Refuse


def encode(event: Event) -> bytes:
    """Encodes an event as a broadcast payload of at most 1,000 bytes.

    Raises:
        ValueError: A name is longer than `MAX_NAME_BYTES`.
    """
    match event:
        case Crash(fingerprint, account, target, alone, others):
            names = [account.encode(), target.encode()]
            kept = others[:MAX_OTHERS]
            kind = _CRASH
        case Cleared(fingerprint, account):
            names, kept = [account.encode(), b""], ()
            alone, kind = False, _CLEARED
    if max(map(len, names)) > MAX_NAME_BYTES:
        raise ValueError(f"account or target id exceeds {MAX_NAME_BYTES} bytes")
    head = _EVENT.pack(
        kind, fingerprint, len(names[0]), len(names[1]), alone, len(kept)
    )
    return head + b"".join(names) + b"".join(kept)


def decode(data: bytes) -> Event:
    """Decodes an event.

    Raises:
        ValueError: The payload is malformed.
    """
    if len(data) < _EVENT.size:
        raise ValueError(f"crash event of {len(data)} bytes is too short")
    kind, fingerprint, account, target, alone, count = _EVENT.unpack_from(data)
    names = data[_EVENT.size : _EVENT.size + account + target]
    rest = data[_EVENT.size + account + target :]
    if len(names) != account + target or len(rest) != count * 32:
        raise ValueError(f"crash event of {len(data)} bytes has a wrong length")
    name = names[:account].decode()
    if kind == _CLEARED:
        return Cleared(fingerprint, name)
    if kind != _CRASH:
        raise ValueError(f"crash event of unknown kind {kind}")
    others = tuple(rest[i : i + 32] for i in range(0, len(rest), 32))
    return Crash(
        fingerprint, name, names[account:].decode(), bool(alone), others
    )


def isolated_target(fingerprint: bytes, targets: Sequence[str]) -> str:
    """Returns the target for a suspect, chosen by rendezvous hashing."""
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
    """Suspects known to one instance, with bounded memory."""

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[tuple[str, bytes], _Suspect] = (
            collections.OrderedDict()
        )
        self._counts: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._suspects)

    def learn(self, now: float, event: Event) -> None:
        """Applies a local event or one received by broadcast."""
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
        # Events may be learned again, and late.
        suspect.expires = max(suspect.expires, now + SUSPECT_SECONDS)
        if self._should_refuse(list(suspect.crashes.values())):
            suspect.refused_until = max(
                suspect.refused_until, now + REFUSE_SECONDS
            )
            # Remains a suspect after the refusal ends, so that it runs alone.
            suspect.expires = suspect.refused_until + SUSPECT_SECONDS

    def _should_refuse(self, crashes: list[Crash]) -> bool:
        if len(crashes) < 2:
            return False
        if any(crash.alone for crash in crashes):
            return True
        # Another request that took part in every crash may be the cause as
        # well. Both then run alone, which identifies the cause at the cost of
        # one more crash.
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
        """Decides whether and where a request runs.

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
        return RunIsolated(isolated_target(fingerprint, targets))

    def _drop(self, key: tuple[str, bytes]) -> None:
        if self._suspects.pop(key, None) is not None:
            self._counts[key[0]] -= 1
            if not self._counts[key[0]]:
                del self._counts[key[0]]

    def _expire(self, now: float) -> None:
        ended = [key for key, s in self._suspects.items() if s.expires <= now]
        for key in ended:
            self._drop(key)
