"""What the demo sends to each example configuration."""

import attrs


@attrs.frozen
class Paths:
    """Paths and tokens of an example configuration.

    Attributes:
        read: Path of a repeatable read and its service.
        read_rate: Reads per second of the load; within the reader's rate.
        upload: Path of a large upload.
        payment: Path of a non-repeatable request.
        reader: Token of the reading account.
        payer: Token of the paying account.
        uploader: Token of the uploading account.
        withdrawn: Id of a key that is withdrawn.
        withdrawn_token: Its token.
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
