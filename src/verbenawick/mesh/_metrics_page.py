"""Metrics of a node in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from verbenawick.runtime._metrics import MetricKind, MetricSet, metrics_by_name

NAMESPACE = "verbenawick"
# From the duration of a short call to the longest time that a caller waits.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)


class MetricsPage:
    """Registry of all metrics of one node.

    Parameters
    ----------
    metrics : MetricSet
        Counters and gauges of the components of the node.
    """

    def __init__(self, metrics: MetricSet):
        self._registry = CollectorRegistry()
        self._registry.register(_TotalsCollector(metrics))
        self._call_seconds = Histogram(
            "call_seconds",
            "Time from the arrival of a call to its answer",
            ["outcome"],
            namespace=NAMESPACE,
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._call_seconds_by_outcome: dict[str, Histogram] = {}
        self._upstream_seconds = Histogram(
            "upstream_seconds",
            "Time of a call at the own upstream",
            namespace=NAMESPACE,
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )

    def observe_call(self, outcome: str, seconds: float) -> None:
        """Record the duration of a call with this outcome."""
        # `labels` takes longer than `observe`, so the labelled histograms are cached.
        child = self._call_seconds_by_outcome.get(outcome)
        if child is None:
            child = self._call_seconds.labels(outcome)
            self._call_seconds_by_outcome[outcome] = child
        child.observe(seconds)

    def observe_upstream(self, seconds: float) -> None:
        """Record the duration of a call that the local upstream ran."""
        self._upstream_seconds.observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)


class _TotalsCollector:
    def __init__(self, metrics: MetricSet):
        self._metrics = metrics

    def describe(self):
        return []

    def collect(self):
        totals = self._metrics.totals()
        for name, metric in sorted(metrics_by_name.items()):
            full_name = f"{NAMESPACE}_{name.replace('.', '_')}"
            is_counter = metric.kind is MetricKind.COUNTER
            family = CounterMetricFamily if is_counter else GaugeMetricFamily
            yield family(full_name, metric.description, value=totals.get(name, 0))
