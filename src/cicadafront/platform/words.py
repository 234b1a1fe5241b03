"""Header names, paths and keys of the platform."""

import re
from urllib import parse

from cicadafront import dialect, model

DIALECT = dialect.Dialect(
    key=b"Cicadafront-Key",
    key_scheme=b"",
    deadline=b"Cicadafront-Deadline-Ms",
    caller_deadline=True,
    account=b"Cicadafront-Tenant",
    exchange_id=b"Cicadafront-Request-Id",
    caller_exchange_id=True,
    traced=False,
    caller_service=b"Cicadafront-Caller-Service",
    expected_target=b"Cicadafront-Expect-Instance",
    proof=b"Cicadafront-Server-Stamp",
    not_executed=b"Cicadafront-Not-Executed",
    fractional_waits=True,
)

# Names the target that answers a health check.
TARGET_ID = b"cicadafront-instance-id"
# "running,waiting,slots" of the target that answers.
TARGET_LOAD = b"cicadafront-server-load"

CONFIGURATION_KEY = "op/config"
READY_PATH = "/-/ready"

_TARGET_CALL = re.compile(r"/-/instances/([^/?]+)/(heartbeat|deregister)")


def target_call(head: model.RequestHead) -> tuple[str, bool] | None:
    """Returns the target of a heartbeat, and whether it says goodbye."""
    found = _TARGET_CALL.fullmatch(head.path.partition("?")[0])
    if head.method != "POST" or found is None:
        return None
    return parse.unquote(found[1]), found[2] == "deregister"
