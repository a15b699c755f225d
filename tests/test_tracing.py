"""Traces linked by the traceparent header."""

from random import Random

from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter
from testtools import TestCase

from verbenawick.calls._tracing import Tracer, parse_traceparent


class TracingTest(TestCase):
    """Sampling decision, span per hop, and header propagation."""

    def make_tracer(self, share):
        exporter = InMemorySpanExporter()
        tracer = Tracer("n1", sample_share=share, random=Random(1), exporter=exporter)
        self.addCleanup(tracer.shutdown)
        return tracer, exporter

    def test_spans_of_two_hops_share_the_trace(self):
        """Guards against a span of the second hop that lacks the first as parent."""
        tracer, exporter = self.make_tracer(1.0)
        with tracer.span("entry", tracer.context_from(None)) as outer:
            received = tracer.context_from(outer.header())
            with tracer.span("gateway", received):
                pass
        tracer.shutdown()
        inner_span, outer_span = exporter.get_finished_spans()
        self.assertEqual(outer_span.context.trace_id, inner_span.context.trace_id)
        self.assertEqual(outer_span.context.span_id, inner_span.parent.span_id)

    def test_the_decision_of_the_first_hop_is_kept(self):
        """Guards against partial traces: an unsampled trace stays unsampled."""
        tracer, exporter = self.make_tracer(1.0)
        header = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-00"
        with tracer.span("entry", tracer.context_from(header)) as context:
            self.assertEqual(header, context.header())
        tracer.shutdown()
        self.assertEqual((), exporter.get_finished_spans())

    def test_invalid_headers_start_a_new_trace(self):
        """Malformed headers and all-zero ids are rejected."""
        for value in (
            "",
            "x",
            "00-" + "zz" * 16 + "-" + "cd" * 8 + "-01",
            "00-" + "00" * 16 + "-" + "cd" * 8 + "-01",
        ):
            self.assertIsNone(parse_traceparent(value))
