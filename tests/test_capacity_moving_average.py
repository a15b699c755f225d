"""Tests of the moving averages used by placement and queueing."""

from testtools import TestCase

from verbenawick.capacity._moving_average import MovingAverage, MovingAverages


class MovingAverageTest(TestCase):
    """First and later samples, and the bound on the number of averages."""

    def test_first_sample_becomes_the_average(self):
        """Starting from zero would make every new upstream look fast."""
        average = MovingAverage(0.1)
        average.add(5.0)
        self.assertEqual(5.0, average.value)

    def test_later_samples_are_weighted(self):
        """One outlier must not dominate, but a lasting change must show."""
        average = MovingAverage(0.1, 0.0)
        average.add(1.0)
        self.assertAlmostEqual(0.1, average.value)
        for _ in range(50):
            average.add(1.0)
        self.assertGreater(average.value, 0.99)

    def test_averages_are_separate_and_bounded(self):
        """Routes are added and removed for as long as the process runs."""
        averages = MovingAverages(0.5, max_names=3)
        for number in range(3):
            averages.add(f"r{number}", float(number))
        self.assertEqual([0.0, 1.0, 2.0], [averages.value(f"r{n}") for n in range(3)])
        averages.add("r3", 3.0)
        self.assertEqual(3.0, averages.value("r3"))
        self.assertIsNone(averages.value("r0"))
