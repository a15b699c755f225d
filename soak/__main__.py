"""Run seeded fault soaks and print one JSON object for each seed.

The exit code is 0 only if all promises were kept. A run that breaks one leaves its
folder with the schedule, the history and the logs of all processes.
"""

import json
import shutil
import sys
from argparse import ArgumentParser
from collections import Counter
from dataclasses import asdict
from itertools import count
from pathlib import Path

import eventlet

from soak._faults import Event, draw_schedule, play
from soak._promises import violations_of
from soak._shrink import shrink
from soak._world import World

RECOVERY_TIMEOUT_S = 20.0
# A request may run this long after its caller left; its deadline is sooner.
LAST_RUNS_S = 2.5


def run_seed(
    seed: int, events: list[Event], *, nodes: int, folder: Path
) -> dict[str, object]:
    """Play a schedule and return the figures of the run.

    Parameters
    ----------
    folder : Path
        Folder of this run; removed if all promises were kept.
    """
    folder.mkdir(parents=True, exist_ok=True)
    schedule = [asdict(event) for event in events]
    (folder / "schedule.json").write_text(json.dumps(schedule, indent=1))
    world = World(seed=seed, nodes=nodes, folder=folder)
    with world.running(callers=3):
        play(world, events)
        world.wait_until_serving(timeout_s=RECOVERY_TIMEOUT_S)
        world.finish_calls()
        eventlet.sleep(LAST_RUNS_S)
        history = world.complete_history()
    violations = violations_of(history)
    (folder / "history.json").write_text(json.dumps(asdict(history), default=repr))
    if not violations:
        shutil.rmtree(folder)
    return {
        "seed": seed,
        "faults": dict(Counter(event.name for event in events)),
        "attempts": len(history.attempts),
        "statuses": dict(Counter(str(a.status) for a in history.attempts)),
        "runs": len(history.runs),
        "violations": violations,
    }


def read_schedule(path: Path) -> list[Event]:
    """Return the schedule that a failed run left."""
    return [Event(**event) for event in json.loads(path.read_text())]


def shrink_seed(
    seed: int, events: list[Event], *, nodes: int, folder: Path
) -> list[Event]:
    """Return the faults of a failed run that are needed to break a promise.

    Each part of the schedule is played once, in a folder of its own.
    """
    numbers = count(1)

    def breaks(part: list[Event]) -> bool:
        part_folder = folder / f"part-{next(numbers)}"
        figures = run_seed(seed, part, nodes=nodes, folder=part_folder)
        return bool(figures["violations"])

    return shrink(events, breaks)


def main() -> int:
    """Run the seeds; return the exit code."""
    parser = ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="time with faults")
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--planned", action="store_true", help="planned faults only")
    parser.add_argument("--schedule", type=Path, help="schedule.json to play again")
    parser.add_argument(
        "--shrink", action="store_true", help="shrink the schedules of failed seeds"
    )
    parser.add_argument("--folder", type=Path, default=Path("soak-runs"))
    options = parser.parse_args()
    is_kept = True
    for seed in range(options.seed, options.seed + options.count):
        if options.schedule:
            events = read_schedule(options.schedule)
        else:
            events = draw_schedule(
                seed, seconds=options.seconds, planned_only=options.planned
            )
        run_options = {"nodes": options.nodes, "folder": options.folder / str(seed)}
        figures = run_seed(seed, events, **run_options)
        if figures["violations"] and options.shrink:
            needed = shrink_seed(seed, events, **run_options)
            figures["needed"] = [asdict(event) for event in needed]
        print(json.dumps(figures), flush=True)
        is_kept = is_kept and not figures["violations"]
    return 0 if is_kept else 1


if __name__ == "__main__":
    sys.exit(main())
