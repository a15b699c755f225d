"""Tests of placement and queueing together, under simulated load."""

from testtools import TestCase

from bench.decisions import QUEUE_TYPES, SCENARIOS, Simulation, placements_by_name


def simulate(
    scenario: str, placement: str, queue: str = "slot queue", *, seconds: float = 6.0
) -> dict[str, float]:
    """Return the results of some simulated seconds."""
    return Simulation(
        next(s for s in SCENARIOS if s.name == scenario),
        placements_by_name[placement],
        QUEUE_TYPES[queue],
        seed=1,
        seconds=seconds,
    ).run()


class DecisionsTest(TestCase):
    """Six upstreams in three regions; see `bench.decisions` for the model."""

    def test_calm_load_is_served_in_time(self):
        """No call is refused and almost none is late while most slots are free."""
        results = simulate("calm", "expected loss")
        self.assertGreater(results["in time"], 0.995)
        self.assertEqual(0.0, results.get("refused", 0.0))

    def test_refused_calls_get_few_further_offers_in_an_overload(self):
        """Further offers cost cross-region bytes and delay calls that are in time.

        Without a maximum cost, refused calls go from one full queue to the next.
        """
        limited = simulate("overload", "expected loss")
        unlimited = simulate("overload", "expected loss, always moves on")
        self.assertGreater(limited["credit"], unlimited["credit"])
        self.assertLess(limited["price"], unlimited["price"])
        self.assertLess(limited["refused"], unlimited["refused"] + 0.02)

    def test_slot_queue_keeps_calls_in_time_under_overload(self):
        """A first-in, first-out queue makes every call late once it is full."""
        slot_queue = simulate("overload", "expected loss")
        fifo = simulate("overload", "expected loss", "first in first out")
        self.assertGreater(slot_queue["in time"], 2 * fifo["in time"])

    def test_slow_upstreams_do_not_cause_failed_calls(self):
        """Two of six upstreams are five times slower; the others have free slots."""
        results = simulate("slow upstreams", "expected loss")
        lost = results.get("failed", 0.0) + results.get("refused", 0.0)
        self.assertLess(lost, 0.01)
        self.assertGreater(results["in time"], 0.95)

    def test_upstreams_of_different_speed_serve_what_fits(self):
        """Guards against herds of 24 entries on fast or idle ones of 24 upstreams."""
        results = simulate("uneven", "expected loss", seconds=3.0)
        self.assertGreater(results["in time"], 0.99)
        nearest = simulate("uneven", "nearest", seconds=3.0)
        self.assertGreater(results["in time"], nearest["in time"])

    def test_learned_limit_keeps_no_room_back_without_a_knee(self):
        """Guards against trials that cost callers more than they can show."""
        all_slots = simulate("overload", "expected loss", seconds=10.0)
        learned = simulate(
            "overload", "expected loss", "slot queue, learned limit", seconds=10.0
        )
        self.assertGreater(learned["credit"], all_slots["credit"] - 0.02)
