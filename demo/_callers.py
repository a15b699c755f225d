"""Callers of the demonstration: threads that send requests and check responses."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError, NewConnectionError

from standins.processes import VirtualMachine

CALL_TIMEOUT_S = 12.0
MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.15
PAUSE_BETWEEN_CALLS_S = 0.02
RECENT_FAILURES_KEPT = 20
PLANNED_FAILURES_KEPT = 200


@dataclass
class CallLog:
    """Results of all callers of a deployment; guarded by `lock`."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    calls: int = 0
    keyed_ids: set[str] = field(default_factory=set)
    not_run_ids: set[str] = field(default_factory=set)
    unknown_ids: set[str] = field(default_factory=set)
    failed_when_planned: int = 0
    wrong_answers: int = 0
    cut_in_flight: int = 0
    cut_ids: list[str] = field(default_factory=list)
    counts_by_code: Counter = field(default_factory=Counter)
    recent_failures: list[str] = field(default_factory=list)
    planned_failures: list[str] = field(default_factory=list)

    def add_failure(self, text: str, *, is_planned: bool) -> None:
        """Keep a line for the report.

        Parameters
        ----------
        is_planned : bool
            Whether no failure was accepted when it happened. These lines are kept apart
            from the first on, so that those of a later phase do not displace them.
        """
        if is_planned and len(self.planned_failures) < PLANNED_FAILURES_KEPT:
            self.planned_failures.append(text)
        self.recent_failures.append(text)
        del self.recent_failures[:-RECENT_FAILURES_KEPT]


class Callers:
    """Threads that call random nodes until they are stopped.

    Parameters
    ----------
    read_path : str
        Path prefix of read requests, sent with GET.
    write_paths : tuple of str
        Path prefixes of requests that must not run twice, sent with POST and a key.

    Attributes
    ----------
    allows_failures : bool
        Whether failed calls and cut connections are accepted, as when nodes are killed.
    """

    def __init__(
        self,
        vms: tuple[VirtualMachine, ...],
        *,
        read_path: str,
        write_paths: tuple[str, ...],
        thread_count: int,
        seed: int,
    ):
        self.log = CallLog()
        self.allows_failures = False
        self._vms = vms
        self._read_path = read_path
        self._write_paths = write_paths
        self._started_at = time.monotonic()
        self._stop_requested = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(Random(seed * 1000 + n), n))
            for n in range(thread_count)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Finish the calls in flight and end the threads."""
        self._stop_requested.set()
        for thread in self._threads:
            thread.join()

    def _run(self, random: Random, thread_number: int) -> None:
        http = PoolManager(maxsize=1, timeout=Timeout(CALL_TIMEOUT_S), retries=False)
        number = 0
        while not self._stop_requested.is_set():
            number += 1
            self._call(http, random, f"call-{thread_number}-{number}")
            time.sleep(PAUSE_BETWEEN_CALLS_S)

    def _call(self, http: PoolManager, random: Random, request_id: str) -> None:
        method, path, headers, body = self._make_request(random, request_id)
        entries = random.sample(self._vms, len(self._vms))
        was_checked = not self.allows_failures
        possible_runs = 0
        for entry in entries[:MAX_ATTEMPTS]:
            if "Idempotency-Key" in headers:
                # Attempts that are known not to have run are not counted.
                headers["Attempt"] = str(possible_runs + 1)
            url = f"http://{entry.call_address}{path}"
            outcome = self._send(http, method, url, headers, body, request_id)
            if outcome == "complete":
                break
            possible_runs += outcome == "unknown"
            time.sleep(RETRY_DELAY_S)
        if outcome == "not-run" and possible_runs:
            outcome = "unknown"
        is_failed = was_checked and not self.allows_failures and outcome != "complete"
        if is_failed:
            with self.log.lock:
                self._add_failure(f"{request_id} {method} ended as {outcome}")
        self._record(request_id, headers, outcome, is_failed)

    def _make_request(self, random: Random, request_id: str):
        headers = {"Request-Id": request_id}
        share = random.random()
        if share < 0.6:
            return "GET", f"{self._read_path}{request_id}", headers, b""
        path = random.choice(self._write_paths)
        headers["Idempotency-Key"] = request_id
        if share < 0.75:
            # A call of a service, sent through the node beside it.
            headers["Call-Depth"] = "1"
        body = random.randbytes(random.randint(1, 2000))
        return "POST", f"{path}{request_id}", headers, body

    def _send(self, http, method, url, headers, body, request_id) -> str:
        try:
            response = http.request(method, url, headers=headers, body=body or None)
        except NewConnectionError:
            return "not-run"
        except HTTPError as error:
            self._record_cut(request_id, f"{error!r} {url}")
            return "unknown"
        outcome = response.headers.get("Verbenawick-Outcome", "missing")
        if outcome != "complete" or response.status != 200:
            code = response.headers.get("Verbenawick-Code", str(response.status))
            with self.log.lock:
                self.log.counts_by_code[f"{outcome} {code}"] += 1
                self._add_failure(f"{request_id} {outcome} {code} {url}")
            return "unknown" if outcome in ("complete", "missing") else outcome
        is_echoed = response.headers.get("Upstream-Request-Id") == request_id
        if not is_echoed or (body and response.data != body):
            with self.log.lock:
                self.log.wrong_answers += 1
        return outcome

    def _record_cut(self, request_id: str, text: str) -> None:
        with self.log.lock:
            self._add_failure(f"{request_id} {text}")
            if not self.allows_failures:
                self.log.cut_in_flight += 1
                self.log.cut_ids.append(request_id)

    def _add_failure(self, text: str) -> None:
        self.log.add_failure(
            f"{time.monotonic() - self._started_at:.3f} s {text}",
            is_planned=not self.allows_failures,
        )

    def _record(self, request_id, headers, outcome: str, is_failed: bool) -> None:
        with self.log.lock:
            self.log.calls += 1
            self.log.failed_when_planned += is_failed
            if "Idempotency-Key" in headers:
                self.log.keyed_ids.add(request_id)
            if outcome == "not-run":
                self.log.not_run_ids.add(request_id)
            elif outcome != "complete":
                self.log.unknown_ids.add(request_id)
