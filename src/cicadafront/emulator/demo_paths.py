"""Paths and tokens that the demo uses for each example configuration."""

import attrs


@attrs.frozen
class Paths:
    """Paths and tokens of an example configuration.

    Attributes:
        read: Path of a repeatable read.
        read_service: Service of `read`.
        read_rate: Reads per second of the load; within the rate limit of the
            reading client account.
        upload: Path of a large upload.
        payment: Path of a non-repeatable request.
        payment_service: Service of `payment`.
        reader: Token of the client account that reads.
        payer: Token of the client account that pays.
        uploader: Token of the client account that uploads.
        withdrawn: Id of the API key that the demo withdraws.
        withdrawn_token: Token of that key.
    """

    read: str
    read_service: str
    read_rate: float
    upload: str
    payment: str
    payment_service: str
    reader: str
    payer: str
    uploader: str
    withdrawn: str
    withdrawn_token: str


def _token(number: int) -> str:
    return f"cf_example{number}_public-token-{number}"


PATHS = {
    "kaburi": Paths(
        read="/rounds/today",
        read_service="rounds",
        read_rate=120.0,
        upload="/proofs/photo-1",
        payment="/payments/1",
        payment_service="ledger",
        reader=_token(1),
        payer=_token(3),
        uploader=_token(1),
        withdrawn="example4",
        withdrawn_token=_token(4),
    ),
    "pancierova": Paths(
        read="/chambers/1",
        read_service="chambers",
        read_rate=90.0,
        upload="/intake/file-1",
        payment="/bookings/1",
        payment_service="bookings",
        reader=_token(1),
        payer=_token(3),
        uploader=_token(1),
        withdrawn="example4",
        withdrawn_token=_token(4),
    ),
}
