"""Names of the headers that callers, instances and targets exchange.

Header names differ between deployments. The default is the product's own
interface. All names are given in the spelling that is sent; comparisons
ignore case.
"""

import attrs

EXCHANGE_ID = b"X-Exchange-Id"


def _lower(name: bytes) -> bytes:
    return name.lower()


@attrs.frozen
class Dialect:
    """Header names of one deployment; an empty name switches a feature off.

    Attributes:
        key: Header that carries the caller's key.
        key_scheme: Prefix of the key in its header, in lower case.
        deadline: Milliseconds that are left for the request. Targets get it
            in any deployment.
        caller_deadline: Whether callers may state a deadline as well.
        account: Names the client account to the target.
        exchange_id: Identifies an exchange to the target, which copies it
            into its answer.
        caller_exchange_id: Whether the caller chooses the exchange id; a
            request without one is refused.
        traced: Whether targets get the trace context.
        caller_service: Names the service beside which a request began.
        expected_target: Id of the only target that may run the request.
        proof: Header that each answer of a target bears. A success without
            it is no answer of the target.
        not_executed: Header by which a target states that it did not run a
            request.
        fractional_waits: Whether `Retry-After` may have fractions of a second.
    """

    key: bytes = b"Authorization"
    key_scheme: bytes = b"bearer "
    deadline: bytes = b"X-Deadline-Ms"
    caller_deadline: bool = False
    account: bytes = b"X-Client-Account"
    exchange_id: bytes = EXCHANGE_ID
    caller_exchange_id: bool = False
    traced: bool = True
    caller_service: bytes = b""
    expected_target: bytes = b""
    proof: bytes = b""
    not_executed: bytes = b""
    fractional_waits: bool = False
    # Lower-case forms, which comparisons need for each request.
    key_name: bytes = attrs.field(init=False)
    deadline_name: bytes = attrs.field(init=False)
    exchange_id_name: bytes = attrs.field(init=False)
    proof_name: bytes = attrs.field(init=False)
    not_executed_name: bytes = attrs.field(init=False)
    removed_at_entry: frozenset[bytes] = attrs.field(init=False, repr=False)
    removed_at_agent: frozenset[bytes] = attrs.field(init=False, repr=False)

    @key_name.default
    def _key_name(self) -> bytes:
        return _lower(self.key)

    @deadline_name.default
    def _deadline_name(self) -> bytes:
        return _lower(self.deadline)

    @exchange_id_name.default
    def _exchange_id_name(self) -> bytes:
        return _lower(self.exchange_id)

    @proof_name.default
    def _proof_name(self) -> bytes:
        return _lower(self.proof)

    @not_executed_name.default
    def _not_executed_name(self) -> bytes:
        return _lower(self.not_executed)

    @removed_at_entry.default
    def _at_entry(self) -> frozenset[bytes]:
        """Headers of callers that the entry does not pass on."""
        # The edge answers `Expect` itself.
        names = {b"expect", self.key_name, _lower(self.caller_service)}
        return frozenset(names - {b""})

    @removed_at_agent.default
    def _at_agent(self) -> frozenset[bytes]:
        """Headers that the agent sets, so that no caller can forge them."""
        names = {
            self.deadline_name,
            _lower(self.account),
            _lower(self.expected_target),
        }
        if not self.caller_exchange_id:
            names.add(self.exchange_id_name)
        if self.traced:
            names.add(b"traceparent")
        return frozenset(names - {b""})


DEFAULT = Dialect()
