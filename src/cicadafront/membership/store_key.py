"""A key of the store that only the processes of one instance write."""

from collections.abc import Callable

from cicadafront import errors, ports


class StoreKey:
    """Writes a key on condition that it has the version that was last known.

    A write that gets no answer may be done seconds later. As its condition does
    not hold any more then, it cannot replace a later write.

    Args:
        store: The store.
        key: The key.
        on_read: Called with what a read found before the key is written again.

    Attributes:
        key: The key.
        version: Last known version; 0 if the key does not exist, None if it
            is not known.
    """

    def __init__(
        self,
        store: ports.Store,
        key: str,
        on_read: Callable[[ports.Versioned | None], None] = lambda found: None,
    ):
        self.key = key
        self.version: int | None = None
        # Whether the next read only tells the version, see `forget`.
        self._knows_value = False
        self._store = store
        self._on_read = on_read

    def found(self, value: ports.Versioned | None) -> None:
        """Takes over what a read of the store has found."""
        self._knows_value = False
        self.version = value.version if value is not None else 0
        self._on_read(value)

    def forget(self) -> None:
        """Forgets the version, since the store has reverted to a copy.

        If the value was known, the copy holds nothing new: it may only show
        what this process has removed since, so that `on_read` is not called.
        """
        self._knows_value |= self.version is not None
        self.version = None

    async def _read(self) -> None:
        value = await self._store.get(self.key)
        if self._knows_value:
            self.version = value.version if value is not None else 0
        else:
            self.found(value)

    async def write(
        self, make_value: Callable[[], bytes], lease: str = ""
    ) -> None:
        """Writes the key; reads it first if its version is not known.

        Args:
            make_value: Returns the value. Called again after a conflict, since
                the read then may change the value.
            lease: Lease that the key is attached to; empty for none.

        Raises:
            StoreConflictError: The key was changed again, or the lease has
                ended.
            StoreUnavailableError: The store did not answer, or refused.
        """
        if self.version is None:
            await self._read()
        try:
            await self._put(make_value, lease)
        except errors.StoreConflictError:
            # An earlier write without an answer was done after all, or the
            # store reverted to a copy.
            if self.version is not None:
                self._knows_value = False
            await self._read()
            await self._put(make_value, lease)

    async def _put(self, make_value: Callable[[], bytes], lease: str) -> None:
        self.version = await self._store.put(
            self.key, make_value(), expected=self.version, lease=lease
        )

    async def delete(self) -> None:
        """Deletes the key if it has the version that was last known.

        Raises:
            StoreConflictError: The key was changed.
            StoreUnavailableError: The store did not answer, or refused.
        """
        if self.version is None:
            await self._read()
        if not self.version:
            return
        try:
            await self._store.delete(self.key, expected=self.version)
        except errors.StoreConflictError:
            # Another version is unknown, unless the store has reverted.
            if self.version is not None:
                self.version, self._knows_value = None, False
            raise
        self.version = 0
