"""What the pure ownership core asks its caller to do."""

import attrs

from cicadafront.limits import claims
from cicadafront.limits.shard import ConfirmationRequest, Kind


@attrs.frozen
class GrantLease:
    """Create a lease; report `lease_granted`."""


@attrs.frozen
class WriteLeaseKey:
    """Write the key attached to the lease; report `lease_key_written`."""

    lease: str


@attrs.frozen
class RenewLease:
    """Renew the lease; report `lease_renewed` or `lease_lost`."""

    lease: str


@attrs.frozen
class ReadClaims:
    """Read all claims; report `claims_read`."""


@attrs.frozen
class ReadLeases:
    """Read all lease keys; report `leases_read`."""


@attrs.frozen
class WriteClaim:
    """Compare-and-swap a claim; report its result or `write_failed`."""

    shard: int
    claim: claims.Claim
    expected: int


@attrs.frozen
class RequestConfirmation:
    """Ask a deputy for confirmation; report each promise with `promised`."""

    deputy: claims.Member
    confirmation_requests: tuple[ConfirmationRequest, ...]


@attrs.frozen
class Probe:
    """Connect to a process; report `connection_refused` if that is refused."""

    member: claims.Member


@attrs.frozen
class HandOver:
    """Freeze a shard and send its state to another candidate."""

    shard: int
    to: str


@attrs.frozen
class Release:
    """Stop acting for a shard that no other candidate takes over."""

    shard: int


@attrs.frozen
class Acquired:
    """This process owns the shard now.

    Attributes:
        shard: Number of the shard.
        claim: The claim in the store.
        kind: Why it was claimed.
        clean: Whether the journals hold all begins of the former owner.
        issue_from: Time before which credit of the former owner may be live.
    """

    shard: int
    claim: claims.Claim
    kind: Kind
    clean: bool
    issue_from: float


@attrs.frozen
class Lost:
    """Another process owns the shard now."""

    shard: int


Action = (
    GrantLease
    | WriteLeaseKey
    | RenewLease
    | ReadClaims
    | ReadLeases
    | WriteClaim
    | RequestConfirmation
    | Probe
    | HandOver
    | Release
    | Acquired
    | Lost
)
