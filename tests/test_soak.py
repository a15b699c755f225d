"""Tests of the checks of the soak, and a short seeded soak."""

import json
import subprocess
import sys
from dataclasses import asdict
from random import Random
from types import SimpleNamespace

import eventlet
from httptools import HttpRequestParser
from testtools import TestCase

from soak._callers import Caller, encodings_by_name
from soak._faults import Event, choose_node
from soak._promises import Attempt, History, Run, violations_of
from soak._shrink import shrink

SOAK_TIMEOUT_S = 150
LAST_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


def attempt(request_id="q", **changes):
    """Return an attempt that ended as it should."""
    values = {
        "node_id": "node-1",
        "is_safe": False,
        "sent_at": 10.0,
        "last_byte_at": 10.3,
        "ended_at": 10.4,
        "status": 200,
        "seal": f"seal-{request_id}",
        "body": f"POST /booking/{request_id}".encode(),
    }
    return Attempt(request_id, **{**values, **changes})


RUN = Run("q", "i-1", 10.1)
# The caller closed the connection after the answer to an earlier request.
CLOSED = {"status": 0, "position": 2, "is_after_close": True}
EARLY = {"status": 0, "last_byte_at": 10.1}
BROKEN_HISTORIES_BY_PROMISE = {
    "whole_own_answers": [
        History([attempt(seal="seal-other")], [RUN]),
        History([attempt(body=b"POST /booking/other")], [RUN]),
        History([attempt(body=b"")], [RUN]),
        History([attempt(payload=b"xx")], [RUN]),
    ],
    "unsafe_at_most_once": [History([attempt()], [RUN, Run("q", "i-2", 10.5)])],
    "refused_did_not_run": [
        History([attempt(status=status)], [RUN]) for status in (408, 421, 429, 503)
    ],
    "nothing_after_drain": [History([attempt()], [RUN], drained_at={"i-1": 8.0})],
    "stops_cut_nothing": [
        History([attempt(status=0)], [RUN], stops=[("node-1", 9.0)]),
        History([attempt(status=0)], [RUN], stops=[("node-1", 11.0)]),
        History(
            [attempt("p", position=1), attempt(status=0, position=2)],
            [Run("p", "i-1", 10.0), RUN],
            stops=[("node-1", 9.0)],
        ),
    ],
    "sent_requests_are_answered": [
        History([attempt(**EARLY)], []),
        History([attempt(**EARLY)], [RUN]),
        History([attempt(**EARLY)], [], stops=[("node-1", 9.0)]),
        History([attempt(**CLOSED | EARLY)], []),
    ],
    "nothing_runs_after_announced_close": [
        History([attempt(**CLOSED)], [RUN]),
        History([attempt(**CLOSED)], [Run("q", "i-1", 10.6)]),
        History([attempt(**CLOSED, is_safe=True)], [RUN], disturbed=[(8.0, 8.5)]),
    ],
    "planned_faults_leave_outcomes_known": [
        History([attempt(status=502)], [RUN], disturbed=[(6.0, 6.5)]),
        History([attempt(status=504)], []),
        History([attempt(status=499)], []),
        History([attempt(status=400)], []),
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
            History([attempt(status=502)], [RUN], disturbed=[(8.0, 8.5)]),
            History([attempt(is_safe=True)], [RUN, Run("q", "i-2", 10.5)]),
            History([attempt()], [RUN], drained_at={"i-1": 9.0}),
            History(
                [attempt(status=0)],
                [RUN],
                stops=[("node-1", 9.0)],
                disturbed=[(8.0, 8.5)],
            ),
            History([attempt(status=0)], [], stops=[("node-1", 9.0)]),
            History([attempt(**CLOSED)], []),
            History([attempt(**EARLY)], [RUN], disturbed=[(8.0, 8.5)]),
            History([attempt(**EARLY, is_given_up=True)], [RUN]),
            History([attempt(status=0, last_byte_at=0.0)], []),
        ):
            self.assertEqual({}, violations_of(history))


def answer_once_per_connection(listener):
    """Announce the close in the first answer and wait until the caller closes."""
    while True:
        sock, _ = listener.accept()
        sock.recv(65_536)
        eventlet.sleep(0.05)
        sock.sendall(LAST_ANSWER)
        while sock.recv(65_536):
            pass
        sock.close()


class CallerTest(TestCase):
    """Requests of the callers, and what they note about them."""

    def test_parts_of_each_encoding_are_one_request(self):
        """Guards against a soak whose requests are all refused."""
        head = b"POST /booking/q HTTP/1.1\r\nHost: mesh.example\r\n"
        for encoding in encodings_by_name.values():
            body = []
            parser = HttpRequestParser(SimpleNamespace(on_body=body.append))
            for part in encoding(head, b"abc" * 100, Random(1)):
                parser.feed_data(part)
            self.assertEqual(b"abc" * 100, b"".join(body))

    def test_caller_leaves_after_an_announced_close(self):
        """Guards against a soak that does not see what runs after such an answer."""
        listener = eventlet.listen(("127.0.0.1", 0))
        server = eventlet.spawn(answer_once_per_connection, listener)
        self.addCleanup(server.kill)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        node = SimpleNamespace(node_id="node-1", addresses={"call": address})
        world = SimpleNamespace(seed=1, history=History(), is_calling=True)
        thread = eventlet.spawn(Caller("c", node, world).run)
        while len(world.history.attempts) < 20:
            eventlet.sleep(0.01)
        world.is_calling = False
        thread.wait()
        answered = [a for a in world.history.attempts if a.status]
        unanswered = [a for a in world.history.attempts if not a.status]
        self.assertEqual({1}, {a.position for a in answered})
        self.assertEqual({True}, {a.is_after_close for a in unanswered})


class ShrinkTest(TestCase):
    """Reduction of schedules."""

    def needed_of(self, names, breaks):
        events = [Event(float(i), name, 0.3, i) for i, name in enumerate(names)]
        shrunk = shrink(events, lambda part: breaks({event.name for event in part}))
        return "".join(event.name for event in shrunk)

    def test_only_the_faults_that_are_needed_are_kept(self):
        """Guards against reports that hide the cause among other faults."""
        self.assertEqual("ce", self.needed_of("abcdefg", {"c", "e"}.issubset))
        self.assertEqual("g", self.needed_of("abcdefg", {"g"}.issubset))

    def test_schedule_whose_failure_does_not_recur_is_kept(self):
        """Guards against a report without the schedule that failed."""
        self.assertEqual("abc", self.needed_of("abc", lambda names: False))


class ChooseNodeTest(TestCase):
    """Choice of the node of a fault."""

    def test_fault_waits_while_all_nodes_are_down(self):
        """Guards against a run that ends when all nodes are stopped at once."""
        node = SimpleNamespace(is_down=True)
        eventlet.spawn(setattr, node, "is_down", False)
        with eventlet.Timeout(5):
            chosen = choose_node(SimpleNamespace(nodes=[node]), Random(1))
        self.assertIs(node, chosen)


def run_soak(folder, *options):
    """Return the figures of each seed, and what the soak wrote to its error output."""
    run = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "soak", "--folder", str(folder)]
        + list(options),
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_S,
    )
    return [json.loads(line) for line in run.stdout.splitlines()], run.stderr


