"""HTTP client of the platform's store, which holds objects by kind and name."""

import math
from collections.abc import Callable
from dataclasses import replace
from http.client import HTTPException
from time import monotonic
from urllib.parse import quote, urlencode

import msgspec
from eventlet import Timeout
from eventlet.green import socket
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from verbenawick.errors import (
    StoreAnswerLostError,
    StoreConditionError,
    StoreHistoryGoneError,
    StoreUnavailableError,
)
from verbenawick.mesh._model import (
    MeshConfiguration,
    UpstreamRecord,
    UpstreamState,
)
from verbenawick.mesh._record_check import check_record
from verbenawick.mesh._state_store import (
    ConfigurationChange,
    OrderChange,
    RecordChange,
)
from verbenawick.mesh._store_era import (
    MAX_ERA,
    LatestEra,
    era_of,
    position_of,
    revision_of,
)
from verbenawick.platform._documents import decode_configuration, hide_keys
from verbenawick.platform._events import ListingCut, ObjectInvalid
from verbenawick.platform._json import decode_json
from verbenawick.releases._model import (
    ReleaseOrder,
    ReleaseState,
    ReleaseStatus,
    check_order,
)
from verbenawick.runtime._clock import BootClock, Clock
from verbenawick.runtime._events import emit
from verbenawick.runtime._metrics import MetricKind, MetricSet, register_metric
from verbenawick.runtime._polling import is_readable
from verbenawick.runtime._strict_response import StrictResponse

ERA_HEADER = "Store-Era"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
# Kind owned by this project, with one object for each node and its upstream.
RECORD_KIND = "verbenawick-upstreams"
# Kind of the operator's orders to bring in a version of a service.
ORDER_KIND = "rollouts"
_STATE_NAMES = {
    ReleaseState.ACTIVE: "active",
    ReleaseState.COMPLETED: "completed",
    ReleaseState.ROLLED_BACK: "rolled_back",
}
_STATES_BY_NAME = {name: state for state, name in _STATE_NAMES.items()}

# Time allowed for the response to a watch after the wait of the watch itself. The store
# answers in milliseconds, so even ten times that would be slow; a lost response must
# be detected soon.
WATCH_RESPONSE_TIMEOUT_S = 0.6
CONNECT_TIMEOUT_S = 0.6
# When it is overloaded, the store takes some 0.3 s for a slow call, and longer for a
# read than for a write.
CALL_TIMEOUT_S = 1.5
# A connection can stop carrying data without a reset. One that was idle for longer is
# replaced, which takes one round trip instead of the time-out of a call.
MAX_IDLE_S = 1.0
# The store limits values and pages of a list to about 1 MB, but not the changes of a
# watch: those of a series of configurations have any size.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

READS = register_metric(
    "mesh.store_reads", MetricKind.COUNTER, "calls", "Reads of the store at full price"
)
STALE_READS = register_metric(
    "mesh.store_stale_reads",
    MetricKind.COUNTER,
    "calls",
    "Reads and watches of the store that may be stale, which are cheap",
)
WATCHES = register_metric(
    "mesh.store_watches",
    MetricKind.COUNTER,
    "calls",
    "Watches of the store at full price",
)
WRITES = register_metric(
    "mesh.store_writes", MetricKind.COUNTER, "calls", "Writes to the store"
)
FAILURES = register_metric(
    "mesh.store_failures",
    MetricKind.COUNTER,
    "calls",
    "Calls to the store without a usable response",
)

DocumentDecoder = Callable[[bytes, int], MeshConfiguration]

_OMITTED_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    """An object; `spec` is decoded later, since other writers may have written it."""

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _NamedMetadata(msgspec.Struct):
    name: str


class _Named(msgspec.Struct):
    """The name of an object whose other fields may be invalid."""

    metadata: _NamedMetadata


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Listing(msgspec.Struct):
    """A page of objects; if `more` is set, another page follows the last name."""

    items: list[msgspec.Raw]
    current_rev: int
    more: bool = False


