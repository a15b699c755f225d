"""Process that runs the entry and gateway of one node, for ``bench calls``.

The routing table and the members are static, so that only the call path runs. With
``--baseline``, the entry selects endpoints round robin and retries without a budget,
and the gateway forwards every call to the upstream immediately.
"""

import eventlet

eventlet.monkey_patch()

import argparse
import cProfile
import gc
import json
import signal
import sys
from itertools import count
from pathlib import Path
from random import Random

from eventlet import wsgi
from eventlet.event import Event
from loguru import logger

from verbenawick.calls._admission import Admission
from verbenawick.calls._balancer import Balancer
from verbenawick.calls._dispatch import Dispatcher
from verbenawick.calls._entry import EntryApplication
from verbenawick.calls._entry_server import EntryServer
from verbenawick.calls._gateway import Gateway
from verbenawick.calls._retry import RetryRules
from verbenawick.calls._table import Route, RoutingTable, ServicePolicy
from verbenawick.calls._tracing import Tracer
from verbenawick.calls._upstream import UpstreamConnections
from verbenawick.claims._claim_messages import SealRequest
from verbenawick.claims._claims import ClaimCoordinator
from verbenawick.links._call_links import CallLinks
from verbenawick.links._call_messages import CallRequest, Outcome
from verbenawick.links._component import NodeIdentity
from verbenawick.links._links import CALL_CHANNEL, LinkServer
from verbenawick.links._members import Member, MemberState
from verbenawick.node._daemon import GC_THRESHOLDS
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet

SERVICE = "archivo"
TRACE_SAMPLE_SHARE = 0.01


class StaticMembers:
    """Fixed member table with the members from the command line."""

    def __init__(self, members: list[Member]):
        self._members = tuple(sorted(members, key=lambda member: member.node_id))
        self._members_by_id = {member.node_id: member for member in members}

    def members_of(self, service_id):
        """Return all members, since there is only one service."""
        return self._members

    def departed_of(self, service_id):
        """Return no members; none ever departs."""
        return ()

    def members_in(self, data_centre):
        """Return the members of a data centre."""
        return tuple(m for m in self._members if m.data_centre == data_centre)

    def member(self, node_id):
        """Return the member with `node_id`, or None."""
        return self._members_by_id.get(node_id)

    def load_of(self, node_id):
        """Return None; no loads are reported."""
        return None

    def authority_deadline(self):
        """Return infinity; the authority to claim keys never ends."""
        return float("inf")


class RoundRobinBalancer(Balancer):
    """Baseline that ignores the load and the failures of endpoints."""

    _call_number = count()

    def choose(self, service_id, *, excluded):
        """Return the next active member."""
        members = [
            member
            for member in self._members.members_of(service_id)
            if member.state is MemberState.ACTIVE
        ]
        return members[next(self._call_number) % len(members)]


class UnlimitedAdmission(Admission):
    """Baseline without slots, queue or prediction of whether a call can complete."""

    def enter(self, **limits):
        """Admit the call immediately."""

    def leave(self, **measured):
        """Do nothing, since no slots are counted."""


class UnbudgetedRetryRules(RetryRules):
    """Baseline that retries every failed attempt, up to the maximum number."""

    def may_retry(self, service_id, policy, traits, answer, **state):
        """Return whether attempts are left and the call may be repeated safely."""
        is_safe = traits.is_repeatable or answer.outcome is Outcome.NOT_RUN
        return is_safe and state["attempts_made"] < policy.max_attempts


def build(options) -> tuple[LinkServer, EntryServer, MetricSet]:
    """Return the link server, the entry server and the metrics of a node."""
    clock, metrics, random = MonotonicClock(), MetricSet(), Random(options.seed)
    members = StaticMembers(
        [
            Member(*fields, MemberState(state))
            for *fields, state in json.loads(options.members)
        ]
    )
    own = members.member(options.node)
    identity = NodeIdentity(
        own.node_id,
        own.incarnation,
        SERVICE,
        own.data_centre,
        own.region,
        own.peer_address,
    )
    policy = ServicePolicy("p", max_queue_length=options.queue)
    table = RoutingTable(
        1, b"", "ordinary", routes=(Route("r", "/", SERVICE),),
        policies_by_service_id={SERVICE: policy},
    )  # fmt: skip
    links = CallLinks(identity, clock=clock, metrics=metrics)
    claims = ClaimCoordinator(identity, members=members, requests=links, clock=clock)
    tracer = Tracer(own.node_id, sample_share=TRACE_SAMPLE_SHARE, random=random)
    admission_type = UnlimitedAdmission if options.baseline else Admission
    gateway = Gateway(
        node_id=own.node_id,
        service_id=SERVICE,
        admission=admission_type(slots=own.slots, clock=clock, metrics=metrics),
        upstream=UpstreamConnections(
            options.upstream,
            max_connections=100_000 if options.baseline else 120,
            clock=clock,
            metrics=metrics,
        ),
        table=lambda: table,
        members=members,
        requests=links,
        claims=claims,
        tracer=tracer,
        metrics=metrics,
        clock=clock,
    )
    links.register_handler(CallRequest, gateway.on_request)
    links.register_handler(SealRequest, lambda peer, m, at: claims.answer_to(m))
    balancer_type = RoundRobinBalancer if options.baseline else Balancer
    dispatcher = Dispatcher(
        node_id=own.node_id,
        region=own.region,
        balancer=balancer_type(
            data_centre=own.data_centre,
            region=own.region,
            members=members,
            clock=clock,
            random=random,
            metrics=metrics,
        ),
        retry_rules=UnbudgetedRetryRules(metrics)
        if options.baseline
        else RetryRules(metrics),
        gateway=gateway,
        requests=links,
        claims=claims,
        clock=clock,
        metrics=metrics,
    )
    entry = EntryApplication(
        node_id=own.node_id,
        service_id=SERVICE,
        table=lambda: table,
        dispatcher=dispatcher,
        tracer=tracer,
        metrics=metrics,
        clock=clock,
    )
    server = LinkServer(identity, {CALL_CHANNEL: links})
    entry_server = EntryServer(entry, metrics=metrics, max_connections=4096)
    return server, entry_server, metrics


def serve_metrics(address: str, metrics: MetricSet) -> None:
    """Serve the totals of the metrics as JSON."""

    def application(environ, start_response):
        body = json.dumps(metrics.totals()).encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    host, _, port = address.rpartition(":")
    listener = eventlet.listen((host, int(port)))
    eventlet.spawn_n(wsgi.server, listener, application, log_output=False)


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--node", required=True)
    parser.add_argument(
        "--members", required=True, help="JSON list of lists of Member fields"
    )
    parser.add_argument("--call-address", required=True)
    parser.add_argument("--admin-address", required=True)
    parser.add_argument("--upstream", required=True)
    parser.add_argument("--queue", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--baseline", action="store_true")
    parser.add_argument("--profile", type=Path, help="write cProfile statistics here")
    options = parser.parse_args()
    logger.remove()
    logger.add(sys.stderr, level="ERROR")
    link_server, entry_server, metrics = build(options)
    link_server.listen()
    entry_server.listen(options.call_address)
    eventlet.spawn_n(link_server.run)
    serve_metrics(options.admin_address, metrics)
    terminated = Event()
    signal.signal(signal.SIGTERM, lambda number, frame: terminated.send(number))
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    entry_server.start()
    print("ready", flush=True)
    if options.profile is None:
        terminated.wait()
        return
    profiler = cProfile.Profile()
    profiler.enable()
    terminated.wait()
    profiler.disable()
    profiler.dump_stats(options.profile)


if __name__ == "__main__":
    main()
