"""Differences between two configurations."""

from typing import Any

import attrs

from cicadafront.config import model

SECTIONS = ("accounts", "keys", "services", "routes")


@attrs.frozen
class Change:
    """One value that differs.

    Attributes:
        section: Section of the entry.
        entry: Id of the entry.
        key: Key inside the entry.
        before: Old value, or None if the entry is new.
        after: New value, or None if the entry was removed.
    """

    section: str
    entry: str
    key: str
    before: Any
    after: Any


def changes(old: model.Configuration, new: model.Configuration) -> list[Change]:
    """Returns the values that differ, ordered by section, entry and key."""
    found = []
    for section in SECTIONS:
        before, after = getattr(old, section), getattr(new, section)
        for id in sorted(before.keys() | after.keys()):
            if before.get(id) != after.get(id):
                found += _entry_changes(
                    section, id, before.get(id), after.get(id)
                )
    return found


def _entry_changes(
    section: str, id: str, before: Any, after: Any
) -> list[Change]:
    old, new = _values(before), _values(after)
    return [
        Change(section, id, key, old.get(key), new.get(key))
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    ]


def _values(item: Any) -> dict[str, Any]:
    if item is None:
        return {}
    values = attrs.asdict(item, recurse=False)
    values.pop("id", None)
    values.pop("name", None)
    # Optional lists that are absent are no change.
    values = {key: value for key, value in values.items() if value != ()}
    for key, value in values.items():
        if isinstance(value, bytes):
            values[key] = value.hex()
        elif isinstance(value, frozenset):
            values[key] = sorted(value)
    return values
