"""Registry of benchmarks, filled by the decorator `register_benchmark`."""

from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from dataclasses import dataclass

Configure = Callable[[ArgumentParser], None]
Run = Callable[[Namespace], dict]


@dataclass(frozen=True, slots=True)
class Benchmark:
    """A benchmark: its arguments and the function that returns its results."""

    name: str
    summary: str
    configure: Configure
    run: Run


benchmarks_by_name: dict[str, Benchmark] = {}


def register_benchmark(name: str, *, configure: Configure):
    """Return a decorator that registers a function as ``python -m bench NAME``.

    Parameters
    ----------
    configure : callable
        Adds the arguments of the benchmark to its parser. ``--seed`` is always
        present.
    """

    def decorate(run: Run) -> Run:
        summary = (run.__doc__ or "").partition("\n")[0]
        benchmarks_by_name[name] = Benchmark(name, summary, configure, run)
        return run

    return decorate
