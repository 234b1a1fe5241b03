"""What operators see of a daemon."""

import time
from typing import Any

import attrs

from cicadafront.telemetry import operators


@attrs.frozen
class DaemonViews:
    """Reads the state of a daemon for the operators' endpoints.

    Attributes:
        parts: The `daemon.assembly.FleetAssembly` of the daemon.
    """

    parts: Any

    def views(self) -> operators.Views:
        """Returns the functions that the endpoints call."""
        return operators.Views(
            ready=self.not_ready,
            status=self.status,
            instances=self.instances,
            targets=self.targets,
            accounts=self.accounts,
        )

    def not_ready(self) -> str:
        """Returns why requests are refused, or an empty string."""
        parts = self.parts
        if not parts.held.revision:
            return "no configuration yet"
        if not parts.limits.settled():
            return "some shards have no owner yet"
        if not parts.sync.confirmed(parts.reactor.seconds()):
            return "the configuration cannot be confirmed"
        return ""

    def status(self) -> operators.Json:
        """Returns the state of this instance."""
        parts = self.parts
        now = parts.reactor.seconds()
        away = parts.sync.store_away_since
        return {
            "instance": parts.settings.instance,
            "data_centre": parts.settings.data_centre,
            "revision": parts.held.revision,
            "digest": parts.held.digest,
            "ready": not self.not_ready(),
            "store_away_seconds": None if away is None else round(now - away),
            "up_seconds": round(time.time() - parts.started),
        }

    def instances(self) -> list[operators.Json]:
        """Returns the known instances."""
        return [
            {
                "id": info.id,
                "data_centre": info.data_centre,
                "operators": _address(info.operators_address),
                "incarnation": info.incarnation,
                "alive": info.alive,
                "leaving": info.leaving,
            }
            for info in self.parts.directory.instances()
        ]

    def targets(self) -> list[operators.Json]:
        """Returns the targets of all configured services."""
        parts = self.parts
        return [
            {
                "id": target.id,
                "service": target.service,
                "instance": target.instance,
                "state": target.state.value,
                "slots": target.slots,
                "weight": target.weight,
            }
            for service in sorted(parts.held.configuration.services)
            for target in parts.directory.targets(service)
        ]

    def accounts(self) -> list[operators.Json]:
        """Returns the client accounts with their use on this instance."""
        return self.parts.admission.items(self.parts.held.configuration)


def _address(address: tuple[str, int]) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
