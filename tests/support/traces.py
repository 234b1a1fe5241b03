"""Checks of the spans that several processes recorded for one trace."""

import time


def by_name(spans):
    """Returns the spans by name; each name must be unique."""
    found = {span["name"]: span for span in spans}
    assert len(found) == len(spans), spans
    return found


def wait_for(read, names, seconds=5.0):
    """Reads spans repeatedly until all names are present.

    Raises:
        AssertionError: A name is missing after `seconds`.
    """
    limit = time.monotonic() + seconds
    while True:
        spans = read()
        if {span["name"] for span in spans} >= set(names):
            return spans
        if time.monotonic() > limit:
            raise AssertionError(f"only {spans} of {names}")
        time.sleep(0.02)


def is_chain(spans, names, top):
    """Returns whether each span is the child of the one before it.

    Args:
        spans: Spans by name.
        names: Names from the top of the chain to its end.
        top: Id of the parent of the first span.
    """
    above = top
    for name in names:
        if spans[name]["parent_id"] != above:
            return False
        above = spans[name]["span_id"]
    return True
