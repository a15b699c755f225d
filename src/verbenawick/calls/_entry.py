"""Entry role: the WSGI application that receives the requests of callers."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from http.client import responses

from greenlet import GreenletExit

from verbenawick.calls._caller_protocol import CALLER_LEFT_STATUS
from verbenawick.calls._dispatch import Call, Dispatcher
from verbenawick.calls._entry_request import (
    MAX_KEY_LENGTH,
    MAX_TIMEOUT_S,
    compute_fingerprint,
    forwarded_headers,
    parse_attempt,
    parse_criticality,
    parse_integer,
    parse_timeout,
)
from verbenawick.calls._http_messages import read_body
from verbenawick.calls._routing import Router
from verbenawick.calls._table import RoutingTable
from verbenawick.calls._tracing import TraceContext, Tracer
from verbenawick.errors import (
    BadCallError,
    BelowFloorError,
    CallError,
    DrainingError,
    KeyRequiredError,
    NoRouteError,
    NotReadyError,
    QuarantinedError,
    errors_by_code,
)
from verbenawick.links._call_messages import (
    MAX_MESSAGE_BODY_BYTES,
    CallAnswer,
    Outcome,
)
from verbenawick.runtime._caller_watcher import CallerWatcher
from verbenawick.runtime._calls_in_flight import CallsInFlight
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event as LogEvent
from verbenawick.runtime._events import emit, register_event
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric

CALLS = register_metric("entry.calls", MetricKind.COUNTER, "calls", "Calls accepted")
CALLS_COMPLETE = register_metric(
    "entry.calls_complete", MetricKind.COUNTER, "calls", "Calls with a whole response"
)
CALLS_NOT_RUN = register_metric(
    "entry.calls_not_run", MetricKind.COUNTER, "calls", "Calls answered as not run"
)
CALLS_UNKNOWN = register_metric(
    "entry.calls_unknown", MetricKind.COUNTER, "calls", "Calls with unknown outcome"
)
CALLS_ABANDONED = register_metric(
    "entry.calls_abandoned",
    MetricKind.COUNTER,
    "calls",
    "Calls cancelled because the caller closed its connection",
)

METRIC_BY_OUTCOME = {
    Outcome.COMPLETE: CALLS_COMPLETE,
    Outcome.NOT_RUN: CALLS_NOT_RUN,
    Outcome.UNKNOWN: CALLS_UNKNOWN,
}


@register_event(502, level="ERROR")
@dataclass(frozen=True, slots=True)
class EntryFailed(LogEvent):
    """A call ended with an unexpected exception."""

    node: str
    error: str


@register_event(503)
@dataclass(frozen=True, slots=True)
class EntryStopping(LogEvent):
    """The entry finishes its calls and asks callers to connect elsewhere."""

    node: str
    in_flight: int


class EntryApplication:
    """WSGI application of the entry role.

    Parameters
    ----------
    service_id : str
        Service of the upstream on this VM, which is that of the callers.
    table : callable
        Returns the `RoutingTable` in force, None before the first one. A call is served
        with the table that was in force when it arrived.
    longest_call_s : float
        Maximum duration of a call, whatever its caller and the policy say. A stop waits
        as long, and so do later owners of an idempotency key.
    """

    def __init__(
        self,
        *,
        node_id: str,
        service_id: str,
        table: Callable[[], RoutingTable | None],
        dispatcher: Dispatcher,
        tracer: Tracer,
        metrics: MetricSet,
        clock: Clock,
        is_quarantined: Callable[[bytes], bool] = lambda fingerprint: False,
        longest_call_s: float = MAX_TIMEOUT_S,
    ):
        self._longest_call_s = longest_call_s
        self._node_id = node_id
        self._service_id = service_id
        self._table = table
        self._dispatcher = dispatcher
        self._tracer = tracer
        self._metrics = metrics
        self._clock = clock
        self._is_quarantined = is_quarantined
        self._router = Router()
        self._watcher = CallerWatcher()
        self._calls = CallsInFlight()
        self._last_call_at = math.inf

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return self._calls.count

    def stop_accepting(self) -> None:
        """Let `wait_idle` return as soon as no call is in flight."""
        emit(EntryStopping(self._node_id, self._calls.count))
        self._calls.stop()

    def stop_by(self, *, last_call_at: float) -> None:
        """Refuse calls that arrive later than `last_call_at`, a local time.

        They arrive on connections that were kept open for them.
        """
        self._last_call_at = last_call_at

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Wait for calls in flight; return whether all ended within `timeout_s`.

        Call `stop_accepting` first.
        """
        return self._calls.wait_idle(timeout_s=timeout_s)

    def __call__(self, environ, start_response):
        """Serve one call."""
        self._metrics.count(CALLS)
        table = self._table()
        context = self._tracer.context_from(environ.get("HTTP_TRACEPARENT"))
        try:
            with self._calls.enter():
                answer = self._serve(environ, table, context)
        except GreenletExit:
            self._metrics.count(CALLS_ABANDONED)
            start_response(CALLER_LEFT_STATUS, [("Content-Length", "0")])
            return [b""]
        self._metrics.count(METRIC_BY_OUTCOME[answer.outcome])
        return self._respond(start_response, answer, table, context)

    def _serve(self, environ, table, context: TraceContext) -> CallAnswer:
        try:
            with self._tracer.span("entry", context) as span_context:
                call = self._build_call(environ, table, span_context)
                sock = environ["eventlet.input"].get_socket()
                with self._watcher.watch(sock):
                    return self._dispatcher.dispatch(call)
        except CallError as error:
            return _answer_for(error, environ)
        except Exception as error:
            emit(EntryFailed(self._node_id, repr(error)))
            return _answer_for(CallError(str(error), step="entry"), environ)

    def _build_call(self, environ, table: RoutingTable | None, context) -> Call:
        now = self._clock.now()
        if now > self._last_call_at:
            raise DrainingError("this node is stopping", step="entry")
        if table is None:
            raise NotReadyError("no configuration in force", step="entry")
        method = environ["REQUEST_METHOD"]
        path = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        route = self._router.match(table, method=method, path=path, host=host)
        if route is None:
            raise NoRouteError(f"no route for {method} {path}", step="entry.route")
        policy = table.policies_by_service_id.get(route.service_id)
        if policy is None:
            raise NoRouteError(f"{route.service_id} has no policy", step="entry.route")
        query = environ.get("QUERY_STRING")
        target = f"{path}?{query}" if query else path
        criticality = parse_criticality(environ, policy)
        if criticality < table.criticality_floor:
            raise BelowFloorError(
                f"preset {table.preset} sheds {criticality.name.lower()} calls",
                step="entry.floor",
            )
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if len(key) > MAX_KEY_LENGTH:
            raise BadCallError("Idempotency-Key is too long", step="entry.headers")
        is_repeatable = method in policy.repeatable_methods
        if policy.key_required and not is_repeatable and not key:
            raise KeyRequiredError(
                f"{method} needs an Idempotency-Key", step="entry.headers"
            )
        timeout_s = min(parse_timeout(environ, policy), self._longest_call_s)
        body = read_body(environ, min(policy.max_body_bytes, MAX_MESSAGE_BODY_BYTES))
        fingerprint = compute_fingerprint(self._service_id, method, target, body)
        if self._is_quarantined(fingerprint):
            raise QuarantinedError(
                "equal requests crashed upstreams", step="entry.quarantine"
            )
        return Call(
            service_id=route.service_id,
            policy=policy,
            method=method,
            target=target,
            headers=forwarded_headers(environ, default_host=route.service_id),
            body=body,
            deadline=now + timeout_s,
            criticality=criticality,
            attempt=parse_attempt(environ),
            depth=parse_integer(environ, "HTTP_CALL_DEPTH", 0, minimum=0),
            idempotency_key=key,
            is_repeatable=is_repeatable and not key,
            traceparent=context.header(),
            fingerprint=fingerprint,
            version=table.version,
        )

    def _respond(self, start_response, answer: CallAnswer, table, context):
        status, headers, body = answer.status, list(answer.headers), answer.body
        if answer.outcome is not Outcome.COMPLETE:
            status, headers, body = _error_response(answer)
        elif "content-length" not in {name.lower() for name, _ in headers}:
            if status >= 200 and status not in (204, 304):
                headers.append(("Content-Length", str(len(body))))
        headers += [
            ("Verbenawick-Outcome", answer.outcome.value),
            ("Verbenawick-Version", str(table.version if table else 0)),
            ("Verbenawick-Node", self._node_id),
            ("Verbenawick-Trace", f"{context.trace_id:032x}"),
        ]
        if answer.code:
            headers.append(("Verbenawick-Code", answer.code))
        reason = responses.get(status, "Status")
        start_response(f"{status} {reason}", headers)
        return [body]


def _answer_for(error: CallError, environ) -> CallAnswer:
    outcome = Outcome(error.outcome)
    if environ.get("HTTP_IDEMPOTENCY_KEY") and environ.get("HTTP_ATTEMPT") != "1":
        # An earlier attempt with this key may have run.
        outcome = Outcome.UNKNOWN
    message = error.message.encode()
    return CallAnswer(0, outcome, error.code, 0, (), message, "")


def _error_response(answer: CallAnswer):
    # None if a node of another version sent a code that this version does not know.
    error_type = errors_by_code.get(answer.code)
    default_status = 503 if answer.outcome is Outcome.NOT_RUN else 502
    status = getattr(error_type, "http_status", default_status)
    reason = answer.body.decode() or (error_type or CallError).__doc__.splitlines()[0]
    text = f"{answer.code}: {reason}\n"
    body = text.encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
    ]
    return status, headers, body
