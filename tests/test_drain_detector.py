"""Detection of an upstream that starts to drain by itself."""

from testtools import TestCase

from verbenawick.calls._drain_detector import REFUSALS_TO_DRAIN, DrainDetector


class DrainDetectorTest(TestCase):
    """Health and refusals must both indicate a drain; the last member is resumed."""

    def setUp(self):
        super().setUp()
        self.calls = []
        self.is_last_member = False
        self.detector = DrainDetector(
            "127.0.0.1:1",
            drain=lambda: self.calls.append("drain"),
            resume=lambda: self.calls.append("resume"),
            is_last_member=lambda: self.is_last_member,
        )

    def refuse(self, times=REFUSALS_TO_DRAIN):
        for _ in range(times):
            self.detector.record_refusal()

    def test_unhealthy_and_refusing_upstream_is_drained(self):
        """A draining upstream gets no more calls after one probe; drains only once."""
        self.refuse()
        self.detector.record_health(False)
        self.detector.record_health(False)
        self.assertEqual(["drain"], self.calls)

    def test_one_signal_alone_does_not_drain(self):
        """Guards against draining for a wrong health endpoint or for shedding alone."""
        self.detector.record_health(False)
        self.refuse()
        self.detector.record_health(True)
        self.refuse(REFUSALS_TO_DRAIN)
        self.detector.record_run()
        self.detector.record_health(False)
        self.assertEqual([], self.calls)

    def test_recovered_upstream_is_resumed(self):
        """Guards against an upstream that gets no calls after it recovered."""
        self.refuse()
        self.detector.record_health(False)
        self.detector.record_health(True)
        self.assertEqual(["drain", "resume"], self.calls)

    def test_the_last_member_is_tried_again(self):
        """Guards against false reports that leave a service without upstreams."""
        self.refuse()
        self.detector.record_health(False)
        self.is_last_member = True
        self.detector.record_health(False)
        self.assertEqual(["drain", "resume"], self.calls)
