"""Green threads that leave nothing behind when they are killed."""

from collections.abc import Callable
from functools import wraps

from greenlet import GreenletExit


def returns_when_killed(function: Callable) -> Callable:
    """Return a function for a green thread that returns None when it is killed.

    A green thread keeps the exception that ended it. The frames of its traceback refer
    to the green thread, and to the request with its body, which therefore would stay in
    memory until the next full garbage collection.
    """

    @wraps(function)
    def run(*args, **options):
        try:
            return function(*args, **options)
        except GreenletExit:
            return None

    return run
