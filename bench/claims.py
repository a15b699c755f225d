"""Benchmark of claims at their owner, compared with claims kept in the store."""

import gc
import json
import subprocess
import sys
import time
import tracemalloc
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from itertools import count
from random import Random

import eventlet
from hdrh.histogram import HdrHistogram
from loguru import logger

from bench.calls import fetch, new_addresses
from bench.registry import register_benchmark
from verbenawick.claims._claim_messages import SealRequest
from verbenawick.claims._claim_records import ClaimTable
from verbenawick.claims._claims import ClaimCoordinator, ClaimLimits
from verbenawick.errors import StoreUnavailableError
from verbenawick.links._call_links import CallLinks
from verbenawick.links._call_messages import CallAnswer, Outcome
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CALL_CHANNEL, LinkServer
from verbenawick.links._members import Member
from verbenawick.membership._rendezvous import find_owner
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet
from verbenawick.store._store import StoreClient

SERVICE = "treasury"
# Members per service at the design size: 1,300 upstreams, 82 services.
MEMBER_COUNT = 16
# Between two data centres of a region.
ONE_WAY_DELAY_S = 0.001
BATCH_INTERVAL_S = 0.1
# 2,300 claims/s from 20 data centres (docs/design.md, section 5.1).
CLAIMS_PER_DATA_CENTRE = 115.0
RECORD_COUNT = 100_000
BODY_BYTES = 200
START_TIMEOUT_S = 10.0
MAX_LATENCY_US = 60_000_000

next_number = count().__next__


class StaticMembers:
    """Fixed member table of one service, without departed members."""

    def __init__(self, members: list[Member]):
        self._members = tuple(members)
        self._members_by_id = {m.node_id: m for m in members}

    def members_of(self, service_id: str) -> tuple[Member, ...]:
        """Return all members."""
        return self._members

    def departed_of(self, service_id: str) -> tuple:
        """Return no members; none ever departs."""
        return ()

    def member(self, node_id: str) -> Member | None:
        """Return the member with `node_id`, or None."""
        return self._members_by_id.get(node_id)

    def authority_deadline(self) -> float:
        """Return infinity; the authority to claim keys never ends."""
        return float("inf")


def configure(parser: ArgumentParser) -> None:
    """Add the arguments of ``bench claims``."""
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--owner-claims", type=int, default=5000, help="per round")
    parser.add_argument("--remote-claims", type=int, default=300, help="per round")
    parser.add_argument("--batch-seconds", type=float, default=2.0, help="per round")


