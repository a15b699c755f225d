"""Detection of an upstream that drains on its own."""

from testtools import TestCase

from verbenawick.calls._drain_detector import REFUSALS_TO_DRAIN, DrainDetector


class DrainDetectorTest(TestCase):
    """Health and refusals have to agree; the last member is tried again."""

    def setUp(self):
        super().setUp()
        self.calls = []
        self.is_last = False
        self.detector = DrainDetector(
            "127.0.0.1:1",
            drain=lambda: self.calls.append("drain"),
            resume=lambda: self.calls.append("resume"),
            is_last=lambda: self.is_last,
        )

    def refuse(self, times=REFUSALS_TO_DRAIN):
        for _ in range(times):
            self.detector.on_refusal()

    def test_unhealthy_and_refusing_upstream_is_drained(self):
        """A draining upstream gets no more calls after one probe."""
        self.refuse()
        self.detector.on_health(False)
        self.detector.on_health(False)
        self.assertEqual(["drain"], self.calls)

    def test_one_signal_alone_does_not_drain(self):
        """A lying health endpoint or shedding alone takes no upstream out."""
        self.detector.on_health(False)
        self.refuse()
        self.detector.on_health(True)
        self.refuse(REFUSALS_TO_DRAIN)
        self.detector.on_run()
        self.detector.on_health(False)
        self.assertEqual([], self.calls)

    def test_recovered_upstream_is_resumed(self):
        """A healthy probe ends the drain; guards against a lost upstream."""
        self.refuse()
        self.detector.on_health(False)
        self.detector.on_health(True)
        self.assertEqual(["drain", "resume"], self.calls)

    def test_the_last_member_is_tried_again(self):
        """False reports about all members at once do not empty a service."""
        self.refuse()
        self.detector.on_health(False)
        self.is_last = True
        self.detector.on_health(False)
        self.assertEqual(["drain", "resume"], self.calls)
