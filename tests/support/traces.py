"""Checks of the spans that several processes kept of one trace."""

import time


def by_name(spans):
    """Returns the only span of each name."""
    found = {span["name"]: span for span in spans}
    assert len(found) == len(spans), spans
    return found


def wait_for(read, names, seconds=5.0):
    """Reads spans until all names are there."""
    limit = time.monotonic() + seconds
    while True:
        spans = read()
        if {span["name"] for span in spans} >= set(names):
            return spans
        if time.monotonic() > limit:
            raise AssertionError(f"only {spans} of {names}")
        time.sleep(0.02)


def is_chain(spans, names, top):
    """Tells whether each span is the child of the one before it."""
    above = top
    for name in names:
        if spans[name]["parent_id"] != above:
            return False
        above = spans[name]["span_id"]
    return True
