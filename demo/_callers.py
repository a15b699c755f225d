"""Callers of the demonstration: threads that send requests and check the answers."""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError, NewConnectionError

from standins.processes import Place

CALL_TIMEOUT_S = 12.0
MAX_ATTEMPTS = 6
RETRY_PAUSE_S = 0.15
PAUSE_BETWEEN_CALLS_S = 0.02
RECENT_FAILURES_KEPT = 20


@dataclass
class CallLog:
    """What all callers of a deployment saw; guarded by `lock`."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    calls: int = 0
    keyed_ids: set[str] = field(default_factory=set)
    not_run_ids: set[str] = field(default_factory=set)
    unknown_ids: set[str] = field(default_factory=set)
    failed_when_planned: int = 0
    wrong_answers: int = 0
    cut_in_flight: int = 0
    counts_by_code: Counter = field(default_factory=Counter)
    recent_failures: list[str] = field(default_factory=list)

    def note_failure(self, text: str) -> None:
        """Keep a line for the report; the oldest one is dropped at the bound."""
        self.recent_failures.append(text)
        del self.recent_failures[:-RECENT_FAILURES_KEPT]


class Callers:
    """Threads that call random nodes until they are stopped.

    Parameters
    ----------
    reading_path : str
        Path prefix of requests that are only read.
    writing_paths : tuple of str
        Path prefixes of requests that may not be repeated.

    Attributes
    ----------
    expects_cuts : bool
        Whether failed calls are allowed now, since a node was killed.
    """

    def __init__(
        self,
        places: tuple[Place, ...],
        *,
        reading_path: str,
        writing_paths: tuple[str, ...],
        thread_count: int,
        seed: int,
    ):
        self.log = CallLog()
        self.expects_cuts = False
        self._places = places
        self._reading_path = reading_path
        self._writing_paths = writing_paths
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(Random(seed * 1000 + n), n))
            for n in range(thread_count)
        ]

    def start(self) -> None:
        """Start calling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Finish the calls in flight and end the threads."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, random: Random, thread_number: int) -> None:
        http = PoolManager(maxsize=1, timeout=Timeout(CALL_TIMEOUT_S), retries=False)
        number = 0
        while not self._is_stopped.is_set():
            number += 1
            self._call(http, random, f"call-{thread_number}-{number}")
            time.sleep(PAUSE_BETWEEN_CALLS_S)

    def _call(self, http: PoolManager, random: Random, request_id: str) -> None:
        method, path, headers, body = self._make_request(random, request_id)
        entries = random.sample(self._places, len(self._places))
        was_planned = not self.expects_cuts
        may_have_run = 0
        for entry in entries[:MAX_ATTEMPTS]:
            if "Idempotency-Key" in headers:
                # An attempt that is known not to have run does not count.
                headers["Attempt"] = str(may_have_run + 1)
            url = f"http://{entry.call_address}{path}"
            outcome = self._send(http, method, url, headers, body, request_id)
            if outcome == "complete":
                break
            may_have_run += outcome == "unknown"
            time.sleep(RETRY_PAUSE_S)
        if outcome == "not-run" and may_have_run:
            outcome = "unknown"
        is_failed = was_planned and not self.expects_cuts and outcome != "complete"
        self._record(request_id, headers, outcome, is_failed)

    def _make_request(self, random: Random, request_id: str):
        headers = {"Request-Id": request_id}
        share = random.random()
        if share < 0.6:
            return "GET", f"{self._reading_path}{request_id}", headers, b""
        path = random.choice(self._writing_paths)
        headers["Idempotency-Key"] = request_id
        if share < 0.75:
            # As a service sends it through the node beside it.
            headers["Call-Depth"] = "1"
        body = random.randbytes(random.randint(1, 2000))
        return "POST", f"{path}{request_id}", headers, body

    def _send(self, http, method, url, headers, body, request_id) -> str:
        try:
            response = http.request(method, url, headers=headers, body=body or None)
        except NewConnectionError:
            return "not-run"
        except HTTPError as error:
            self._note_cut(f"{request_id} {type(error).__name__} {url}")
            return "unknown"
        outcome = response.headers.get("Verbenawick-Outcome", "missing")
        if outcome != "complete" or response.status != 200:
            code = response.headers.get("Verbenawick-Code", str(response.status))
            with self.log.lock:
                self.log.counts_by_code[f"{outcome} {code}"] += 1
                self.log.note_failure(f"{request_id} {outcome} {code} {url}")
            return "unknown" if outcome in ("complete", "missing") else outcome
        is_own = response.headers.get("Upstream-Request-Id") == request_id
        if not is_own or (body and response.data != body):
            with self.log.lock:
                self.log.wrong_answers += 1
        return outcome

    def _note_cut(self, text: str) -> None:
        with self.log.lock:
            self.log.note_failure(text)
            if not self.expects_cuts:
                self.log.cut_in_flight += 1

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
