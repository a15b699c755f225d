"""Commands, run against the stand-in store as operators and programs use them.

Guards against exit codes and output that contradict the actual state.
"""

import io
import json
import os
import subprocess
import sys
import threading
from contextlib import ExitStack, redirect_stderr, redirect_stdout
from dataclasses import asdict
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock
from wsgiref.simple_server import WSGIRequestHandler, make_server

from testtools import TestCase
from testtools.matchers import Contains

from standins.store import ObjectStore, StoreApplication, running_store
from tests.test_document import EXAMPLES
from verbenawick.configuration import _acceptance, _head_update
from verbenawick.configuration._fleet_status import (
    RegionState,
    read_fleet_status,
    wait_until_in_force,
)
from verbenawick.configuration._status import (
    BehindCause,
    NodeStatus,
    RegionStatus,
    encode_region_status,
)
from verbenawick.node._admin import AdminPages
from verbenawick.operators._cli import build_parser, run
from verbenawick.operators._commands import commands_by_name
from verbenawick.runtime._clock import ManualClock
from verbenawick.runtime._exit_codes import DESCRIPTIONS_BY_EXIT_CODE, ExitCode
from verbenawick.runtime._explain import DecisionRecord
from verbenawick.store._lease import LeaseReleased
from verbenawick.store._store import StoreClient

ANDINA = str(EXAMPLES / "andina.json5")
GUILD = str(EXAMPLES / "guild.json5")


def region_status(region, counts_by_version, *, node_count=2, unknown_count=0):
    """Return a region status, with a node behind if versions 1 and 2 both occur."""
    node = NodeStatus("n-1", "dc-1", 1, 1, BehindCause.REFUSED, 3.0, "config.invalid")
    is_behind = 1 in counts_by_version and 2 in counts_by_version
    return RegionStatus(
        region=region,
        relay="n-2",
        accepted_version=max(counts_by_version, default=0),
        node_count=node_count,
        counts_by_version=counts_by_version,
        unknown_count=unknown_count,
        behind=(node,) if is_behind else (),
        behind_count=int(is_behind),
    )


class QuietHandler(WSGIRequestHandler):
    """Request handler without an access log."""

    def log_message(self, *arguments):
        """Discard the message."""


