"""Registry of the benchmarks, filled by a decorator."""

from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from dataclasses import dataclass

Configure = Callable[[ArgumentParser], None]
Run = Callable[[Namespace], dict]


@dataclass(frozen=True, slots=True)
class Benchmark:
    """A benchmark: its arguments, and the function that returns its figures."""

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
        Adds the arguments of the benchmark to its parser. Each benchmark has
        ``--seed`` without it.
    """

    def decorate(run: Run) -> Run:
        summary = (run.__doc__ or "").partition("\n")[0]
        benchmarks_by_name[name] = Benchmark(name, summary, configure, run)
        return run

    return decorate
