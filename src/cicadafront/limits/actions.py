"""Actions that the side-effect-free ownership core returns to its caller."""

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
    """Ask a deputy for confirmation; pass each promise to `Shard.confirm`."""

    deputy: claims.Member
    confirmation_requests: tuple[ConfirmationRequest, ...]


@attrs.frozen
class Probe:
    """Connect to a process; report `connection_refused` if that is refused."""

    member: claims.Member


@attrs.frozen
class HandOver:
    """Freeze a shard and send its state to another instance."""

    shard: int
    to: str


@attrs.frozen
class Release:
    """Stop acting for a shard that no other candidate can take over."""

    shard: int


@attrs.frozen
class Acquired:
    """This process has become the owner of the shard.

    Attributes:
        shard: Number of the shard.
        claim: The claim in the store.
        kind: Reason for the claim.
        clean: Whether the journals hold all requests that began under the
            previous owner.
        issue_from: Time in seconds before which credit granted by the
            previous owner may still be valid.
    """

    shard: int
    claim: claims.Claim
    kind: Kind
    clean: bool
    issue_from: float


@attrs.frozen
class Lost:
    """This process no longer owns the shard."""

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
