"""The active configuration of an instance."""

from collections.abc import Callable

import eliot
from twisted.python import failure

from cicadafront.config import model, parts


class CurrentConfiguration:
    """Holds the active configuration; its revision never decreases.

    Attributes:
        configuration: The active configuration; revision 0 before the first
            one.
        manifest: Its manifest, or None before the first one.
    """

    def __init__(self) -> None:
        self.configuration = model.Configuration()
        self.manifest: parts.Manifest | None = None
        self._handlers: list[Callable[[model.Configuration], None]] = []
        # Handlers that have not accepted the active configuration yet.
        self._pending: list[Callable[[model.Configuration], None]] = []

    @property
    def revision(self) -> int:
        """Active revision, 0 before the first one."""
        return self.configuration.revision

    @property
    def digest(self) -> str:
        """Digest of the active manifest, empty before the first one."""
        return self.manifest.digest if self.manifest else ""

    def on_change(self, handler: Callable[[model.Configuration], None]) -> None:
        """Registers a handler that is called with each new configuration."""
        self._handlers.append(handler)

    def is_newer(self, revision: int) -> bool:
        """Returns whether a revision is newer than the active one."""
        return revision > self.revision

    def offer(self, manifest: parts.Manifest, cache: parts.PartCache) -> bool:
        """Activates a revision if it is newer; returns whether it was.

        Raises:
            PartDamagedError: A part is missing; the active revision stays.
        """
        if not self.is_newer(manifest.revision):
            return False
        configuration = cache.build(manifest)
        self.manifest = manifest
        return self.replace(configuration)

    def replace(self, configuration: model.Configuration) -> bool:
        """Activates a configuration if it is newer; returns whether it was."""
        if not self.is_newer(configuration.revision):
            return False
        self.configuration = configuration
        self._pending = list(self._handlers)
        self.call_pending_handlers()
        return True

    @property
    def pending_handlers(self) -> int:
        """Number of handlers that have not accepted the active revision."""
        return len(self._pending)

    def call_pending_handlers(self) -> None:
        """Calls the handlers that have not accepted the active revision."""
        pending, self._pending = self._pending, []
        for handler in pending:
            try:
                handler(self.configuration)
            except Exception:
                # The other handlers must still receive the new revision.
                self._pending.append(handler)
                eliot.log_message(
                    message_type="config:handler_failed",
                    message="config: a handler failed to apply a new revision; "
                    "it will be called again",
                    revision=self.revision,
                    reason=failure.Failure().getTraceback(),
                )
