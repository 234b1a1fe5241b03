"""State of a daemon as shown to operators."""

import time
from typing import Any

import attrs

from cicadafront.telemetry import operators


@attrs.frozen
class DaemonViews:
    """Reads the state of a daemon for the operators' endpoints.

    Attributes:
        assembly: The `daemon.assembly.FleetAssembly` whose state is read.
    """

    assembly: Any

    def views(self) -> operators.Views:
        """Returns the functions that the operators' endpoints call."""
        return operators.Views(
            ready=self.not_ready,
            status=self.status,
            instances=self.instances,
            targets=self.targets,
            accounts=self.accounts,
        )

    def not_ready(self) -> str:
        """Returns the reason why requests are rejected, or an empty string."""
        assembly = self.assembly
        if not assembly.current_configuration.revision:
            return "no configuration yet"
        if not assembly.limits.settled():
            return "some shards have no owner yet"
        if not assembly.sync.confirmed(assembly.reactor.seconds()):
            return "the configuration cannot be confirmed"
        return ""

    def status(self) -> operators.Json:
        """Returns the state of this instance."""
        assembly = self.assembly
        now = assembly.reactor.seconds()
        unavailable_since = assembly.sync.store_away_since
        return {
            "instance": assembly.settings.instance,
            "data_centre": assembly.settings.data_centre,
            "revision": assembly.current_configuration.revision,
            "digest": assembly.current_configuration.digest,
            "ready": not self.not_ready(),
            "store_away_seconds": None
            if unavailable_since is None
            else round(now - unavailable_since),
            "up_seconds": round(time.time() - assembly.started),
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
            for info in self.assembly.directory.instances()
        ]

    def targets(self) -> list[operators.Json]:
        """Returns the targets of all configured services."""
        assembly = self.assembly
        return [
            {
                "id": target.id,
                "service": target.service,
                "instance": target.instance,
                "state": target.state.value,
                "slots": target.slots,
                "weight": target.weight,
            }
            for service in sorted(
                assembly.current_configuration.configuration.services
            )
            for target in assembly.directory.targets(service)
        ]

    def accounts(self) -> list[operators.Json]:
        """Returns the client accounts with their counts on this instance."""
        return self.assembly.admission.items(
            self.assembly.current_configuration.configuration
        )


def _address(address: tuple[str, int]) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
