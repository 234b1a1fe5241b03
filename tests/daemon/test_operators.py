"""Tests of the operators' endpoints of a daemon with all components."""

import time
import unittest
import urllib.error
import urllib.request

from cicadafront.emulator import processes

WAIT_SECONDS = 30.0
ALONE = processes.Deployment("alone", ("dc",), ("rounds",), 3)


class MetricsTest(unittest.TestCase):
    """Guards against components whose metrics are not registered."""

    def setUp(self):
        self.fleet = processes.LocalFleet(ALONE)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def _metrics(self):
        instance = next(iter(self.fleet.instances.values()))
        url = f"{instance.operators_url}/metrics"
        try:
            with urllib.request.urlopen(url, timeout=5) as response:
                return response.read().decode()
        except (urllib.error.URLError, ConnectionError):
            return ""

    def test_parts_are_served(self):
        wanted = (
            'cicadafront_slots_in_use{service="rounds"} 0.0',
            'cicadafront_queued{service="rounds"} 0.0',
            'cicadafront_ejected_targets{service="rounds"} 0.0',
            'cicadafront_store_calls_total{result="ok"}',
            'cicadafront_credit_total{result="refused"} 0.0',
            "cicadafront_links_opened 0.0",
        )
        limit = time.monotonic() + WAIT_SECONDS
        text = ""
        while not all(line in text for line in wanted):
            self.assertLess(time.monotonic(), limit, text)
            time.sleep(0.1)
            text = self._metrics()
