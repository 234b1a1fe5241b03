"""Which data centres are evacuated, as a value that instances merge.

The logic does no I/O. A value is what the store contained at a revision of an
era of the store. The era rises when the store is restored from an older copy;
revisions of different eras are not comparable. `merge` is commutative and
idempotent, so that lost, late and duplicated messages do no harm.
"""

import json
from collections.abc import Iterable, Mapping

import attrs

from cicadafront import errors, ports

# Time for which evacuations of an earlier era stay in force although the
# restored store does not contain them. The operators write or delete their keys
# again within it.
KEEP_SECONDS = 30.0
# Bits of `Evacuations.token` that hold the revision. At the 1,200 writes a
# second that the store supports they suffice for 7,000 years.
_REVISION_BITS = 48
_MAX_ERA = (1 << 16) - 1
_MAX_REVISION = (1 << _REVISION_BITS) - 1


class MalformedEvacuationsError(errors.CicadafrontError):
    """A peer sent evacuations that cannot be decoded."""

    code = "evacuations_malformed"


@attrs.frozen
class Evacuations:
    """The evacuated data centres, as of a revision of the store.

    Attributes:
        era: Era of the store.
        changed: Revision that identifies the content; peers compare it.
        seen: Revision at which the store was seen to contain `data_centres`.
        data_centres: Data centres whose evacuation the store contained.
        kept: Data centres that were evacuated in an earlier era, which the
            store no longer contains.
        settled: Data centres whose keys were written or deleted in this era;
            the store decides on them.
        keep_until: Time in seconds until which `kept` is in force, once the
            store was read in this era; None if it is not known when the era
            began.
    """

    era: int = 0
    changed: int = 0
    seen: int = 0
    data_centres: frozenset[str] = frozenset()
    kept: frozenset[str] = frozenset()
    settled: frozenset[str] = frozenset()
    keep_until: float | None = None

    @property
    def token(self) -> int:
        """Number that identifies the content; it only rises."""
        era = min(self.era, _MAX_ERA)
        return era << _REVISION_BITS | min(self.changed, _MAX_REVISION)

    def in_force(self, now: float) -> frozenset[str]:
        """Returns the data centres that are evacuated at a time."""
        if self.keep_until is None:
            return self.data_centres
        if self.seen and now >= self.keep_until:
            return self.data_centres
        return self.data_centres | self.kept


@attrs.frozen
class StoreView:
    """The keys of the evacuations as this instance read them from the store.

    Attributes:
        era: Era of the store.
        revision: Revision up to which the changes are known.
        data_centres: Data centres whose keys exist.
        settled: Data centres whose keys were seen or deleted in this era.
        changed: Highest revision of a known change.
    """

    era: int
    revision: int
    data_centres: frozenset[str]
    settled: frozenset[str]
    changed: int

    def apply(self, prefix: str, changes: ports.PrefixChanges) -> "StoreView":
        """Returns the view after the changes that a watch delivered."""
        data_centres, settled, changed = (
            set(self.data_centres),
            set(self.settled),
            0,
        )
        for event in sorted(changes.events, key=lambda each: each.revision):
            data_centre = event.key.removeprefix(prefix)
            if not event.key.startswith(prefix) or not data_centre:
                continue
            data_centres.discard(data_centre)
            if not event.deleted:
                data_centres.add(data_centre)
            settled.add(data_centre)
            changed = max(changed, event.revision)
        return StoreView(
            self.era,
            max(self.revision, changes.revision, changed),
            frozenset(data_centres),
            frozenset(settled),
            max(self.changed, changed),
        )

    def value(self) -> Evacuations:
        """Returns the value to merge."""
        return Evacuations(
            self.era,
            self.changed,
            self.revision,
            self.data_centres,
            settled=self.settled,
        )


def view(
    era: int, prefix: str, items: Mapping[str, int], revision: int
) -> StoreView:
    """Returns the view after all keys were read.

    Args:
        era: Era of the store.
        prefix: Prefix of the keys.
        items: Revision of each key below the prefix.
        revision: Revision of the store.
    """
    data_centres = {key.removeprefix(prefix) for key in items}
    present = frozenset(
        data_centre for data_centre in data_centres if data_centre
    )
    changed = max(items.values(), default=0)
    return StoreView(era, max(revision, changed), present, present, changed)


def enter_era(held: Evacuations, era: int, now: float) -> Evacuations:
    """Returns the value at the start of a later era of the store.

    What was in force stays in force until the store was seen to contain or
    delete it, for at most `KEEP_SECONDS`.
    """
    if era <= held.era:
        return held
    return Evacuations(
        era, kept=held.in_force(now), keep_until=now + KEEP_SECONDS
    )


