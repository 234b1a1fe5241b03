"""Tracks the era of the store, which rises when it reverts to an older copy.

The store then reuses revisions and lease ids. A condition on a revision of an
older era could therefore succeed by chance, and a lease of an older era may
belong to another instance. The logic does no I/O.
"""

from collections.abc import Iterable, Mapping

from cicadafront import errors, ports

HEADER = b"store-era"
# Digits of the largest accepted era. It keeps a malformed header from costing
# processor time in the conversion.
_MAX_DIGITS = 18


def parse(value: bytes) -> int | None:
    """Returns the era in a header field, or None if it is no era."""
    if not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    return int(value)


class Era:
    """The era of the store and what has been read from it since its rise.

    Nothing is recorded before the first rise, so that a store that sends no
    eras is used without any check.

    Attributes:
        current: Highest era seen; 0 before the first.
        rises: Number of rises that this process has seen.
    """

    def __init__(self) -> None:
        self.current = 0
        self.rises = 0
        self._known = False
        # Whether data was received while the era was not known.
        self._read_before = False
        # Versions by key, prefixes and leases, each read, listed or granted in
        # the current era. An absent key has version 0.
        self._versions: dict[str, int] = {}
        self._prefixes: set[str] = set()
        self._leases: set[str] = set()

    def observe(self, era: int | None, has_data: bool) -> bool:
        """Takes over the era of a response.

        Args:
            era: Era in the response, None without one.
            has_data: Whether the response tells the state of the store.

        Returns:
            Whether the store has reverted.
        """
        if era is None:
            self._read_before |= has_data and not self._known
            return False
        rises = era > self.current if self._known else self._read_before
        self._known = True
        self.current = max(self.current, era)
        if rises:
            self.rises += 1
            self._versions.clear()
            self._prefixes.clear()
            self._leases.clear()
        return rises

    def is_outdated(self, era: int | None) -> bool:
        """Returns whether a response is of an older era."""
        return era is not None and era < self.current

    def read(self, key: str, version: int) -> None:
        """Records the version of a key that was read or written."""
        if self.rises:
            self._versions[key] = version

    def listed(self, prefix: str, items: Mapping[str, ports.Versioned]) -> None:
        """Records the versions of all keys with a prefix."""
        if not self.rises:
            return
        self._prefixes.add(prefix)
        for key in [key for key in self._versions if key.startswith(prefix)]:
            del self._versions[key]
        for key, item in items.items():
            self._versions[key] = item.version

    def granted(self, lease: str) -> None:
        """Records a lease that was granted."""
        if self.rises:
            self._leases.add(lease)

    def check_write(
        self, key: str, expected: int | None, lease: str = ""
    ) -> None:
        """Checks the condition and the lease of a write.

        Raises:
            StoreConflictError: The expected version, or the lease, is not of
                the current era.
        """
        if not self.rises:
            return
        if expected is not None and self._version(key) != expected:
            raise errors.StoreConflictError(
                f"The version of {key} was read before the store reverted to "
                "an older copy; read it again."
            )
        self.check_lease(lease)

    def check_lease(self, lease: str) -> None:
        """Checks that a lease was granted in the current era.

        Raises:
            StoreConflictError: It was granted in an older one.
        """
        if self.rises and lease and lease not in self._leases:
            raise errors.StoreConflictError(
                "The lease was granted before the store reverted to an older "
                "copy; create a new one."
            )

    def _version(self, key: str) -> int | None:
        found = self._versions.get(key)
        if found is None and _has_prefix(key, self._prefixes):
            return 0
        return found


def _has_prefix(key: str, prefixes: Iterable[str]) -> bool:
    return any(key.startswith(prefix) for prefix in prefixes)
