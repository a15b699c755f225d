"""Contract tests on real sockets, generated from the fault table."""

import ast
from pathlib import Path

import eventlet
from loguru import logger
from testtools import TestCase

import verbenawick
from tests.call_support import Caller, wait_until
from tests.fault_mesh import SLOW_RUN_S, FaultMesh
from tests.fault_table import ROWS, Fault, FaultRow, Interface, RequestKind, Step

KEY = "key-1"
BODY = b"fee=1"
SHORT_TIMEOUT_MS = 400
LONG_TIMEOUT_MS = 3000
CALL_PATH_MODULES = (
    "calls._entry",
    "calls._dispatch",
    "calls._gateway",
    "claims._claims",
    "links._call_links",
)


class FaultTableTest(TestCase):
    """Checks the outcome, the number of runs and the outcome of a retry of each row."""

    def setUp(self):
        super().setUp()
        logger.disable("verbenawick")
        self.addCleanup(logger.enable, "verbenawick")
        self.mesh = FaultMesh()
        self.addCleanup(self.mesh.close)

    def check(self, row: FaultRow) -> None:
        """Check one row."""
        self.mesh.inject(row, KEY)
        outcome = self.call(row)
        if row.step is Step.CONNECT and row.kind is not RequestKind.KEYED:
            self.call_until_fault_is_met(row)
        self.assertEqual((row.outcome, row.runs), (outcome, len(self.mesh.runs)))
        if row.retry:
            outcome = self.retry()
            self.assertEqual(
                (row.retry, row.runs_after_retry), (outcome, len(self.mesh.runs))
            )

    def call_until_fault_is_met(self, row: FaultRow) -> None:
        """Call until the entry tried a second node; then count the runs as one call."""
        attempts = self.mesh.entry.metrics.totals
        calls = 1
        while attempts()["calls.attempts"] == calls:
            calls += 1
            self.assertLess(calls, 30, "the balancer never chose the failed node")
            self.assertEqual(row.outcome, self.call(row))
        self.assertEqual(calls, len(self.mesh.runs))
        del self.mesh.runs[1:]

    def call(self, row: FaultRow) -> str:
        """Make the call that meets the fault; return its outcome."""
        method = "GET" if row.kind is RequestKind.REPEATABLE else "POST"
        timeout_ms = SHORT_TIMEOUT_MS if row.fault is Fault.FREEZE else LONG_TIMEOUT_MS
        headers = {"Request-Timeout": str(timeout_ms)}
        if row.kind is RequestKind.KEYED:
            headers["Idempotency-Key"] = KEY
            headers["Attempt"] = "1"
        if row.interface is Interface.CALLER:
            return self.call_with_caller_fault(row, method, headers)
        return (
            self.new_caller().call(method, "/fee", body=BODY, headers=headers).outcome
        )

    def call_with_caller_fault(self, row: FaultRow, method: str, headers) -> str:
        """Make a call whose caller is slow, disconnects or stops reading."""
        caller = self.new_caller()
        head = f"{method} /fee HTTP/1.1\r\nHost: a\r\nContent-Length: {len(BODY)}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        sock = caller.connection.sock
        if row.step is Step.REQUEST:
            sock.sendall(head.encode() + b"\r\n" + BODY[:2])
            eventlet.sleep(SLOW_RUN_S / 2)
            if row.fault is Fault.DELAY:
                sock.sendall(BODY[2:])
                return "complete" if b"complete" in sock.recv(4096) else "unknown"
            sock.close()
            eventlet.sleep(SLOW_RUN_S / 2)
            return "gone"
        sock.sendall(head.encode() + b"\r\n" + BODY)
        wait_until(lambda: self.mesh.runs)
        if row.fault is Fault.RESET:
            sock.close()
        # Wait for the run and its answer to end before the second attempt.
        eventlet.sleep(2 * SLOW_RUN_S)
        return "gone"

    def retry(self) -> str:
        """Retry with the same key until the first attempt ended; return the outcome."""
        for attempt in range(2, 12):
            response = self.new_caller().call(
                "POST",
                "/fee",
                body=BODY,
                headers={
                    "Request-Timeout": str(SHORT_TIMEOUT_MS),
                    "Idempotency-Key": KEY,
                    "Attempt": str(attempt),
                },
            )
            if response.code != "claim.in-progress":
                break
            eventlet.sleep(SLOW_RUN_S / 2)
        return response.outcome

    def new_caller(self) -> Caller:
        """Return a caller with a new connection to the entry."""
        caller = Caller(self.mesh.entry.call_address)
        self.addCleanup(caller.close)
        return caller

    def test_call_path_does_not_import_the_store(self):
        """Guards against calls that wait for the store; the store rows rely on this."""
        reached, pending = set(), list(CALL_PATH_MODULES)
        while pending:
            name = pending.pop()
            if name not in reached:
                reached.add(name)
                pending.extend(_imported_modules(name))
        self.assertIn("claims._claim_records", reached)
        self.assertNotIn("store._store", reached)


def _imported_modules(name: str) -> list[str]:
    path = Path(verbenawick.__path__[0], *name.split(".")).with_suffix(".py")
    source = path.read_text()
    return [
        node.module.removeprefix("verbenawick.")
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.ImportFrom)
        and (node.module or "").startswith("verbenawick.")
    ]


def _make_test(row: FaultRow):
    def test(self):
        self.check(row)

    test.__doc__ = (
        f"Guards against an outcome other than {row.outcome} after this fault."
    )
    return test


for _row in ROWS:
    if not _row.untested_reason:
        setattr(FaultTableTest, f"test_{_row.name}", _make_test(_row))