class CliCase(TestCase):
    """Base class of tests that run commands against the stand-in store."""

    def setUp(self):
        super().setUp()
        resources = ExitStack()
        self.addCleanup(resources.close)
        self.clock = ManualClock()
        self.application = StoreApplication(ObjectStore(self.clock))
        self.address = resources.enter_context(running_store(self.application))
        self.client = StoreClient(self.address)

    def run_command(self, *arguments):
        """Run a command; return its exit code, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        with redirect_stdout(out), redirect_stderr(err):
            try:
                exit_code = run(arguments)
            except SystemExit as error:
                exit_code = error.code
        return exit_code, out.getvalue(), err.getvalue()

    def ctl(self, *arguments):
        """Run a ``ctl`` command against the store."""
        return self.run_command("ctl", "--store", self.address, *arguments)

    def ctl_json(self, *arguments):
        """Run a ``ctl`` command; return its exit code and JSON output."""
        exit_code, out, _ = self.ctl(*arguments, "--json")
        return exit_code, json.loads(out)

    def write_status(self, *statuses):
        """Write status objects as region relays do."""
        for status in statuses:
            key = f"status/{status.region}"
            version = self.client.get(key).version
            value = encode_region_status(status)
            self.client.update(key, value, expected_version=version)


class TestChanges(CliCase):
    """Commands that change the configuration, and their exit codes."""

    def test_accepted_change_reports_its_version(self):
        exit_code, out, _ = self.ctl("apply", ANDINA)
        self.assertEqual(ExitCode.DONE, exit_code)
        self.assertThat(out, Contains("accepted as version 1"))
        exit_code, data = self.ctl_json("preset", "switch", "peak")
        self.assertEqual((ExitCode.DONE, 2), (exit_code, data["version"]))
        self.assertEqual("peak", self.ctl_json("preset", "show")[1]["preset"])

    def test_author_and_summary_are_in_the_history(self):
        self.ctl("--author", "ana", "apply", ANDINA, "--summary", "first")
        _, out, _ = self.ctl("history")
        self.assertThat(out, Contains("first"))
        _, data = self.ctl_json("history")
        self.assertEqual("ana", data["changes"][0]["author"])

    def test_shown_document_can_be_edited_and_applied(self):
        self.ctl("apply", ANDINA)
        _, out, _ = self.ctl("show")
        with TemporaryDirectory() as directory:
            path = Path(directory) / "mesh.json5"
            path.write_text(out.replace('"max_attempts": 3', '"max_attempts": 4', 1))
            _, diff, _ = self.ctl("diff", str(path))
            self.assertEqual("policies_by_id.reads.max_attempts: 3 -> 4", diff.strip())
            self.assertEqual(5, self.ctl("apply", str(path), "--base", "0")[0])
            self.assertEqual(0, self.ctl("apply", str(path), "--base", "1")[0])

    def test_rejected_inputs_change_nothing(self):
        self.ctl("apply", ANDINA)
        with TemporaryDirectory() as directory:
            path = Path(directory) / "mesh.json5"
            text = Path(ANDINA).read_text(encoding="utf-8")
            path.write_text(text.replace('policy: "reads"', 'policy: "read"'))
            for command in ("validate", "diff", "apply"):
                exit_code, _, err = self.ctl(command, str(path))
                self.assertEqual(ExitCode.REFUSED, exit_code)
                self.assertThat(err, Contains("services_by_id.archivo.policy"))
        self.assertEqual(ExitCode.REFUSED, self.ctl("rollback", "7")[0])
        self.assertEqual(ExitCode.REFUSED, self.ctl("resolve", "none")[0])
        self.assertEqual(1, self.ctl_json("status")[1]["version"])

    def test_rollback_is_a_new_version(self):
        self.ctl("apply", ANDINA)
        self.ctl("apply", GUILD)
        self.assertEqual(3, self.ctl_json("rollback", "1")[1]["version"])

    def test_unavailable_store_is_reported_as_store_down(self):
        self.application.faults.outage = True
        for arguments in (["apply", ANDINA], ["status"], ["history"]):
            exit_code, data = self.ctl_json(*arguments)
            self.assertEqual(ExitCode.STORE_DOWN, exit_code)
            self.assertEqual("store-down", data["outcome"])

    def test_unknown_outcome_reports_the_resolve_command(self):
        self.ctl("apply", ANDINA)
        real_update = StoreClient.update

        def update_then_lose_store(client, key, value, *, expected_version):
            # The store applies the update and goes down before it responds.
            if key == "config/head":
                self.application.faults.lost_answers = 1
            try:
                return real_update(
                    client, key, value, expected_version=expected_version
                )
            finally:
                self.application.faults.outage = key == "config/head"

        with (
            mock.patch.object(StoreClient, "update", update_then_lose_store),
            mock.patch.object(_head_update, "RETRY_DELAY_S", 0.01),
            mock.patch.object(ManualClock, "now", side_effect=range(10_000)),
            mock.patch.object(_acceptance, "MonotonicClock", ManualClock),
        ):
            exit_code, data = self.ctl_json("preset", "switch", "peak")
        self.assertEqual(ExitCode.UNKNOWN, exit_code)
        change_id = data["error"]["change_id"]
        command = f"verbenawick ctl --store {self.address} resolve {change_id}"
        self.assertThat(data["error"]["message"], Contains(command))
        self.application.faults.outage = False
        self.assertEqual(2, self.ctl_json("resolve", change_id)[1]["version"])

    def test_wait_ends_when_in_force_everywhere_or_at_the_deadline(self):
        self.write_status(region_status("andina", {1: 2}))
        exit_code, data = self.ctl_json("apply", ANDINA, "--wait", "5")
        self.assertEqual((ExitCode.DONE, "done"), (exit_code, data["outcome"]))
        exit_code, data = self.ctl_json("preset", "switch", "peak", "--wait", "0")
        self.assertEqual(ExitCode.NOT_EVERYWHERE, exit_code)
        self.assertEqual((2, "behind"), (data["version"], data["status"]["state"]))


class TestStatus(CliCase):
    """Status; guards against reporting an unknown state as in force."""

    def setUp(self):
        super().setUp()
        self.ctl("apply", ANDINA)
        self.ctl("preset", "switch", "peak")

    def state_of(self, *statuses, age_s=0.0):
        """Return the state of version 2."""
        self.write_status(*statuses)
        self.clock.advance(age_s)
        return read_fleet_status(self.client, version=2).state

    def test_state_of_the_fleet(self):
        cases = [
            ("all", [region_status("a", {2: 2}), region_status("b", {2: 2})], 0),
            ("later", [region_status("a", {2: 1, 3: 1})], 0),
            ("behind", [region_status("a", {2: 2}), region_status("b", {1: 2})], 0),
            ("part", [region_status("a", {1: 1, 2: 1})], 0),
            ("silent", [region_status("a", {2: 1}, unknown_count=1)], 0),
            ("old", [region_status("a", {2: 2})], 15.1),
            ("fresh", [region_status("a", {2: 2})], 14.9),
            ("empty", [region_status("a", {}, node_count=0)], 0),
        ]
        in_force = {"all", "later", "fresh"}
        behind = {"behind", "part"}
        for name, statuses, age_s in cases:
            with self.subTest(name=name):
                for key in ("status/a", "status/b"):
                    version = self.client.get(key).version
                    if version:
                        self.client.delete(key, expected_version=version)
                expected = RegionState.UNKNOWN
                if name in in_force:
                    expected = RegionState.IN_FORCE
                if name in behind:
                    expected = RegionState.BEHIND
                self.assertEqual(expected, self.state_of(*statuses, age_s=age_s))

    def test_a_region_that_never_wrote_its_status_is_unknown(self):
        """The lease of a relay reveals a region that has not reported yet."""
        self.write_status(region_status("a", {2: 2}))
        self.assertEqual(ExitCode.DONE, self.ctl("status")[0])
        self.client.update("leases/region/b", b"{}", expected_version=0)
        exit_code, out, _ = self.ctl("status")
        self.assertEqual(ExitCode.NOT_EVERYWHERE, exit_code)
        self.assertThat(out, Contains("no status was written yet"))

    def test_missing_and_undecodable_statuses_are_unknown(self):
        self.assertEqual(RegionState.UNKNOWN, self.state_of())
        self.client.update("status/a", b"junk", expected_version=0)
        self.assertEqual(RegionState.UNKNOWN, self.state_of())

    def test_table_and_exit_code_report_nodes_behind_with_causes(self):
        self.write_status(region_status("andina", {1: 1, 2: 1}))
        exit_code, out, _ = self.ctl("status")
        self.assertEqual(ExitCode.NOT_EVERYWHERE, exit_code)
        for text in ("in force on 1 of 2 nodes", "n-1", "refused", "config.invalid"):
            self.assertThat(out, Contains(text))
        self.write_status(region_status("andina", {2: 2}))
        exit_code, out, _ = self.ctl("status")
        self.assertEqual(ExitCode.DONE, exit_code)
        self.assertThat(out, Contains("in force on all 2 nodes"))

    def test_stale_head_is_read_again(self):
        self.write_status(region_status("andina", {2: 2}))
        self.application.faults.stale_reads = 1
        self.assertEqual(2, read_fleet_status(self.client).head.version)

    def test_wait_continues_through_an_outage(self):
        self.write_status(region_status("andina", {2: 2}))
        self.application.faults.outage = True

        def end_outage(seconds):
            self.clock.advance(seconds)
            self.application.faults.outage = False

        status = wait_until_in_force(
            self.client, 2, 5.0, clock=self.clock, sleep=end_outage
        )
        self.assertEqual(RegionState.IN_FORCE, status.state)
        self.application.faults.outage = True
        self.assertIsNone(
            wait_until_in_force(
                self.client, 2, 5.0, clock=self.clock, sleep=self.clock.advance
            )
        )


class TestArguments(CliCase):
    """Command line arguments and help."""

    def test_invalid_arguments_end_with_the_usage_code(self):
        for arguments in (
            [],
            ["ctl", "status"],
            ["ctl", "--store", "localhost", "status"],
            ["ctl", "--store", self.address, "preset", "switch", "holiday"],
            ["ctl", "--store", self.address, "apply", ANDINA, "--wait", "-1"],
            ["ctl", "--store", self.address, "rollback", "x"],
        ):
            with mock.patch.dict("os.environ", clear=True):
                self.assertEqual(ExitCode.USAGE, self.run_command(*arguments)[0])

    def test_check_reports_invalid_settings(self):
        exit_code, _, err = self.run_command("check", ANDINA)
        self.assertEqual(ExitCode.REFUSED, exit_code)
        self.assertThat(err, Contains("node_id"))

    def test_check_validates_platform_settings(self):
        """Both settings formats are validated by their own rules."""
        values = {
            "node_id": "n1",
            "data_centre": "dc1",
            "region": "north",
            **{
                f"{name}_address": f"127.0.0.1:{port}"
                for port, name in enumerate(
                    ("call", "peer", "readiness", "report", "metrics", "store"), 1
                )
            },
            "upstream": {"service": "s", "address": "127.0.0.1:80"},
        }
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "node.json5"
        for changes, expected, text in (
            ({}, ExitCode.DONE, "n1"),
            ({"store_address": "store:80"}, ExitCode.REFUSED, "store_address"),
            ({"retry_budget": {"ratio": 2}}, ExitCode.REFUSED, "retry_budget.ratio"),
            ({"colour": "red"}, ExitCode.REFUSED, "colour"),
        ):
            path.write_text(json.dumps({**values, **changes}))
            exit_code, out, err = self.run_command("check", str(path))
            self.assertEqual(expected, exit_code, err)
            self.assertThat(out + err, Contains(text))

    def test_process_ends_with_the_exit_code(self):
        for arguments, expected in (
            (["ctl", "validate", ANDINA], ExitCode.DONE),
            (["node", "--settings", ANDINA], ExitCode.REFUSED),
        ):
            result = subprocess.run(
                [sys.executable, "-W", "ignore", "-m", "verbenawick", *arguments],
                env={"PYTHONPATH": os.pathsep.join(sys.path)},
                capture_output=True,
                text=True,
                timeout=30,
            )
            self.assertEqual(expected, result.returncode, result.stderr)

    def test_help_lists_every_exit_code(self):
        _, out, _ = self.run_command("ctl", "--help")
        for text in DESCRIPTIONS_BY_EXIT_CODE.values():
            self.assertThat(out, Contains(text))

    def test_operators_page_lists_every_exit_code_and_command(self):
        page = (EXAMPLES.parent / "docs" / "operators.md").read_text(encoding="utf-8")
        for code in DESCRIPTIONS_BY_EXIT_CODE:
            self.assertThat(page, Contains(f"| {code:d} |"))
        for name in commands_by_name:
            self.assertThat(page, Contains(name.removeprefix("ctl ")))

    def test_every_command_has_a_parser(self):
        parser = build_parser()
        for line in ("check x", "node --settings x", "ctl show", "ctl history"):
            arguments = parser.parse_args(line.split())
            self.assertIn(arguments.command, commands_by_name)


class TestExplain(CliCase):
    """``ctl explain``, which reads the decisions of a node over HTTP."""

    def serve_page(self, value, path="/explain"):
        """Serve `value` as the page at `path`; return the address."""
        pages = AdminPages()
        pages.page(path)(lambda query: value if "bad" not in query else 1 / 0)
        server = make_server("127.0.0.1", 0, pages, handler_class=QuietHandler)
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f"127.0.0.1:{server.server_port}"

    def test_decisions_are_shown_in_order_with_cause_and_event_number(self):
        clock = ManualClock()
        record = DecisionRecord(clock)
        for number in (1, 2):
            record.add(LeaseReleased(f"leases/dc/{number}", number), cause="planned")
        values = [{**asdict(d), "age_s": 1.0} for d in record.decisions()]
        address = self.serve_page(values)
        exit_code, out, _ = self.run_command("ctl", "explain", "--node", address)
        self.assertEqual(ExitCode.DONE, exit_code)
        self.assertLess(out.index("leases/dc/1"), out.index("leases/dc/2"))
        self.assertThat(out, Contains("305"))
        self.assertThat(out, Contains("planned"))

    def test_route_of_a_call_is_shown_with_the_exit_code_of_its_outcome(self):
        """Scripts tell a call that would be refused by the exit code."""
        page = {"node": "n1", "refusal": None, "configuration": {"version": 7}}
        refusal = {"status": 401, "code": "call.unknown-key", "reason": "missing"}
        for value, expected, text in (
            (page, ExitCode.DONE, "version 7"),
            ({**page, "refusal": refusal}, ExitCode.REFUSED, "refused with 401"),
        ):
            address = self.serve_page(value, "/route")
            arguments = ("ctl", "route", "--node", address, "h.example", "/a/")
            exit_code, out, _ = self.run_command(*arguments)
            self.assertEqual(expected, exit_code)
            self.assertThat(out, Contains(text))
            exit_code, out, _ = self.run_command(*arguments, "--json")
            self.assertEqual(value["refusal"], json.loads(out)["refusal"])

    def test_wrong_arguments_of_a_route_are_told_apart(self):
        """A relative path, a key that cannot be read, and a node that is down."""
        node = ("ctl", "route", "--node", "127.0.0.1:1", "h.example")
        for arguments, expected in (
            ((*node, "a"), ExitCode.USAGE),
            ((*node, "/a", "--key-file", "/no/such/file"), ExitCode.REFUSED),
            ((*node, "/a"), ExitCode.NODE_DOWN),
        ):
            exit_code, _, _ = self.run_command(*arguments)
            self.assertEqual(expected, exit_code)

    def test_unreachable_node_is_reported_with_its_own_code(self):
        exit_code, _, err = self.run_command("ctl", "explain", "--node", "127.0.0.1:1")
        self.assertEqual(ExitCode.NODE_DOWN, exit_code)
        self.assertThat(err, Contains("node.page"))
