"""Metrics of a node in the Prometheus text format.

`prometheus_client` and what it imports take 4 MB of memory, so it is imported when the
page is first read.
"""

from bisect import bisect_left
from collections.abc import Iterator
from itertools import accumulate
from time import time
from typing import TYPE_CHECKING

from verbenawick.runtime._metrics import MetricKind, MetricSet, metrics_by_name

if TYPE_CHECKING:
    from prometheus_client.core import Metric

NAMESPACE = "verbenawick"
# From the duration of a short call to the longest time that a caller waits.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
_BUCKET_NAMES = (*map(str, LATENCY_BUCKETS_S), "+Inf")


class _LatencyHistogram:
    """Counts of durations by bucket of `LATENCY_BUCKETS_S`, the last one unbounded."""

    __slots__ = ("counts", "created_at", "sum_s")

    def __init__(self):
        self.counts = [0] * len(_BUCKET_NAMES)
        self.sum_s = 0.0
        self.created_at = time()

    def observe(self, seconds: float) -> None:
        self.counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.sum_s += seconds


class MetricsPage:
    """All metrics of one node.

    Parameters
    ----------
    metrics : MetricSet
        Counters and gauges of the components of the node.
    """

    def __init__(self, metrics: MetricSet):
        self._metrics = metrics
        self._call_seconds_by_outcome: dict[str, _LatencyHistogram] = {}
        self._upstream_seconds = _LatencyHistogram()

    def observe_call(self, outcome: str, seconds: float) -> None:
        """Record the duration of a call with this outcome."""
        histogram = self._call_seconds_by_outcome.get(outcome)
        if histogram is None:
            histogram = self._call_seconds_by_outcome[outcome] = _LatencyHistogram()
        histogram.observe(seconds)

    def observe_upstream(self, seconds: float) -> None:
        """Record the duration of a call that the local upstream ran."""
        self._upstream_seconds.observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        from prometheus_client import generate_latest

        return generate_latest(self)

    def collect(self) -> "Iterator[Metric]":
        """Yield the metrics as a registry of `prometheus_client` does."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        totals = self._metrics.totals()
        for name, metric in sorted(metrics_by_name.items()):
            full_name = f"{NAMESPACE}_{name.replace('.', '_')}"
            is_counter = metric.kind is MetricKind.COUNTER
            family = CounterMetricFamily if is_counter else GaugeMetricFamily
            yield family(full_name, metric.description, value=totals.get(name, 0))
        yield _histogram_family(
            "call_seconds",
            "Time from the arrival of a call to its answer",
            {
                (("outcome", outcome),): histogram
                for outcome, histogram in self._call_seconds_by_outcome.items()
            },
        )
        yield _histogram_family(
            "upstream_seconds",
            "Time of a call at the own upstream",
            {(): self._upstream_seconds},
        )


def _histogram_family(
    name: str,
    description: str,
    histograms_by_labels: dict[tuple[tuple[str, str], ...], _LatencyHistogram],
) -> "Metric":
    from prometheus_client.core import Metric

    full_name = f"{NAMESPACE}_{name}"
    family = Metric(full_name, description, "histogram")
    for labels, histogram in histograms_by_labels.items():
        values = dict(labels)
        counts = list(accumulate(histogram.counts))
        for bucket, count in zip(_BUCKET_NAMES, counts, strict=True):
            family.add_sample(f"{full_name}_bucket", {"le": bucket, **values}, count)
        family.add_sample(f"{full_name}_count", values, counts[-1])
        family.add_sample(f"{full_name}_sum", values, histogram.sum_s)
        family.add_sample(f"{full_name}_created", values, histogram.created_at)
    return family
