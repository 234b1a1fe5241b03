"""Tests of the demo's exit code."""

import subprocess
import sys
import unittest

from parameterized import parameterized

_SCRIPT = """
from cicadafront.emulator import demo, processes

async def demonstrate(reactor, fleet):
    return {code}

demo.demonstrate = demonstrate
demo.main([])
"""


class ExitCodeTest(unittest.TestCase):
    """Guards against a demo that exits with 0 after a failed step.

    `task.react` ends the process with exit code 0 unless the demo raises
    `SystemExit` with another one.
    """

    @parameterized.expand([(0,), (1,)])
    def test_exit_code(self, code):
        done = subprocess.run(
            [sys.executable, "-c", _SCRIPT.format(code=code)],
            capture_output=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(done.returncode, code, done.stderr)
