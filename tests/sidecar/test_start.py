"""Tests of signals during the start of a process."""

import pathlib
import signal
import subprocess
import sys
import time
import unittest


def ignores_sighup(pid):
    """Returns whether a process ignores SIGHUP."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("SigIgn:"))
    return bool(int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1)


class StartTest(unittest.TestCase):
    """Guards against a SIGHUP that terminates a starting process.

    Until the process has installed its handler, SIGHUP must be ignored, since
    its default action terminates the process.
    """

    def test_sighup_during_the_start(self):
        process = subprocess.Popen(
            [sys.executable, "-m", "cicadafront.daemon", "--settings", "none"],
            stderr=subprocess.PIPE,
        )
        self.addCleanup(process.stderr.close)
        ignored = False
        while process.poll() is None and not ignored:
            # The interpreter alone takes some hundredths of a second to
            # start.
            time.sleep(0.005)
            ignored = ignores_sighup(process.pid)
        self.assertTrue(ignored)
        while process.poll() is None:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.01)
        # The process got as far as the settings, whose file is missing.
        self.assertEqual(process.returncode, 2)
