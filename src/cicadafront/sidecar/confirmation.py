"""Decides when a new process may serve the configuration of the store.

A store that reverted to a copy shows an older configuration until the operators
have written theirs again, for example one with a key that they have withdrawn.
The other instances know the newer one. The logic does no I/O.
"""

import attrs

# A process that hears of no other instance in this time serves what it has. It
# is shorter than `readiness.MAX_WAIT_SECONDS`, so that this wait does not make
# a process ready later than the wait for the state of the fleet does.
MAX_WAIT_SECONDS = 2.0


@attrs.define
class Confirmation:
    """Whether the first configuration of a process is confirmed by the fleet.

    Without eras of the store nothing is held back.

    Attributes:
        confirmed: Whether it is; stays so.
    """

    confirmed: bool = False

    def update(
        self, age: float, *, era: int, joined: bool, revision: int, newest: int
    ) -> bool:
        """Takes over what is known; returns whether it is confirmed.

        Args:
            age: Seconds since the start of the process.
            era: Era of the store; 0 if it is not known.
            joined: Whether the state of the fleet was received from a peer, or
                there is none.
            revision: Revision of the configuration in force.
            newest: Highest revision that an instance runs.
        """
        if not self.confirmed and revision:
            self.confirmed = (
                not era
                or age >= MAX_WAIT_SECONDS
                or (joined and revision >= newest)
            )
        return self.confirmed