class ClaimMethods:
    """The compared methods of claiming keys. Each returns latencies in seconds."""

    def __init__(self, stack: ExitStack, options: Namespace, store_address: str):
        self._options = options
        self._random = Random(options.seed)
        self.store = StoreClient(store_address)
        self.store_writes = {"store": 0, "batched": 0}
        self.claims = {"store": 0, "batched": 0}
        stable_members = [_member(f"n{number}") for number in range(MEMBER_COUNT)]
        self.owner = _coordinator("n0", stable_members, requests=None)
        self._stable_members = tuple(stable_members)
        self._sealing_coordinator = self._start_sealing_coordinator(stack)

    def _start_sealing_coordinator(self, stack: ExitStack) -> ClaimCoordinator:
        """Return the coordinator of a new member, whose keys another node seals."""
        own_address, earlier_address = new_addresses(2)
        members = [
            _member("new", own_address, recently_joined=True),
            _member("old", earlier_address),
        ]
        earlier_owner = _coordinator("old", members, requests=None)
        links = _links("old", earlier_address)
        links.register_handler(
            SealRequest, lambda peer, message, at: earlier_owner.answer_to(message)
        )
        server = LinkServer(
            _identity("old", earlier_address),
            {CALL_CHANNEL: links},
            delay_for=lambda ip: ONE_WAY_DELAY_S,
        )
        server.listen()
        eventlet.spawn_n(server.run)
        stack.callback(server.stop)
        own_links = _links("new", own_address)
        stack.callback(own_links.close)
        self._sealing_members = tuple(members)
        return _coordinator("new", members, requests=own_links)

    def claim_at_owner(self) -> list[float]:
        """Claim, confirm and finish keys at an owner that joined long ago."""
        return self._claim_at(
            self.owner, "n0", self._stable_members, self._options.owner_claims
        )

    def claim_sealed(self) -> list[float]:
        """Claim, confirm and finish keys at an owner that asks one earlier owner."""
        return self._claim_at(
            self._sealing_coordinator,
            "new",
            self._sealing_members,
            self._options.remote_claims,
        )

    def _claim_at(self, coordinator, node_id, members, claims) -> list[float]:
        latencies = []
        for key in _owned_keys(node_id, members, claims):
            answer = _answer()
            started_at = time.perf_counter()
            decision = coordinator.begin(
                key, fingerprint=b"f" * 16, attempt=1, deadline=time.monotonic() + 5
            )
            if decision.verdict != "run" or not coordinator.confirm(key):
                raise RuntimeError(f"{key} was not claimed: {decision.code}")
            coordinator.finish(key, answer)
            latencies.append(time.perf_counter() - started_at)
        return latencies

    def claim_in_store(self) -> list[float]:
        """Create one object in the store per claim."""
        latencies = []
        for _ in range(self._options.remote_claims):
            key = f"claims/{next_number()}"
            started_at = time.perf_counter()
            self.store.update(key, b"claimed", expected_version=0)
            latencies.append(time.perf_counter() - started_at)
        self.store_writes["store"] += len(latencies)
        self.claims["store"] += len(latencies)
        return latencies

    def claim_in_batches(self) -> list[float]:
        """Create one object per 100 ms, with all claims that arrived in that time."""
        latencies = []
        now = time.perf_counter()
        end_at = now + self._options.batch_seconds
        next_arrival_at = now + self._random.expovariate(CLAIMS_PER_DATA_CENTRE)
        while now < end_at:
            batch_end_at = now + BATCH_INTERVAL_S
            # Yields to the links, which are closed unless they exchange pings.
            eventlet.sleep(max(batch_end_at - time.perf_counter(), 0.0))
            arrivals = []
            while next_arrival_at < batch_end_at:
                arrivals.append(next_arrival_at)
                next_arrival_at += self._random.expovariate(CLAIMS_PER_DATA_CENTRE)
            if arrivals:
                keys = "\n".join(f"key-{next_number():036d}" for _ in arrivals)
                self.store.update(
                    f"batches/{next_number()}", keys.encode(), expected_version=0
                )
                written_at = time.perf_counter()
                latencies.extend(written_at - at for at in arrivals)
                self.store_writes["batched"] += 1
            # As in a node, a slow write delays the next batch.
            now = max(batch_end_at, time.perf_counter() - BATCH_INTERVAL_S)
        self.claims["batched"] += len(latencies)
        return latencies


@register_benchmark("claims", configure=configure)
def run(options: Namespace) -> dict:
    """Claims at their owner compared with claims in the store."""
    logger.disable("verbenawick")
    with ExitStack() as stack:
        address = stack.enter_context(_running_store())
        methods = ClaimMethods(stack, options, address)
        methods_by_name = {
            "owner": methods.claim_at_owner,
            "sealed": methods.claim_sealed,
            "store": methods.claim_in_store,
            "batched": methods.claim_in_batches,
        }
        histograms = {
            name: HdrHistogram(1, MAX_LATENCY_US, 3) for name in methods_by_name
        }
        store_calls_by_owner = 0
        order = Random(options.seed)
        for claim_keys in methods_by_name.values():
            claim_keys()  # warm up connections and caches
        for counts in (methods.store_writes, methods.claims):
            counts.update(dict.fromkeys(counts, 0))
        for _ in range(options.rounds):
            for name in order.sample(sorted(methods_by_name), len(methods_by_name)):
                before = _store_calls(address)
                latencies = methods_by_name[name]()
                if name in ("owner", "sealed"):
                    store_calls_by_owner += _store_calls(address) - before
                for latency_s in latencies:
                    histograms[name].record_value(max(1, int(latency_s * 1e6)))
    return {
        "latency_us": {name: _percentiles(h) for name, h in histograms.items()},
        "p50_ratio_to_store": _ratios(histograms, 50),
        "p99_ratio_to_store": _ratios(histograms, 99),
        "store_calls_of_owner_and_sealed": store_calls_by_owner,
        "store_writes_per_claim": {
            name: round(methods.store_writes[name] / methods.claims[name], 4)
            for name in methods.store_writes
        },
        "bytes_per_record": _bytes_per_record(),
        "one_way_ms": ONE_WAY_DELAY_S * 1000,
        "claims_per_s_in_batches": CLAIMS_PER_DATA_CENTRE,
    }


