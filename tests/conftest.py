"""Garbage collection of the test process.

A full collection takes up to a second late in the suite, in which nothing else runs.
Inside of a test it would be taken for a delay of the code under test, so full
collections run between tests only.
"""

import gc

# Collections of the middle generation from which a full one is due.
MIDDLE_COLLECTIONS = 50
NEVER = 2**31 - 1


def pytest_runtest_setup(item):
    """Keep full collections from starting by themselves, also after tests of them."""
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, NEVER)


def pytest_runtest_logfinish(nodeid, location):
    """Collect all garbage if enough may have gathered."""
    if gc.get_count()[2] >= MIDDLE_COLLECTIONS:
        gc.collect()
