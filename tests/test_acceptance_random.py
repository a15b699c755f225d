"""Random commands of several operators with combined faults.

Guards against a reported outcome that differs from the store, and against lost or
partially applied versions after any sequence of faults.
"""

from random import Random

from tests.test_acceptance import NO_FAULTS, AcceptanceCase, KilledError
from verbenawick.configuration._pruning import prune
from verbenawick.errors import (
    ChangeNotBegunError,
    ChangeOutcomeUnknownError,
    ConflictError,
    DocumentError,
    StoreAnswerLostError,
    StoreConditionError,
    StoreUnavailableError,
)

SEEDS = range(6)
COMMAND_COUNT = 40
CHECK_INTERVAL = 10
REFUSALS = (ChangeNotBegunError, ConflictError, DocumentError)
PRESETS = ("ordinary", "peak", "maintenance")


class RandomFaults:
    """Sets and clears faults at the steps and waits of a command."""

    def __init__(self, case, random, *, depth=0):
        self._case = case
        self._random = random
        self._depth = depth

    def on_step(self, step):
        """Set or clear faults, run a concurrent command, or kill the command."""
        random = self._random
        draw = random.random()
        if draw < 0.15:
            self._case.set_faults(lost_answers=random.randint(0, 2))
        elif draw < 0.25:
            self._case.set_faults(stale_reads=random.randint(0, 4))
        elif draw < 0.32:
            self._case.set_faults(outage=True)
        elif draw < 0.42:
            self._case.set_faults(**NO_FAULTS)
        elif draw < 0.52 and self._depth < 2:
            self._case.run_random_command(random, depth=self._depth + 1)
        elif draw < 0.57:
            raise KilledError

    def sleep(self, seconds):
        """Advance the clock; an outage may start or end."""
        self._case.clock.advance(seconds)
        draw = self._random.random()
        if draw < 0.4:
            self._case.set_faults(outage=draw < 0.25)


class TestRandomCommands(AcceptanceCase):
    """Invariants between random commands and after the last one."""

    def run_random_command(self, random, *, depth=0):
        """Run a command and record its reported outcome."""
        faults = RandomFaults(self, random, depth=depth)
        change_ids = []

        def record_change_id():
            change_ids.append(self.new_change_id())
            return change_ids[-1]

        acceptor = self.acceptor(
            f"op{depth}",
            sleep=faults.sleep,
            on_step=faults.on_step,
            new_change_id=record_change_id,
            pruning_interval=3,
        )
        try:
            if random.random() < 0.2:
                acceptance = acceptor.rollback(random.randint(1, 4))
            else:
                acceptance = acceptor.switch_preset(random.choice(PRESETS))
            if acceptance.is_new:
                self.accepted[acceptance.change_id] = acceptance.version
        except REFUSALS as error:
            self.outcomes.add(type(error))
            self.refused.update(change_ids)
        except ChangeOutcomeUnknownError as error:
            self.outcomes.add(type(error))
            self.unknown.append(error.change_id)
        except KilledError:
            self.killed += 1

    def resolve_unknown(self):
        """Clear all faults and resolve the unknown outcomes."""
        self.set_faults(**NO_FAULTS)
        while self.unknown:
            change_id = self.unknown.pop()
            acceptance = self.acceptor().resolve(change_id)
            if acceptance is None:
                self.refused.add(change_id)
            else:
                self.accepted[change_id] = acceptance.version

    def test_reported_outcomes_match_the_store(self):
        all_outcomes = set()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.start_store()
                self.accepted, self.unknown, self.killed = {}, [], 0
                self.outcomes, self.refused = set(), set()
                self.run_seed(Random(seed))
                all_outcomes |= self.outcomes
        # Each outcome has to occur, otherwise the test would not cover it.
        self.assertEqual(
            {*REFUSALS, ChangeOutcomeUnknownError},
            all_outcomes,
        )

    def run_seed(self, random):
        """Run random commands and check the store between them."""
        version = 2
        for number in range(COMMAND_COUNT):
            self.run_random_command(random)
            self.resolve_unknown()
            # Sometimes advance the clock past the age of orphans.
            self.clock.advance(random.choice((1.0, 700.0)))
            previous, version = version, self.config.read_head().version
            self.assertGreaterEqual(version, previous)
            if number % CHECK_INTERVAL == 0:
                self.check_store()
        self.check_store()
        history = self.acceptor().history(limit=1000)
        versions_by_id = {change.change_id: change.version for change in history}
        for change_id, accepted_version in self.accepted.items():
            self.assertEqual(accepted_version, versions_by_id[change_id])
        self.assertEqual(set(), self.refused & versions_by_id.keys())
        # The store starts with two versions, and killed commands may have added more.
        unreported = len(versions_by_id) - 2 - len(self.accepted)
        self.assertTrue(0 <= unreported <= self.killed, (unreported, self.killed))
        self.check_orphans_are_pruned(len(history))

    def check_orphans_are_pruned(self, change_count):
        """Check that pruning removes all objects left by killed commands."""
        self.clock.advance(700.0)
        try:
            prune(self.config)
        except (StoreUnavailableError, StoreAnswerLostError, StoreConditionError):
            self.fail("pruning failed without a fault")
        self.assertEqual(change_count, len(self.keys("config/change/")))