class _Changes(msgspec.Struct):
    events: list[msgspec.Raw]
    current_rev: int


class _RecordSpec(msgspec.Struct):
    """Spec of an object of `RECORD_KIND`."""

    service: str
    data_centre: str
    region: str
    peer_address: str
    upstream_id: str
    state: UpstreamState
    slots: int
    born_ms: int = 0
    version: str = ""


class _OrderSpec(msgspec.Struct):
    """Spec of an object of `ORDER_KIND`."""

    service: str
    target_version: str
    duration_s: float


class _OrderStatus(msgspec.Struct):
    """Status of an object of `ORDER_KIND`; the fields after the first two are ours."""

    state: str
    target_version: str
    share: float = 0.0
    remaining_s: float = 0.0
    reason: str = ""
    ordered_at: int = 0


class _Order(msgspec.Struct):
    """An order; `spec` and `status` are decoded later, as in `_Object`."""

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class _OrderEvent(msgspec.Struct):
    object: _Order
    deleted: bool = False


_named_decoder = msgspec.json.Decoder(_Named)
_record_spec_decoder = msgspec.json.Decoder(_RecordSpec)
_order_spec_decoder = msgspec.json.Decoder(_OrderSpec)
_order_status_decoder = msgspec.json.Decoder(_OrderStatus | None)


class _StoreConnection(HTTPConnection):
    """urllib3 connection that uses a green socket."""

    response_class = StrictResponse

    def _new_conn(self):
        sock = socket.create_connection((self.host, self.port), CONNECT_TIMEOUT_S)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock


def _is_reusable(connection: HTTPConnection) -> bool:
    """Return whether the peer neither closed it nor sent data that answer no call."""
    return connection.sock is not None and not is_readable(connection.sock.fileno())