def merge(one: Evacuations, other: Evacuations, now: float) -> Evacuations:
    """Returns the newer content of two values.

    The value of an earlier era adds only what it had in force and the later
    one does not know to be settled.
    """
    if one.era != other.era:
        older, newer = sorted((one, other), key=lambda each: each.era)
        return _merge_era(enter_era(older, newer.era, now), newer, now)
    return _merge_era(one, other, now)


def _merge_era(one: Evacuations, other: Evacuations, now: float) -> Evacuations:
    older, newer = sorted((one, other), key=lambda each: each.seen)
    data_centres = newer.data_centres
    if older.seen == newer.seen:
        data_centres |= older.data_centres
    settled = one.settled | other.settled
    keep_until = _keep_until(one, other)
    kept = frozenset[str]()
    unread = not newer.seen
    if keep_until is not None and (unread or now < keep_until):
        kept = (one.kept | other.kept) - settled - data_centres
    merged = Evacuations(
        newer.era,
        max(one.changed, other.changed),
        newer.seen,
        data_centres,
        kept,
        settled,
        keep_until,
    )
    return attrs.evolve(merged, changed=_changed(merged, older, newer, now))


def _keep_until(one: Evacuations, other: Evacuations) -> float | None:
    """Returns the earlier end of the two periods.

    A period that has ended counts too, so that an instance that learns of the
    era late does not start another one.
    """
    ends = (one.keep_until, other.keep_until)
    return min((end for end in ends if end is not None), default=None)


def _changed(
    merged: Evacuations, older: Evacuations, newer: Evacuations, now: float
) -> int:
    """Returns a revision above that of every value with other content.

    A peer fetches the value only if its own token is lower. After a read of all
    keys the newer value may have the lower revision, because the deletion of a
    key leaves no trace in the store.
    """
    content = merged.in_force(now)
    highest = max(older.changed, newer.changed)
    if content == older.in_force(now) == newer.in_force(now):
        return highest
    if content == newer.in_force(now):
        if older.changed < newer.changed:
            return newer.changed
        return max(newer.seen, highest + 1)
    if content == older.in_force(now) and newer.changed < older.changed:
        return older.changed
    return highest + 1


def changes(
    before: Evacuations | None, after: Evacuations, now: float
) -> tuple[frozenset[str], frozenset[str]]:
    """Returns the data centres that became and that are no longer evacuated."""
    old = before.in_force(now) if before is not None else frozenset()
    new = after.in_force(now)
    return new - old, old - new


def encode(held: Evacuations, now: float, sender: str = "") -> bytes:
    """Encodes a value for a peer.

    Clocks differ, so `keep_until` is sent as the milliseconds that are left.
    """
    document: dict[str, object] = {
        "era": held.era,
        "changed": held.changed,
        "seen": held.seen,
        "data_centres": sorted(held.data_centres),
    }
    if held.keep_until is not None:
        document["kept"] = sorted(held.kept)
        document["settled"] = sorted(held.settled)
        left = max(0.0, held.keep_until - now)
        document["keep_ms"] = round(left * 1000)
    if sender:
        document["sender"] = sender
    return json.dumps(document, separators=(",", ":")).encode()


def decode(data: bytes, now: float) -> tuple[Evacuations, str]:
    """Decodes a value from a peer; returns it and its sender.

    Raises:
        MalformedEvacuationsError: The data is malformed.
    """
    try:
        document = json.loads(data)
        left = min(KEEP_SECONDS, _number(document, "keep_ms") / 1000)
        found = Evacuations(
            _number(document, "era"),
            _number(document, "changed"),
            _number(document, "seen"),
            _names(document["data_centres"]),
            _names(document.get("kept", ())),
            _names(document.get("settled", ())),
            now + left if "keep_ms" in document else None,
        )
        return found, str(document.get("sender", ""))
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        RecursionError,
    ) as error:
        raise MalformedEvacuationsError(
            "The peer sent malformed evacuations; check that all instances run "
            "compatible versions."
        ) from error


def _number(document: dict[str, object], key: str) -> int:
    value = document.get(key, 0)
    if not isinstance(value, int) or not 0 <= value <= _MAX_REVISION:
        raise ValueError(f"{key} is not a revision")
    return value


def _names(values: Iterable[object]) -> frozenset[str]:
    names = frozenset(values)
    if not all(isinstance(name, str) and name for name in names):
        raise ValueError("a data centre has no name")
    return frozenset(str(name) for name in names)
