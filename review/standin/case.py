"""Runs a case with a time limit and turns its result into an exit code."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standin.deployment import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 112.0


def run_case(
    folder: Path, play: Callable[[Record, Path, bool], Awaitable[bool]]
) -> None:
    """Run `play` and exit with 1 if it says that the rule was broken."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.say("disruption:", "yes" if has_trouble else "no")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(
                _play_in_time(play(record, Path(temporary), has_trouble))
            )
        except (Exception, asyncio.CancelledError):
            record.say("the case could not run:", traceback.format_exc())
            sys.exit(NOT_RUN)
    record.say("rule broken" if is_broken else "rule held")
    sys.exit(BROKEN if is_broken else HELD)


async def _play_in_time(play: Awaitable[bool]) -> bool:
    """Run a case, which ends its processes also if this one is told to end."""
    task = asyncio.ensure_future(play)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, TIME_LIMIT_S)
