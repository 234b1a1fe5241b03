"""Paged full-state transfer to a joining instance."""

from cicadafront.membership import codec, dissemination, gossip, records

METHOD = "membership.state"
# Encoding takes about 40 us per record of about 90 bytes; a larger page would
# block the event loop for longer than the limit of 6 ms per request.
PAGE_BYTES = 24 * 1024


def page(core: gossip.Gossip, after: str, now: float) -> bytes:
    """Returns the encoded page that follows the instance id `after`.

    Dead instances are omitted. Otherwise the receiver would retain their
    records for the full retention time again and pass them on to the next
    joining instance.
    """
    ids = sorted(
        record.id
        for record in core.instances()
        if record.id > after and record.liveness is not records.Liveness.DEAD
    )
    items: list[records.Record] = []
    room = PAGE_BYTES
    last = ""
    for id in ids:
        held = core.records_of(id)
        size = sum(map(dissemination.estimated_size, held))
        if items and size > room:
            return codec.encode_page(items, last, now)
        room -= size
        items += held
        last = id
    return codec.encode_page(items, "", now)
