"""Averages that placement and queues rely on."""

from testtools import TestCase

from verbenawick.mesh._moving_average import MovingAverage, MovingAverages


class MovingAverageTest(TestCase):
    """First samples, later ones, and the bound on the number of averages."""

    def test_first_sample_is_the_average(self):
        """A start from zero would make every new upstream look fast."""
        average = MovingAverage(0.1)
        average.add(5.0)
        self.assertEqual(5.0, average.value)

    def test_later_samples_move_it_by_their_weight(self):
        """One outlier must not decide, a change has to be seen."""
        average = MovingAverage(0.1, 0.0)
        average.add(1.0)
        self.assertAlmostEqual(0.1, average.value)
        for _ in range(50):
            average.add(1.0)
        self.assertGreater(average.value, 0.99)

    def test_names_do_not_mix_and_are_bounded(self):
        """Routes come and go for as long as the process lives."""
        averages = MovingAverages(0.5, max_names=3)
        for number in range(3):
            averages.add(f"r{number}", float(number))
        self.assertEqual([0.0, 1.0, 2.0], [averages.value(f"r{n}") for n in range(3)])
        averages.add("r3", 3.0)
        self.assertEqual(3.0, averages.value("r3"))
        self.assertIsNone(averages.value("r0"))
