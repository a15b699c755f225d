"""Entry role: the WSGI application that callers talk to."""

from collections.abc import Callable
from contextlib import contextmanager, suppress
from dataclasses import dataclass

import eventlet
from eventlet import patcher, wsgi
from eventlet.event import Event
from eventlet.greenthread import getcurrent
from greenlet import GreenletExit
from xxhash import xxh3_128_digest

from verbenawick._call_messages import (
    LARGEST_BODY_BYTES,
    CallAnswer,
    Headers,
    Outcome,
)
from verbenawick._clock import Clock
from verbenawick._dispatch import Call, Dispatcher
from verbenawick._events import Event as LogEvent
from verbenawick._events import emit, register_event
from verbenawick._metrics import MetricKind, MetricSet, register_metric
from verbenawick._polling import closed_by_peer
from verbenawick._routing import Router
from verbenawick._sockets import listen
from verbenawick._table import Criticality, RoutingTable, ServicePolicy
from verbenawick._tracing import TraceContext, Tracer
from verbenawick._upstream import HOP_HEADERS
from verbenawick.errors import (
    BadCallError,
    BelowFloorError,
    CallError,
    KeyRequiredError,
    NoRouteError,
    NotReadyError,
    QuarantinedError,
    RequestTooLargeError,
    errors_by_code,
)

# eventlet removes `poll` from the patched module; polling with no wait never blocks.
select = patcher.original("select")

# Headers that the entry reads and the gateway writes anew.
CALL_HEADERS = frozenset(
    {
        "attempt",
        "call-depth",
        "content-length",
        "criticality",
        "expect",
        "idempotency-key",
        "request-timeout",
        "traceparent",
    }
)
DROPPED_HEADERS = HOP_HEADERS | CALL_HEADERS

LONGEST_TIMEOUT_S = 30.0
LARGEST_NUMBER = 1_000_000
# A keyed request that does not say which attempt it is may be a resend.
UNDECLARED_ATTEMPT = 2
MAX_KEY_LENGTH = 256

# Interval at which calls in flight are checked for callers that went away.
WATCH_INTERVAL_S = 0.025

MAX_CONNECTIONS = 1024

# An idle connection of a caller is closed after this time.
IDLE_LIMIT_S = 75.0
# A caller that sends or reads nothing for this long within a request is given up.
SOCKET_TIMEOUT_S = 30.0

CRITICALITY_BY_NAME = {level.name.lower(): level for level in Criticality}

