"""Randomised commands of several operators under faults that come together.

Guards against an operator who is told an outcome that does not hold, and against a
version that is lost or half done after any order of faults.
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
COMMANDS = 40
CHECK_INTERVAL = 10
REFUSALS = (ChangeNotBegunError, ConflictError, DocumentError)
PRESETS = ("ordinary", "peak", "maintenance")


class RandomFaults:
    """Begins and ends faults at the steps and pauses of a command."""

    def __init__(self, case, random, *, depth=0):
        self._case = case
        self._random = random
        self._depth = depth

    def on_step(self, step):
        """Begin or end a fault, let a rival act, or kill the command."""
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
        """Let time pass; an outage may begin or end."""
        self._case.clock.advance(seconds)
        draw = self._random.random()
        if draw < 0.4:
            self._case.set_faults(outage=draw < 0.25)


class TestRandomCommands(AcceptanceCase):
    """Invariants after each command and at the end."""

    def run_random_command(self, random, *, depth=0):
        """Run a command and record what its operator was told."""
        faults = RandomFaults(self, random, depth=depth)
        drawn = []

        def draw_change_id():
            drawn.append(self.new_change_id())
            return drawn[-1]

        acceptor = self.acceptor(
            f"op{depth}",
            sleep=faults.sleep,
            on_step=faults.on_step,
            new_change_id=draw_change_id,
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
            self.refused.update(drawn)
        except ChangeOutcomeUnknownError as error:
            self.outcomes.add(type(error))
            self.unknown.append(error.change_id)
        except KilledError:
            self.killed += 1

    def resolve_unknown(self):
        """Resolve what became unknown, once the store answers again."""
        self.set_faults(**NO_FAULTS)
        while self.unknown:
            change_id = self.unknown.pop()
            acceptance = self.acceptor().resolve(change_id)
            if acceptance is None:
                self.refused.add(change_id)
            else:
                self.accepted[change_id] = acceptance.version

    def test_operators_are_told_what_holds(self):
        all_outcomes = set()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.start_store()
                self.accepted, self.unknown, self.killed = {}, [], 0
                self.outcomes, self.refused = set(), set()
                self.run_seed(Random(seed))
                all_outcomes |= self.outcomes
        # The run reaches every outcome; otherwise it would guard nothing.
        self.assertEqual(
            {*REFUSALS, ChangeOutcomeUnknownError},
            all_outcomes,
        )

    def run_seed(self, random):
        """Run commands and check the store between them."""
        version = 2
        for number in range(COMMANDS):
            self.run_random_command(random)
            self.resolve_unknown()
            # The clock passes the age of orphans now and then.
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
        # The first two versions were accepted before; killed commands may have been.
        others = len(versions_by_id) - 2 - len(self.accepted)
        self.assertTrue(0 <= others <= self.killed, (others, self.killed))
        self.check_leftovers(len(history))

    def check_leftovers(self, change_count):
        """Check that pruning removes all that killed commands left."""
        self.clock.advance(700.0)
        try:
            prune(self.config)
        except (StoreUnavailableError, StoreAnswerLostError, StoreConditionError):
            self.fail("pruning failed without a fault")
        self.assertEqual(change_count, len(self.keys("config/change/")))
