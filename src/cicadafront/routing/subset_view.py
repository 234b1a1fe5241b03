"""Cache of the targets of each service that one entry uses."""

from cicadafront import model, ports
from cicadafront.routing import subset


class SubsetView:
    """Caches the results of `subset.select` until the directory changes.

    Args:
        instance: Id of this instance.
        directory: Directory of instances and targets.
    """

    def __init__(self, instance: str, directory: ports.Directory):
        self._instance = instance
        self._directory = directory
        self._preferred: frozenset[str] | None = None
        self._services: dict[str, list[model.Target]] = {}
        directory.on_change(self._invalidate)

    def targets(self, service: str) -> list[model.Target]:
        """Returns the targets of a service that this entry uses."""
        found = self._services.get(service)
        if found is None:
            found = subset.select(
                self._instance,
                self._directory.targets(service),
                self._preferred_instances(),
            )
            self._services[service] = found
        return found

    def _preferred_instances(self) -> frozenset[str]:
        if self._preferred is None:
            centres = {
                info.id: info.data_centre
                for info in self._directory.instances()
                if info.alive and not info.leaving
            }
            self._preferred = subset.preferred_instances(
                self._instance, centres
            )
        return self._preferred

    def _invalidate(self) -> None:
        self._preferred = None
        self._services.clear()