REASON_BY_STATUS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    301: "Moved Permanently",
    302: "Found",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    428: "Precondition Required",
    429: "Too Many Requests",
    499: "Caller Closed",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

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
    """A call ended with an error that the call path does not know."""

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
    table : callable
        Returns the `RoutingTable` in force, None before the first. A call is served
        with the table that was in force at its start.
    """

    def __init__(
        self,
        *,
        node_id: str,
        table: Callable[[], RoutingTable | None],
        dispatcher: Dispatcher,
        tracer: Tracer,
        metrics: MetricSet,
        clock: Clock,
        is_quarantined: Callable[[bytes], bool] = lambda fingerprint: False,
    ):
        self._node_id = node_id
        self._table = table
        self._dispatcher = dispatcher
        self._tracer = tracer
        self._metrics = metrics
        self._clock = clock
        self._is_quarantined = is_quarantined
        self._router = Router()
        self._watcher = CallerWatcher()
        self._in_flight = 0
        self._is_stopping = False
        self._idle = Event()

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return self._in_flight

    def stop_accepting(self) -> None:
        """Answer with ``Connection: close`` from now on."""
        self._is_stopping = True
        emit(EntryStopping(self._node_id, self._in_flight))
        if not self._in_flight:
            self._idle.send(True)

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Return whether the last call ended within `timeout_s`, after the stop."""
        if self._is_stopping and not self._in_flight:
            return True
        return bool(self._idle.wait(timeout=timeout_s))

    def __call__(self, environ, start_response):
        """Serve one call."""
        self._in_flight += 1
        self._metrics.count(CALLS)
        table = self._table()
        context = self._tracer.context_from(environ.get("HTTP_TRACEPARENT"))
        try:
            answer = self._serve(environ, table, context)
        except GreenletExit:
            self._metrics.count(CALLS_ABANDONED)
            start_response("499 Caller Closed", [("Content-Length", "0")])
            return [b""]
        finally:
            self._in_flight -= 1
            if self._is_stopping and not self._in_flight and not self._idle.ready():
                self._idle.send(True)
        self._metrics.count(METRIC_BY_OUTCOME[answer.outcome])
        return self._respond(start_response, answer, table, context)

    def _serve(self, environ, table, context: TraceContext) -> CallAnswer:
        try:
            with self._tracer.span("entry", context) as span_context:
                call = self._accept(environ, table, span_context)
                sock = environ["eventlet.input"].get_socket()
                with self._watcher.watch(sock):
                    return self._dispatcher.dispatch(call)
        except CallError as error:
            return _answer_for(error, environ)
        except Exception as error:
            emit(EntryFailed(self._node_id, repr(error)))
            return _answer_for(CallError(str(error), step="entry"), environ)

    def _accept(self, environ, table: RoutingTable | None, context) -> Call:
        now = self._clock.now()
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
        criticality = _criticality(environ, policy)
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
        timeout_s = _timeout_s(environ, policy)
        body = _read_body(environ, min(policy.max_body_bytes, LARGEST_BODY_BYTES))
        fingerprint = _fingerprint(method, target, body)
        if self._is_quarantined(fingerprint):
            raise QuarantinedError(
                "equal requests crashed upstreams", step="entry.quarantine"
            )
        return Call(
            service_id=route.service_id,
            policy=policy,
            method=method,
            target=target,
            headers=_forwarded_headers(environ, default_host=route.service_id),
            body=body,
            deadline=now + timeout_s,
            criticality=criticality,
            attempt=_attempt(environ),
            depth=_number(environ, "HTTP_CALL_DEPTH", 0, least=0),
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
        if self._is_stopping:
            headers.append(("Connection", "close"))
        reason = REASON_BY_STATUS.get(status, "Status")
        start_response(f"{status} {reason}", headers)
        return [body]


class EntryServer:
    """Listener of the entry role.

    `start` serves until `stop`, which finishes the calls in flight first.
    """

    def __init__(self, application: EntryApplication, *, max_connections: int = 0):
        self._application = application
        self._max_connections = max_connections or MAX_CONNECTIONS
        self._listener = None
        self._thread = None

    def listen(self, address: str) -> None:
        """Bind the listening socket to ``"ip:port"``."""
        self._listener = listen(address)

    def start(self) -> None:
        """Serve in a green thread of its own; needs `listen` before."""
        self._thread = eventlet.spawn(self._run)

    def _run(self) -> None:
        wsgi.server(
            self._listener,
            self._application,
            log_output=False,
            debug=False,
            max_size=self._max_connections,
            keepalive=IDLE_LIMIT_S,
            socket_timeout=SOCKET_TIMEOUT_S,
            # Names stay as the upstream wrote them, which also saves time per header.
            capitalize_response_headers=False,
        )

    def stop(self, *, grace_s: float, timeout_s: float) -> bool:
        """Stop without interrupting a call; return whether all calls ended in time.

        Parameters
        ----------
        grace_s : float
            Time during which new connections are still served, with
            ``Connection: close`` in each answer.
        timeout_s : float
            Longest wait for calls in flight after that.
        """
        self._application.stop_accepting()
        eventlet.sleep(grace_s)
        # Ends the accept loop; eventlet then closes idle connections and waits for the
        # others.
        self._thread.kill()
        self._listener.close()
        is_idle = self._application.wait_idle(timeout_s=timeout_s)
        # The server ends by the kill itself when no connection is open.
        with eventlet.Timeout(timeout_s, False), suppress(GreenletExit):
            self._thread.wait()
        return is_idle


class CallerWatcher:
    """Cancels calls whose caller closed its connection.

    One green thread polls all connections with a call in flight, since watching each
    one through the hub would cost two system calls per call.
    """

    def __init__(self, *, interval_s: float = WATCH_INTERVAL_S):
        self._interval_s = interval_s
        self._threads_by_fileno: dict[int, object] = {}
        self._is_running = False

    @contextmanager
    def watch(self, sock):
        """Raise `GreenletExit` in this green thread when the peer of `sock` closes."""
        fileno = sock.fileno()
        self._threads_by_fileno[fileno] = getcurrent()
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)
        try:
            yield
        finally:
            self._threads_by_fileno.pop(fileno, None)

    def _run(self) -> None:
        try:
            while self._threads_by_fileno:
                eventlet.sleep(self._interval_s)
                self._check()
        finally:
            self._is_running = False

    def _check(self) -> None:
        for fileno in closed_by_peer(self._threads_by_fileno):
            thread = self._threads_by_fileno.pop(fileno, None)
            if thread is not None:
                eventlet.kill(thread)