def _percentiles(histogram: HdrHistogram) -> dict[str, int]:
    return {
        "count": histogram.get_total_count(),
        "p50": histogram.get_value_at_percentile(50),
        "p99": histogram.get_value_at_percentile(99),
    }


def _ratios(histograms: dict[str, HdrHistogram], percentile: int) -> dict[str, float]:
    store_latency = histograms["store"].get_value_at_percentile(percentile)
    return {
        name: round(histogram.get_value_at_percentile(percentile) / store_latency, 4)
        for name, histogram in histograms.items()
    }


def _bytes_per_record() -> dict[str, int]:
    """Return the memory per record of a full table, with and without answers."""
    sizes = {}
    limits = ClaimLimits(max_answers_bytes=2**40)  # large enough to keep all answers
    for name, answer in (("with_answer", _answer), ("without_answer", None)):
        table = ClaimTable(MonotonicClock(), limits)
        gc.collect()
        tracemalloc.start()
        for number in range(RECORD_COUNT):
            key = f"key-{number:032d}"
            table.claim(key, number.to_bytes(16))
            if answer is not None:
                table.finish(key, answer())
        sizes[name] = tracemalloc.get_traced_memory()[0] // RECORD_COUNT
        tracemalloc.stop()
    return sizes


def _answer() -> CallAnswer:
    number = next_number()
    headers = (("Content-Type", "text/plain"), ("Request-Id", f"r{number}"))
    body = number.to_bytes(8) * (BODY_BYTES // 8)
    return CallAnswer(0, Outcome.COMPLETE, "", 200, headers, body, "n0")


def _owned_keys(node_id: str, members: tuple[Member, ...], key_count: int) -> list[str]:
    keys = []
    while len(keys) < key_count:
        key = f"key-{next_number():032d}"
        if find_owner(key, members).node_id == node_id:
            keys.append(key)
    return keys


def _member(node_id: str, address: str = "127.0.0.1:1", **fields) -> Member:
    return Member(node_id, 1, SERVICE, "dc", "ashanti", address, 14, **fields)


def _identity(node_id: str, address: str = "127.0.0.1:1") -> NodeIdentity:
    return NodeIdentity(node_id, 1, SERVICE, "dc", "ashanti", address)


def _links(node_id: str, address: str) -> CallLinks:
    return CallLinks(
        _identity(node_id, address),
        clock=MonotonicClock(),
        metrics=MetricSet(),
        delay_for=lambda ip: ONE_WAY_DELAY_S,
    )


def _coordinator(node_id: str, members: list[Member], *, requests) -> ClaimCoordinator:
    return ClaimCoordinator(
        _identity(node_id),
        members=StaticMembers(members),
        requests=requests,
        clock=MonotonicClock(),
    )


@contextmanager
def _running_store() -> Iterator[str]:
    """Run the stand-in store with the same delay as the links; yield its address."""
    (address,) = new_addresses(1)
    command = [sys.executable, "-W", "ignore", "-m", "standins.store"]
    options = ["--address", address, "--delay", f"127.={ONE_WAY_DELAY_S * 1000}"]
    process = subprocess.Popen([*command, *options])
    try:
        client = StoreClient(address)
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                client.get("ready")
                break
            except StoreUnavailableError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.05)
        yield address
    finally:
        process.terminate()
        process.wait(timeout=30)


def _store_calls(address: str) -> int:
    counters = json.loads(fetch(address, "/standin/counters"))
    return sum(counters[kind] for kind in ("get", "put", "delete", "list", "watch"))
