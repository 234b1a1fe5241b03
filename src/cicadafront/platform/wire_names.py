"""Header names, paths and store keys of the platform's protocol."""

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

# Response header with the id of the target that answers a health check.
TARGET_ID = b"cicadafront-instance-id"
# Response header with the load of that target as "running,waiting,slots".
TARGET_LOAD = b"cicadafront-server-load"

CONFIGURATION_KEY = "op/config"
# The operators write a key below it for each data centre to evacuate.
EVACUATION_PREFIX = "op/evacuate/"
READY_PATH = "/-/ready"

_TARGET_CALL = re.compile(r"/-/instances/([^/?]+)/(heartbeat|deregister)")


def target_call(head: model.RequestHead) -> tuple[str, bool] | None:
    """Parses the path of a heartbeat or deregistration.

    Returns:
        The id of the target and whether it deregisters, or None for any other
        request.
    """
    match = _TARGET_CALL.fullmatch(head.path.partition("?")[0])
    if head.method != "POST" or match is None:
        return None
    return parse.unquote(match[1]), match[2] == "deregister"
