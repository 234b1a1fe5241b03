"""The configuration in force at an instance."""

from collections.abc import Callable

import eliot
from twisted.python import failure

from cicadafront.config import model, parts


class CurrentConfiguration:
    """Holds the newest configuration; its revision never goes back.

    Attributes:
        configuration: The configuration in force; revision 0 before the
            first one.
        manifest: Its manifest, or None before the first one.
    """

    def __init__(self) -> None:
        self.configuration = model.Configuration()
        self.manifest: parts.Manifest | None = None
        self._handlers: list[Callable[[model.Configuration], None]] = []
        # Handlers that have not taken the configuration in force.
        self._pending: list[Callable[[model.Configuration], None]] = []

    @property
    def revision(self) -> int:
        """Revision in force, 0 before the first one."""
        return self.configuration.revision

    @property
    def digest(self) -> str:
        """Digest of the manifest in force, empty before the first one."""
        return self.manifest.digest if self.manifest else ""

    def on_change(self, handler: Callable[[model.Configuration], None]) -> None:
        """Calls the handler with each new configuration."""
        self._handlers.append(handler)

    def is_newer(self, revision: int) -> bool:
        """Tells whether a revision would replace the one in force."""
        return revision > self.revision

    def offer(self, manifest: parts.Manifest, cache: parts.PartCache) -> bool:
        """Puts a revision in force if it is newer; returns whether it was.

        Raises:
            PartDamagedError: A part is missing; nothing changes.
        """
        if not self.is_newer(manifest.revision):
            return False
        configuration = cache.build(manifest)
        self.manifest = manifest
        return self.replace(configuration)

    def replace(self, configuration: model.Configuration) -> bool:
        """Puts a configuration in force if it is newer."""
        if not self.is_newer(configuration.revision):
            return False
        self.configuration = configuration
        self._pending = list(self._handlers)
        self.call_pending_handlers()
        return True

    @property
    def pending_handlers(self) -> int:
        """Number of parts that still run an older revision."""
        return len(self._pending)

    def call_pending_handlers(self) -> None:
        """Calls the handlers that have not taken the revision in force."""
        pending, self._pending = self._pending, []
        for handler in pending:
            try:
                handler(self.configuration)
            except Exception:
                # The other parts must not keep running the old revision.
                self._pending.append(handler)
                eliot.log_message(
                    message_type="config:handler_failed",
                    message="config: a part failed to take a new revision; "
                    "it is called again",
                    revision=self.revision,
                    reason=failure.Failure().getTraceback(),
                )
