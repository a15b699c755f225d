"""What callers get from placement and queue together, under load."""

from testtools import TestCase

from bench.decisions import QUEUES, SCENARIOS, Simulation, placements_by_name


def play(scenario: str, placement: str, queue: str = "slot queue") -> dict[str, float]:
    """Return the figures of six simulated seconds."""
    return Simulation(
        next(s for s in SCENARIOS if s.name == scenario),
        placements_by_name[placement],
        QUEUES[queue],
        seed=1,
        seconds=6.0,
    ).run()


class DecisionsTest(TestCase):
    """Six upstreams in three regions; see `bench.decisions` for the model."""

    def test_calm_load_is_served_in_time(self):
        """Nothing may be refused or late while most slots are free."""
        figures = play("calm", "expected loss")
        self.assertGreater(figures["in time"], 0.995)
        self.assertEqual(0.0, figures.get("refused", 0.0))

    def test_refused_calls_do_not_wander_in_an_overload(self):
        """They cost bytes between regions and delay calls that are in time."""
        ours = play("overload", "expected loss")
        wandering = play("overload", "expected loss, always moves on")
        self.assertGreater(ours["credit"], wandering["credit"])
        self.assertLess(ours["price"], wandering["price"])
        self.assertLess(ours["refused"], wandering["refused"] + 0.02)

    def test_queue_keeps_an_overload_from_making_all_calls_late(self):
        """First in, first out serves every call too late once the queue is full."""
        ours = play("overload", "expected loss")
        fifo = play("overload", "expected loss", "first in first out")
        self.assertGreater(ours["in time"], 2 * fifo["in time"])

    def test_slow_upstreams_do_not_make_callers_fail(self):
        """Two of six run five times slower; the others have room for their calls."""
        figures = play("slow upstreams", "expected loss")
        lost = figures.get("failed", 0.0) + figures.get("refused", 0.0)
        self.assertLess(lost, 0.01)
        self.assertGreater(figures["in time"], 0.95)
