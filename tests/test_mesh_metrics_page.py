"""Test the metrics page against the histograms of `prometheus_client`."""

from unittest.mock import patch

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from testtools import TestCase

from verbenawick.mesh import _metrics_page
from verbenawick.mesh._confirmation import UNCONFIRMED_S
from verbenawick.mesh._metrics_page import LATENCY_BUCKETS_S, MetricsPage
from verbenawick.runtime._metrics import MetricSet

NOW = 1_700_000_000.25
# Below the first bucket, on a bound, between two bounds, and above the last bucket.
SECONDS = (0.001, 0.05, 0.07, 9.5)


class MetricsPageTest(TestCase):
    """The text that a scrape reads."""

    def test_histograms_read_as_those_of_prometheus_client(self):
        registry = CollectorRegistry()
        settings = {"namespace": "verbenawick", "registry": registry}
        settings["buckets"] = LATENCY_BUCKETS_S
        with (
            patch.object(_metrics_page, "time", return_value=NOW),
            patch("time.time", return_value=NOW),
        ):
            metrics = MetricSet()
            metrics.gauge(UNCONFIRMED_S, 1.5)
            page = MetricsPage(metrics)
            calls = Histogram(
                "call_seconds",
                "Time from the arrival of a call to its answer",
                ["outcome"],
                **settings,
            )
            upstream = Histogram(
                "upstream_seconds", "Time of a call at the own upstream", **settings
            )
            for seconds in SECONDS:
                for outcome in ("complete", "not-run"):
                    page.observe_call(outcome, seconds)
                    calls.labels(outcome).observe(seconds)
                page.observe_upstream(seconds)
                upstream.observe(seconds)
        expected = generate_latest(registry).decode()
        rendered = page.render().decode()
        self.assertEqual(expected, rendered[-len(expected) :])
        self.assertIn("\nverbenawick_mesh_configuration_unconfirmed_s 1.5\n", rendered)