def test_short_soak_keeps_all_promises(tmp_path):
    """Guards against faults that only real processes under signals show."""
    lines, errors = run_soak(tmp_path, "--seed", "1", "--count", "2", "--seconds", "15")
    assert [line["violations"] for line in lines] == [{}, {}], errors
    assert all(line["runs"] for line in lines)


def test_planned_stops_in_series_cut_nothing(tmp_path):
    """Guards against stops of several nodes, with repeated signals, that cut calls."""
    (line,), errors = run_soak(tmp_path, "--seed", "3", "--seconds", "10", "--planned")
    assert line["violations"] == {}, errors
    assert line["faults"]["stop_several"] >= 2
    # Without a status: the node was down. Refused: all nodes of the service stopped.
    assert line["statuses"].keys() <= {"200", "0", "503"}


def test_nothing_is_sent_after_leaves_whose_reports_are_late(tmp_path):
    """Guards against late reports that make upstreams ready again after a leave."""
    events = [
        asdict(Event(0.5 + 1.2 * number, "leave_before_late_report", late_s, number))
        for number, late_s in enumerate((1.0, 2.5) * 3)
    ]
    schedule = tmp_path / "schedule.json"
    schedule.write_text(json.dumps(events))
    (line,), errors = run_soak(
        tmp_path, "--seed", "1", "--seconds", "8", "--schedule", str(schedule)
    )
    assert line["violations"] == {}, errors
    assert line["faults"] == {"leave_before_late_report": 6}
