"""Tests of the checks of the soak, and a short seeded soak."""

import json
import subprocess
import sys

from testtools import TestCase

from soak._promises import Attempt, History, Run, violations_of

SOAK_TIMEOUT_S = 150


def attempt(request_id="q", **changes):
    """Return an attempt that ended as it should."""
    values = {
        "node_id": "node-1",
        "is_safe": False,
        "sent_at": 10.0,
        "status": 200,
        "seal": f"seal-{request_id}",
        "body": f"POST /booking/{request_id}".encode(),
        "was_sent": True,
    }
    return Attempt(request_id, **{**values, **changes})


RUN = Run("q", "i-1", 10.1)
BROKEN_HISTORIES_BY_PROMISE = {
    "whole_own_answers": [
        History([attempt(seal="seal-other")], [RUN]),
        History([attempt(body=b"POST /booking/other")], [RUN]),
        History([attempt(body=b"")], [RUN]),
    ],
    "unsafe_at_most_once": [History([attempt()], [RUN, Run("q", "i-2", 10.5)])],
    "refused_did_not_run": [
        History([attempt(status=status)], [RUN]) for status in (408, 421, 429, 503)
    ],
    "nothing_after_drain": [History([attempt()], [RUN], drained_at={"i-1": 8.0})],
    "stops_cut_nothing": [
        History([attempt(status=0)], [RUN], stops=[("node-1", 9.0)]),
        History([attempt(status=0)], [RUN], stops=[("node-1", 11.0)]),
    ],
    "versions_never_back": [History(versions_by_process={"node-1.1": [1, 4, 3]})],
    "processes_stay": [
        History(own_exits=["node-1"]),
        History(unready=["node-1"]),
        History(peak_mb_by_process={"node-1": 300.0}),
    ],
}


class PromisesTest(TestCase):
    """Histories that break exactly one promise."""

    def test_each_broken_promise_is_reported(self):
        """Guards against a soak that sees nothing."""
        for name, histories in BROKEN_HISTORIES_BY_PROMISE.items():
            for history in histories:
                self.assertEqual([name], list(violations_of(history)))

    def test_permitted_histories_are_not_reported(self):
        """Guards against findings that are no faults."""
        for history in (
            History([attempt()], [RUN]),
            History([attempt(status=503)], []),
            History([attempt(status=502)], [RUN]),
            History([attempt(is_safe=True)], [RUN, Run("q", "i-2", 10.5)]),
            History([attempt()], [RUN], drained_at={"i-1": 9.0}),
            History(
                [attempt(status=0)],
                [RUN],
                stops=[("node-1", 9.0)],
                disturbed=[(8.0, 8.5)],
            ),
            History([attempt(status=0)], [], stops=[("node-1", 9.0)]),
        ):
            self.assertEqual({}, violations_of(history))


def test_short_soak_keeps_all_promises(tmp_path):
    """Guards against faults that only real processes under signals show."""
    run = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "soak", "--seed", "1"]
        + ["--count", "2", "--seconds", "15", "--folder", str(tmp_path)],
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_S,
    )
    lines = [json.loads(line) for line in run.stdout.splitlines()]
    assert [line["violations"] for line in lines] == [{}, {}], run.stderr
    assert all(line["runs"] for line in lines)
