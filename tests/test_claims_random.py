"""Randomised failures of claim keepers: no key runs twice.

`VERBENAWICK_CLAIM_SEEDS` sets the number of seeds (3 without it).
"""

import os
from dataclasses import replace

from loguru import logger
from testtools import TestCase

from tests.claim_world import DoubleRunError, World
from verbenawick.claims._claims import ClaimKeeper, EarlierOwners

SEEDS = int(os.environ.get("VERBENAWICK_CLAIM_SEEDS", "3"))
STEPS = 6000
# Seeds tried until a switched-off mechanism shows as a double run. Most show in the
# first 12; a missing authority check needs a long partition and shows at seed 54.
MAX_SEARCH_SEEDS = 20


class NoSealing(ClaimKeeper):
    """Asks no earlier owner that is alive."""

    def _earlier_owners(self, key, asked):
        return EarlierOwners(departed=super()._earlier_owners(key, asked).departed)


class NoHorizon(ClaimKeeper):
    """Forgets members that departed within the horizon."""

    def _earlier_owners(self, key, asked):
        return EarlierOwners(present=super()._earlier_owners(key, asked).present)


class NoAuthority(ClaimKeeper):
    """Claims and writes however old its membership is."""

    def has_authority(self):
        return True


class NoSealers(ClaimKeeper):
    """Does not ask nodes that sealed the key at an earlier owner."""

    def _add_sealer(self, earlier, ref, age_s):
        pass


class AnswersForPredecessor(ClaimKeeper):
    """A restarted process promises for its predecessor."""

    def _seal(self, request):
        own = self._identity
        self._identity = replace(own, incarnation=request.holder_incarnation)
        try:
            return super()._seal(request)
        finally:
            self._identity = own


class RandomisedTest(TestCase):
    """Seeded runs with every mechanism, and with one switched off."""

    def setUp(self):
        super().setUp()
        logger.disable("verbenawick")
        self.addCleanup(logger.enable, "verbenawick")

    def test_no_key_runs_twice(self):
        """Guards against double runs and false not-run answers in any order of events.

        Each seed must reach the rare answers too, otherwise it would prove little.
        """
        counts = {}
        for seed in range(SEEDS):
            for name, count in World(seed).run(STEPS).counts.items():
                counts[name] = counts.get(name, 0) + count
        for name in (
            "run",
            "recorded",
            "released",
            "handed over",
            "in-progress claim.in-progress",
            "unknown claim.outcome-unknown",
            "refused claim.earlier-owner-departed",
            "refused claim.earlier-owner-unreachable",
            "refused claim.not-owner",
        ):
            self.assertGreater(counts.get(name, 0), 0, name)

    def assert_needed(self, keeper, *, first_seed: int = 0) -> None:
        """Check that the driver finds a violation without a mechanism."""
        for seed in range(first_seed, first_seed + MAX_SEARCH_SEEDS):
            try:
                World(seed, keeper).run(STEPS)
            except DoubleRunError:
                return
        self.fail(f"{keeper.__name__}: no violation in {MAX_SEARCH_SEEDS} seeds")

    def test_sealing_is_needed(self):
        """Guards against a driver that would not notice missing seals."""
        self.assert_needed(NoSealing)

    def test_horizon_is_needed(self):
        """Guards against a driver that would not notice forgotten departures."""
        self.assert_needed(NoHorizon)

    def test_authority_is_needed(self):
        """Guards against a driver that would not notice an ended authority."""
        self.assert_needed(NoAuthority, first_seed=50)

    def test_sealers_are_needed(self):
        """Guards against a driver in which all nodes have the same member table."""
        self.assert_needed(NoSealers)

    def test_incarnation_is_needed(self):
        """Guards against a driver in which restarted nodes are never asked."""
        self.assert_needed(AnswersForPredecessor)
