"""Tests of the decision whether an instance is ready for callers."""

import unittest

import attrs
from parameterized import parameterized

from cicadafront.sidecar import readiness

KNOWS_ALL = readiness.Knowledge(
    configured=True, joined=True, routable=True, leaving=False, age=0.5
)
LATE = readiness.MAX_WAIT_SECONDS


class ReadinessTest(unittest.TestCase):
    """Guards against callers that are sent to an instance that knows nobody.

    Targets that do not exist must not keep callers away for good.
    """

    @parameterized.expand(
        [
            ("all_known", {}, "READY"),
            ("leaving", {"leaving": True}, "LEAVING"),
            ("listener_lost", {"accepts_callers": False}, "CLOSED"),
            ("no_configuration", {"configured": False}, "UNCONFIGURED"),
            (
                "no_configuration_late",
                {"configured": False, "age": LATE},
                "UNCONFIGURED",
            ),
            ("evacuations", {"evacuations_known": False}, "UNINFORMED"),
            (
                "evacuations_late",
                {"evacuations_known": False, "age": LATE},
                "UNINFORMED",
            ),
            ("joining", {"joined": False}, "JOINING"),
            ("no_targets", {"routable": False}, "UNROUTABLE"),
            (
                "service_without_targets",
                {"routable": False, "age": LATE},
                "READY",
            ),
            ("alone", {"joined": False, "age": LATE}, "READY"),
        ]
    )
    def test_readiness(self, _name, changes, expected):
        knowledge = attrs.evolve(KNOWS_ALL, **changes)
        self.assertEqual(knowledge.readiness().name, expected)


if __name__ == "__main__":
    unittest.main()