class PlatformStore:
    """Client of the platform's store that implements `StateStore`.

    Uses a single connection, so each green thread needs its own instance. All revisions
    that it takes and returns are positions; see `verbenawick.mesh._store_era`.

    Parameters
    ----------
    address : str
        ``"ip:port"`` of the platform's store.
    decode : callable
        Decodes a valid configuration document at the given revision.
    metrics : MetricSet
        Counts the calls by purpose.
    clock : Clock
        Measures how long the connection is idle; `BootClock` if None.
    latest_era : LatestEra
        Shared by the clients of a node, so that each knows what one of them has seen.
    """

    def __init__(
        self,
        address: str,
        *,
        decode: DocumentDecoder = decode_configuration,
        metrics: MetricSet | None = None,
        clock: Clock | None = None,
        latest_era: LatestEra | None = None,
    ):
        self._latest_era = latest_era or LatestEra()
        # Era of the last answer.
        self._era = 0
        self._metrics = metrics or MetricSet()
        self._clock = clock or BootClock()
        self._idle_until = 0.0
        self._address = address
        self._decode = decode
        self._connection: _StoreConnection | None = None
        self._min_round_trip_s = float("inf")

    @property
    def round_trip_s(self) -> float:
        """Return the shortest round-trip time to the store measured so far."""
        return self._min_round_trip_s

    def read_configuration(self, *, allow_stale: bool) -> ConfigurationChange:
        """Return the configuration, possibly seconds out of date if `allow_stale`."""
        items, current, _ = self._list(CONFIGURATION_KIND, allow_stale=allow_stale)
        return self._latest_configuration(items, current)

    def watch_configuration(
        self, revision: int, *, wait_s: float
    ) -> ConfigurationChange:
        """Wait up to `wait_s` for a change after `revision` and return it."""
        events, current = self._watch(
            CONFIGURATION_KIND, revision, wait_s, allow_stale=False
        )
        return self._latest_configuration(
            [e.object for e in events if not e.deleted], current
        )

    def _latest_configuration(
        self, items: list[_Object], current: int
    ) -> ConfigurationChange:
        """Return the last valid configuration among objects in order of revision."""
        for item in reversed(items):
            if item.metadata.name != CONFIGURATION_NAME:
                continue
            document = hide_keys(bytes(item.spec))
            configuration = decode_stored_configuration(
                document, self._position(item), decode=self._decode
            )
            if configuration is not None:
                return ConfigurationChange(current, configuration, document)
        return ConfigurationChange(current, None)

    def read_records(self, *, allow_stale: bool) -> RecordChange:
        """Return all records, possibly seconds out of date if `allow_stale`."""
        items, current, is_complete = self._list(RECORD_KIND, allow_stale=allow_stale)
        records = {item.metadata.name: self._decode_record(item) for item in items}
        records = {name: record for name, record in records.items() if record}
        return RecordChange(current, records, is_complete=is_complete)

    def watch_records(self, revision: int, *, wait_s: float) -> RecordChange:
        """Return the changes after `revision`, which may be seconds out of date."""
        events, current = self._watch(RECORD_KIND, revision, wait_s, allow_stale=True)
        records = {}
        for event in events:
            record = None if event.deleted else self._decode_record(event.object)
            if record is not None or event.deleted:
                records[event.object.metadata.name] = record
        return RecordChange(current, records, is_complete=False)

    def create_record(self, record: UpstreamRecord) -> int:
        """Create a record and return its revision."""
        body = {"metadata": {"name": record.node_id}, "spec": _record_spec(record)}
        answer = self._write("POST", f"/objects/{RECORD_KIND}", body, "store.create")
        return self._decode_position(answer)

    def replace_record(self, record: UpstreamRecord) -> int:
        """Replace the record of `record.revision` and return the new revision."""
        revision = self._expected_revision(record.revision, "store.replace")
        metadata = {"name": record.node_id, "revision": revision}
        body = {"metadata": metadata, "spec": _record_spec(record)}
        path = f"/objects/{RECORD_KIND}/{quote(record.node_id)}"
        return self._decode_position(self._write("PUT", path, body, "store.replace"))

    def read_record(self, node_id: str) -> UpstreamRecord | None:
        """Return the current record of a node."""
        path = f"/objects/{RECORD_KIND}/{quote(node_id)}"
        self._metrics.count(READS)
        status, data = self._request("GET", path, None, "store.read")
        if status == 404:
            return None
        if status != 200:
            raise self._unavailable_error(f"answered {status}", "store.read")
        item = self._decode_response(data, _Object, "store.read")
        record = self._decode_record(item)
        if record is None:
            # The record is invalid, but replacing it requires its revision.
            return UpstreamRecord(
                node_id,
                "",
                "",
                "",
                "",
                "",
                UpstreamState.UNKNOWN,
                0,
                revision=self._position(item),
            )
        return record

    def delete_record(self, node_id: str, revision: int) -> None:
        """Delete the record of a node if it has `revision`."""
        revision = self._expected_revision(revision, "store.delete")
        path = f"/objects/{RECORD_KIND}/{quote(node_id)}?revision={revision}"
        self._write("DELETE", path, None, "store.delete", missing_ok=True)

    def read_orders(self) -> OrderChange:
        """Return all orders of releases."""
        items, current, _ = self._list(ORDER_KIND, allow_stale=False, item_type=_Order)
        orders = {item.metadata.name: self._decode_order(item) for item in items}
        orders = {name: order for name, order in orders.items() if order}
        return OrderChange(current, orders, is_complete=True)

    def watch_orders(self, revision: int, *, wait_s: float) -> OrderChange:
        """Wait up to `wait_s` for changes after `revision` and return them."""
        events, current = self._watch(
            ORDER_KIND, revision, wait_s, allow_stale=False, event_type=_OrderEvent
        )
        orders = {}
        for event in events:
            order = None if event.deleted else self._decode_order(event.object)
            if order is not None or event.deleted:
                orders[event.object.metadata.name] = order
        return OrderChange(current, orders, is_complete=False)

    def write_order_status(self, order: ReleaseOrder, status: ReleaseStatus) -> int:
        """Replace the status of the order of `order.revision`; return the new one."""
        revision = self._expected_revision(order.revision, "store.status")
        body = {
            "metadata": {"name": order.name, "revision": revision},
            "status": _OrderStatus(
                _STATE_NAMES[status.state],
                status.target_version,
                round(status.share, 4),
                round(status.remaining_s, 3),
                status.reason,
                status.ordered_at,
            ),
        }
        path = f"/objects/{ORDER_KIND}/{quote(order.name)}/status"
        return self._decode_position(self._write("PUT", path, body, "store.status"))

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _decode_record(self, item: _Object) -> UpstreamRecord | None:
        try:
            spec = decode_json(item.spec, _record_spec_decoder)
            record = UpstreamRecord(
                item.metadata.name,
                spec.service,
                spec.data_centre,
                spec.region,
                spec.peer_address,
                spec.upstream_id,
                spec.state,
                spec.slots,
                spec.born_ms,
                self._position(item),
                spec.version,
            )
            check_record(record)
        except (msgspec.MsgspecError, ValueError) as error:
            emit(ObjectInvalid(RECORD_KIND, item.metadata.name, str(error)))
            return None
        return record

    def _decode_order(self, item: _Order) -> ReleaseOrder | None:
        """Return an order, None if it is invalid; an invalid status counts as none."""
        name = item.metadata.name
        try:
            spec = decode_json(item.spec, _order_spec_decoder)
            order = ReleaseOrder(
                name,
                spec.service,
                spec.target_version,
                spec.duration_s,
                self._position(item),
            )
            check_order(order)
        except (msgspec.MsgspecError, ValueError) as error:
            emit(ObjectInvalid(ORDER_KIND, name, str(error)))
            return None
        try:
            status = decode_json(item.status, _order_status_decoder)
        except (msgspec.MsgspecError, ValueError) as error:
            emit(ObjectInvalid(ORDER_KIND, name, f"status: {error}"))
            return order
        state = _STATES_BY_NAME.get(status.state) if status else None
        if state is None:
            return order
        return replace(
            order,
            status=ReleaseStatus(
                state,
                status.target_version,
                status.share,
                status.remaining_s,
                status.reason,
                # No order was written after its status.
                status.ordered_at if 0 < status.ordered_at <= order.revision else 0,
            ),
        )

    def _list(
        self, kind: str, *, allow_stale: bool, item_type: type = _Object
    ) -> tuple[list, int, bool]:
        """Return the valid objects of a kind, the revision, and whether all are read.

        Without the name of any object of a page, the next page cannot be requested.
        """
        objects = []
        revision = 0
        after = ""
        while True:
            query = {"after": after} if after else {}
            if allow_stale:
                query["allow_stale"] = "1"
            listing = self._read(kind, query, _Listing, "store.list")
            position = position_of(listing.current_rev, era=self._era)
            if revision and era_of(position) != era_of(revision):
                raise self._unavailable_error("pages are of two eras", "store.list")
            # The revision of the first page, so that a watch from it also reports
            # changes made between the pages.
            revision = revision or position
            objects += self._decode_items(kind, listing.items, item_type)
            if not listing.more:
                return objects, revision, True
            previous, after = after, _last_name(listing.items)
            if after in ("", previous):
                emit(ListingCut(kind, previous, len(listing.items)))
                return objects, revision, False

    def _watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
        *,
        allow_stale: bool,
        event_type: type = _Event,
    ) -> tuple[list, int]:
        era = era_of(revision)
        # A revision of an earlier era may have been given out again.
        if era < self._latest_era.value:
            raise self._era_error("store.watch")
        query = {
            "watch": str(revision_of(revision)),
            "wait_ms": str(int(wait_s * 1000)),
        }
        if allow_stale:
            query["allow_stale"] = "1"
        changes = self._read(
            kind,
            query,
            _Changes,
            "store.watch",
            timeout_s=wait_s + WATCH_RESPONSE_TIMEOUT_S,
        )
        if era != self._era:
            raise self._era_error("store.watch")
        position = position_of(changes.current_rev, era=era)
        return self._decode_items(kind, changes.events, event_type), position

    def _decode_items(
        self, kind: str, items: list[msgspec.Raw], item_type: type
    ) -> list:
        """Decode items separately, so that an invalid one does not hide the others."""
        objects = []
        for item in items:
            try:
                objects.append(decode_json(item, msgspec.json.Decoder(item_type)))
            except (msgspec.MsgspecError, ValueError) as error:
                emit(ObjectInvalid(kind, "", str(error)))
        return objects

    def _read(self, kind, query, item_type, step, *, timeout_s=CALL_TIMEOUT_S):
        is_stale = "allow_stale" in query
        name = WATCHES if "watch" in query else READS
        self._metrics.count(STALE_READS if is_stale else name)
        url = f"/objects/{quote(kind)}"
        if query:
            url += "?" + urlencode(query)
        try:
            status, data = self._request("GET", url, None, step, timeout_s=timeout_s)
        except StoreUnavailableError as error:
            if name == WATCHES and isinstance(error.__cause__, _ResponseTooLargeError):
                # A repetition would be as large; a full read has only the latest state.
                raise StoreHistoryGoneError(
                    f"changes exceed {MAX_RESPONSE_BYTES} bytes", step=step
                ) from error
            raise
        if status == 410:
            raise StoreHistoryGoneError(
                "the store discarded the changes after this revision", step=step
            )
        if status != 200:
            raise self._unavailable_error(f"answered {status}", step)
        return self._decode_response(data, item_type, step)

    def _write(self, method, path, body, step, *, missing_ok=False) -> bytes:
        self._metrics.count(WRITES)
        status, data = self._request(method, path, body, step)
        if status in (200, 201) or (missing_ok and status == 404):
            return data
        if status in (404, 409):
            raise StoreConditionError(
                f"answered {status}", step=step, peer=self._address
            )
        if status in (429, 503):
            raise self._unavailable_error(f"answered {status}", step)
        raise self._answer_lost_error(f"answered {status}", step)

    def _request(
        self, method, path, body, step, *, timeout_s=CALL_TIMEOUT_S
    ) -> tuple[int, bytes]:
        data = None if body is None else msgspec.json.encode(body)
        headers = dict(_OMITTED_HEADERS)
        if data is not None:
            headers["Content-Type"] = "application/json"
        try:
            connection = self._connect(step)
            with Timeout(timeout_s, TimeoutError("no response in time")):
                connection.request(
                    method, path, body=data, headers=headers, preload_content=False
                )
                response = connection.getresponse()
                # With a limit, urllib3 holds a second copy of the content.
                has_length = (response.length_remaining or math.inf) <= (
                    MAX_RESPONSE_BYTES
                )
                content = response.read(None if has_length else MAX_RESPONSE_BYTES + 1)
            if len(content) > MAX_RESPONSE_BYTES:
                raise _ResponseTooLargeError(
                    f"response exceeds {MAX_RESPONSE_BYTES} bytes"
                )
        except (OSError, HTTPException, HTTPError, ValueError) as error:
            self.close()
            if method == "GET":
                raise self._unavailable_error(repr(error), step) from error
            raise self._answer_lost_error(repr(error), step) from error
        except BaseException:
            self.close()
            raise
        self._idle_until = self._clock.now() + MAX_IDLE_S
        self._observe_era(response.headers.get(ERA_HEADER), method, step)
        if (response.headers.get("Connection") or "").lower() == "close":
            self.close()
        return response.status, content

    def _observe_era(self, value: str | None, method: str, step: str) -> None:
        """Note the era of an answer; one of an earlier era is no answer."""
        is_valid = value is not None and value.isascii() and value.isdigit()
        era = int(value) if is_valid and len(value) <= len(str(MAX_ERA)) else 0
        # An answer without an era is not from the store itself, or it has none.
        if not 0 < era <= MAX_ERA:
            era = self._latest_era.value
        if not self._latest_era.observe(era):
            self.close()
            reason = f"the answer is of era {era}, not {self._latest_era.value}"
            if method == "GET":
                raise self._unavailable_error(reason, step)
            raise self._answer_lost_error(reason, step)
        self._era = era

    def _expected_revision(self, position: int, step: str) -> int:
        """Return the revision for the condition of a write."""
        if era_of(position) < self._latest_era.value:
            raise StoreConditionError(
                "the expected revision is of an earlier era",
                step=step,
                peer=self._address,
            )
        return revision_of(position)

    def _position(self, item: "_Object | _Order") -> int:
        return position_of(item.metadata.revision, era=self._era)

    def _decode_position(self, data: bytes) -> int:
        try:
            return self._position(decode_json(data, msgspec.json.Decoder(_Object)))
        except (msgspec.MsgspecError, ValueError) as error:
            raise StoreAnswerLostError(f"invalid response: {error}") from error

    def _connect(self, step: str) -> _StoreConnection:
        if self._connection is not None and (
            self._clock.now() > self._idle_until or not _is_reusable(self._connection)
        ):
            self.close()
        if self._connection is None:
            host, _, port = self._address.rpartition(":")
            connection = _StoreConnection(host, int(port))
            started_at = monotonic()
            try:
                connection.connect()
            except OSError as error:
                raise self._unavailable_error(
                    f"cannot connect: {error}", step
                ) from error
            # Connecting takes one round trip, independent of the store's load.
            self._min_round_trip_s = min(
                self._min_round_trip_s, monotonic() - started_at
            )
            self._connection = connection
        return self._connection

    def _decode_response(self, data: bytes, item_type: type, step: str):
        try:
            return decode_json(data, msgspec.json.Decoder(item_type))
        except (msgspec.MsgspecError, ValueError) as error:
            raise self._unavailable_error(f"invalid response: {error}", step) from error

    def _era_error(self, step: str) -> StoreHistoryGoneError:
        return StoreHistoryGoneError(
            "the store came back from an older copy", step=step
        )

    def _unavailable_error(self, reason: str, step: str) -> StoreUnavailableError:
        self._metrics.count(FAILURES)
        return StoreUnavailableError(reason, step=step, peer=self._address)

    def _answer_lost_error(self, reason: str, step: str) -> StoreAnswerLostError:
        self._metrics.count(FAILURES)
        return StoreAnswerLostError(reason, step=step, peer=self._address)


class _ResponseTooLargeError(ValueError):
    """A response has more than `MAX_RESPONSE_BYTES`."""


def _last_name(items: list[msgspec.Raw]) -> str:
    """Return the last name among objects, empty if none has one."""
    for item in reversed(items):
        try:
            return decode_json(item, _named_decoder).metadata.name
        except (msgspec.MsgspecError, ValueError):
            continue  # logged as invalid with the other items of its page
    return ""


def decode_stored_configuration(
    data: bytes, revision: int, *, decode: DocumentDecoder = decode_configuration
) -> MeshConfiguration | None:
    """Return the configuration in a document, None if it is invalid."""
    try:
        return decode(data, revision)
    except (msgspec.MsgspecError, ValueError) as error:
        emit(ObjectInvalid(CONFIGURATION_KIND, CONFIGURATION_NAME, str(error)))
        return None


def _record_spec(record: UpstreamRecord) -> _RecordSpec:
    return _RecordSpec(
        record.service,
        record.data_centre,
        record.region,
        record.peer_address,
        record.upstream_id,
        record.state,
        record.slots,
        record.born_ms,
        record.version,
    )