def _criticality(environ, policy: ServicePolicy) -> Criticality:
    name = environ.get("HTTP_CRITICALITY")
    if name is None:
        return policy.criticality
    criticality = CRITICALITY_BY_NAME.get(name.lower())
    if criticality is None:
        raise BadCallError(
            f"Criticality {name!r} is not high, normal or low", step="entry.headers"
        )
    return criticality


def _timeout_s(environ, policy: ServicePolicy) -> float:
    if "HTTP_REQUEST_TIMEOUT" not in environ:
        return policy.timeout_s
    timeout_ms = _number(environ, "HTTP_REQUEST_TIMEOUT", 0, least=1)
    return min(timeout_ms / 1000, LONGEST_TIMEOUT_S)


def _attempt(environ) -> int:
    has_key = bool(environ.get("HTTP_IDEMPOTENCY_KEY"))
    return _number(
        environ, "HTTP_ATTEMPT", UNDECLARED_ATTEMPT if has_key else 1, least=1
    )


def _number(environ, name: str, default: int, *, least: int) -> int:
    text = environ.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise BadCallError(f"{name} {text!r} is not a number", step="entry.headers")
    number = int(text)
    if number < least or number > LARGEST_NUMBER:
        raise BadCallError(f"{name} {number} is out of range", step="entry.headers")
    return number


def _read_body(environ, max_bytes: int) -> bytes:
    length = environ.get("CONTENT_LENGTH")
    if length is None and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    too_large = RequestTooLargeError(
        f"request body exceeds {max_bytes} bytes", step="entry.body"
    )
    if length is not None and int(length) > max_bytes:
        raise too_large
    try:
        body = environ["wsgi.input"].read(max_bytes + 1)
    except (OSError, ValueError) as error:
        raise BadCallError(f"body is incomplete: {error}", step="entry.body") from error
    if len(body) > max_bytes:
        raise too_large
    if length is not None and len(body) != int(length):
        raise BadCallError("body is shorter than its length", step="entry.body")
    return body


def _fingerprint(method: str, target: str, body: bytes) -> bytes:
    return xxh3_128_digest(f"{method} {target}\n".encode("latin-1") + body)


def _forwarded_headers(environ, *, default_host: str) -> Headers:
    dropped = DROPPED_HEADERS
    connection = environ.get("HTTP_CONNECTION")
    if connection and connection.lower() not in ("keep-alive", "close"):
        # The sender names further headers that concern its own connection only.
        named = {name.strip().lower() for name in connection.split(",")}
        dropped = dropped | named
    headers = tuple(
        (name, value)
        for name, value in environ["headers_raw"]
        if name.lower() not in dropped
    )
    if "HTTP_HOST" in environ:
        return headers
    # Callers of HTTP/1.0 may send none; the upstream speaks HTTP/1.1, which needs it.
    return (*headers, ("Host", default_host))


def _answer_for(error: CallError, environ) -> CallAnswer:
    outcome = Outcome(error.outcome)
    if environ.get("HTTP_IDEMPOTENCY_KEY") and environ.get("HTTP_ATTEMPT") != "1":
        # An earlier attempt with this key may have run.
        outcome = Outcome.UNKNOWN
    message = error.message.encode()
    return CallAnswer(0, outcome, error.code, 0, (), message, "")


def _error_response(answer: CallAnswer):
    # None for the code of a node of another version that this one does not know.
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
