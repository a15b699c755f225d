"""Run a benchmark: ``python -m bench NAME``; the last line is a JSON object."""

import argparse
import json
import sys
import time
from importlib import import_module
from pathlib import Path

from bench.registry import benchmarks_by_name

RESULTS_DIR = Path(__file__).parent / "results"
BENCHMARK_MODULES = (
    "bench.calls",
    "bench.claims",
    "bench.daemons",
    "bench.decisions",
    "bench.distribution",
    "bench.membership",
    "bench.memory",
    "bench.recovery",
    "bench.requests",
)


def main(arguments: list[str] | None = None) -> int:
    """Run the benchmark that is named in the arguments."""
    arguments = sys.argv[1:] if arguments is None else arguments
    for module in BENCHMARK_MODULES:
        import_module(module)
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    commands = parser.add_subparsers(dest="name", required=True)
    for benchmark in benchmarks_by_name.values():
        command = commands.add_parser(benchmark.name, help=benchmark.summary)
        command.add_argument("--seed", type=int, default=1)
        command.add_argument(
            "--no-result", action="store_true", help="do not write a result file"
        )
        benchmark.configure(command)
    options = parser.parse_args(arguments)
    results = benchmarks_by_name[options.name].run(options)
    record = {
        "command": " ".join(["python -m bench", *arguments]),
        "seed": options.seed,
        **results,
    }
    if not options.no_result:
        RESULTS_DIR.mkdir(exist_ok=True)
        path = RESULTS_DIR / f"{options.name}-{time.strftime('%Y%m%dT%H%M%S')}.json"
        path.write_text(json.dumps(record, indent=1) + "\n", encoding="utf-8")
    print(json.dumps(record))
    return 0


if __name__ == "__main__":
    sys.exit(main())
