"""Full-state transfer to a joining instance, in pages."""

from cicadafront.membership import codec, dissemination, gossip, records

METHOD = "membership.state"
# Encoding takes about 40 us per record (about 90 bytes); a larger page would
# hold up requests on the event loop for longer than the 6 ms they may take.
PAGE_BYTES = 24 * 1024


def page(core: gossip.Gossip, after: str, now: float) -> bytes:
    """Returns the page that follows the instance id `after`.

    Dead instances are left out: the receiver would keep their records for
    the whole retention time again, and pass them on to the next one.
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
