"""Run both example deployments at the same time and print one JSON object at the end.

The exit code is 0 only if all checks of the scenarios passed.
"""

import argparse
import json
import sys
import threading
import time
from dataclasses import asdict

from demo._faults import FaultScenario
from demo._scenario import Report, Scenario
from standins.processes import ANDINA, GUILD

SUMMED_FIELDS = (
    "processes",
    "calls",
    "wrong_answers",
    "run_twice",
    "false_not_run",
    "cut_in_flight",
    "unknown",
    "failed_when_planned",
    "cross_region_bytes",
)


def summarise(reports: list[Report], elapsed_s: float) -> dict[str, object]:
    """Return the figures of all deployments, printed as the last line."""
    rows = [asdict(report) for report in reports]
    return {
        **{name: sum(row[name] for row in rows) for name in SUMMED_FIELDS},
        "regions": sum(row["regions"] for row in rows),
        "in_force_everywhere": all(row["in_force_everywhere"] for row in rows),
        "failures": [failure for row in rows for failure in row["failures"]],
        "elapsed_s": round(elapsed_s, 1),
    }


def main() -> int:
    """Run the demonstration; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m demo", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--faults",
        action="store_true",
        help="instead, pause and kill relays, stop the store and restart all nodes",
    )
    arguments = parser.parse_args()
    started_at = time.monotonic()
    scenario_type = FaultScenario if arguments.faults else Scenario
    scenarios = [
        scenario_type(
            plan, seed=arguments.seed, print_line=lambda text: print(text, flush=True)
        )
        for plan in (ANDINA, GUILD)
    ]
    threads = [threading.Thread(target=scenario.run) for scenario in scenarios]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    summary = summarise(
        [scenario.report for scenario in scenarios], time.monotonic() - started_at
    )
    print(json.dumps(summary))
    return 1 if summary["failures"] or not summary["in_force_everywhere"] else 0


if __name__ == "__main__":
    sys.exit(main())
