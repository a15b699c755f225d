"""Client of the platform's object API, based on urllib3."""

import base64
import json
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import quote, urlencode

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.util import SKIP_HEADER

from verbenawick.errors import (
    StoreAnswerLostError,
    StoreConditionError,
    StoreUnavailableError,
    StoreValueTooLargeError,
)
from verbenawick.links._component import StoreObject
from verbenawick.runtime._strict_response import StrictResponse

MAX_VALUE_BYTES = 1_000_000
DEFAULT_TIMEOUT_S = 2.0
# A node makes at most four calls and one watch concurrently.
MAX_IDLE_CONNECTIONS = 8
VERSION_HEADER = "Object-Version"
AGE_HEADER = "Object-Age-Ms"
CONDITION_HEADER = "If-Object-Version"
# urllib3 sends these headers by default. The store needs neither, and they took 60 of
# about 160 header bytes of each lease renewal, which is sent across regions every
# second.
OMITTED_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}


@dataclass(slots=True)
class Traffic:
    """Byte counters of the traffic with the store, including HTTP headers.

    Attributes
    ----------
    bytes_by_part : Counter
        The same bytes by kind of request (such as ``"leases"`` or ``"watch"``) and
        part (``"request-headers"``, ``"request-body"``, ``"response-headers"``,
        ``"response-body"``).
    """

    bytes_sent: int = 0
    bytes_received: int = 0
    bytes_by_part: Counter[tuple[str, str]] = field(default_factory=Counter)

    def count_request(self, url: str, data: bytes, *, is_body: bool) -> None:
        """Count data that is sent in a request to `url`."""
        part = "request-body" if is_body else "request-headers"
        self.bytes_sent += len(data)
        self.bytes_by_part[_request_kind(url), part] += len(data)

    def count_response(self, url: str, *, headers: int, body: int) -> None:
        """Count the bytes of the response to a request to `url`."""
        self.bytes_received += headers + body
        self.bytes_by_part[_request_kind(url), "response-headers"] += headers
        self.bytes_by_part[_request_kind(url), "response-body"] += body


def _request_kind(url: str) -> str:
    """Return the first segment of the object key, or the name of the request."""
    return url.partition("?")[0].removeprefix("/objects/").strip("/").partition("/")[0]


@dataclass(frozen=True, slots=True)
class StoreListing:
    """Result of `list` and `watch`.

    Attributes
    ----------
    revision : int
        Revision to pass to the next `watch`.
    objects : tuple of StoreObject
        Objects ordered by key. In the result of a `watch`, version 0 marks a deleted
        object.
    is_complete : bool
        Whether all existing objects with the prefixes are included, so that previously
        known objects that are missing were deleted. A `watch` returns such a result if
        the store no longer has all changes since the requested revision.
    """

    revision: int
    objects: tuple[StoreObject, ...]
    is_complete: bool = False


class _CountingConnection(HTTPConnection):
    response_class = StrictResponse

    def __init__(self, *args, traffic: Traffic, **kwargs):
        super().__init__(*args, **kwargs)
        self._traffic = traffic
        self._url = ""
        self._are_headers_sent = False

    def putrequest(self, method, url, *args, **kwargs):
        self._url = url
        self._are_headers_sent = False
        super().putrequest(method, url, *args, **kwargs)

    def send(self, data):
        # The first send of a request contains its headers.
        self._traffic.count_request(self._url, data, is_body=self._are_headers_sent)
        self._are_headers_sent = True
        super().send(data)


class _CountingPool(HTTPConnectionPool):
    ConnectionCls = _CountingConnection


class StoreClient:
    """Blocking client of the object API; also works with eventlet monkey patching.

    Parameters
    ----------
    address : str
        ``"ip:port"`` of the store.
    source_ip : str
        Local IP address to connect from; any if empty.
    timeout_s : float
        Timeout for connecting and, separately, for the response.

    Attributes
    ----------
    traffic : Traffic
        Number of bytes sent and received so far.
    """

    def __init__(
        self,
        address: str,
        *,
        source_ip: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ):
        self.address = address
        self.traffic = Traffic()
        self._timeout_s = timeout_s
        host, _, port = address.rpartition(":")
        self._pool = _CountingPool(
            host,
            int(port),
            maxsize=MAX_IDLE_CONNECTIONS,
            source_address=(source_ip, 0) if source_ip else None,
            traffic=self.traffic,
        )

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def get(self, key: str) -> StoreObject:
        """Return an object, with version 0 if it does not exist.

        Raises
        ------
        StoreUnavailableError
            The store does not respond or is unavailable.
        """
        response = self._read(f"/objects/{quote(key)}", "store.get")
        if response.status == 404:
            return StoreObject(key, b"", 0)
        version = _parse_version(response)
        age_s = int(response.headers.get(AGE_HEADER, "0")) / 1000
        return StoreObject(key, response.data, version, age_s)

    def update(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write an object if it has `expected_version`, 0 for an absent one.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        StoreValueTooLargeError
            `value` exceeds the size limit of the store; nothing was sent.
        StoreUnavailableError
            The write did not take effect: nothing was sent, or the store is down.
        StoreAnswerLostError
            The write may have taken effect, or may take effect later.
        StoreConditionError
            The object has another version, which the error contains.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise StoreValueTooLargeError(
                f"{key} has {len(value)} bytes; the store accepts {MAX_VALUE_BYTES}",
                step="store.update",
                peer=self.address,
            )
        return _parse_version(
            self._write("PUT", key, value, expected_version, "store.update")
        )

    def delete(self, key: str, *, expected_version: int) -> None:
        """Delete an object if it has `expected_version`.

        Raises the same errors as `update`.
        """
        self._write("DELETE", key, None, expected_version, "store.delete")

    def list(self, prefix: str) -> StoreListing:
        """Return all objects whose keys start with `prefix`."""
        url = "/list?" + urlencode({"prefix": prefix})
        return _parse_listing(self._read(url, "store.list").data, is_complete=True)

    def watch(
        self, prefixes: tuple[str, ...], *, after: int, wait_s: float
    ) -> StoreListing:
        """Return the objects that changed after a revision; wait for the first change.

        Parameters
        ----------
        prefixes : tuple of str
            Key prefixes of the watched objects.
        after : int
            Revision of the previous listing.
        wait_s : float
            Maximum wait; if nothing changed by then, the listing is empty.
        """
        pairs = [("prefix", prefix) for prefix in prefixes]
        pairs += [("after", str(after)), ("wait_ms", str(int(wait_s * 1000)))]
        timeout_s = wait_s + self._timeout_s
        url = "/watch?" + urlencode(pairs)
        response = self._read(url, "store.watch", timeout_s=timeout_s)
        if response.status == 410:
            return self._list_all(prefixes)
        return _parse_listing(response.data)

    def _list_all(self, prefixes: tuple[str, ...]) -> StoreListing:
        listings = [self.list(prefix) for prefix in prefixes]
        objects = {obj.key: obj for listing in listings for obj in listing.objects}
        # With the lowest revision, the next watch repeats changes made between the list
        # requests instead of missing them.
        revision = min(listing.revision for listing in listings)
        return StoreListing(revision, tuple(objects.values()), is_complete=True)

    def _read(
        self, url: str, step: str, *, timeout_s: float | None = None
    ) -> BaseHTTPResponse:
        try:
            response = self._send("GET", url, None, {}, timeout_s or self._timeout_s)
        except HTTPError as error:
            raise self._unavailable_error(str(error), step) from error
        if response.status not in (200, 404, 410):
            raise self._unavailable_error(f"status {response.status}", step)
        return response

    def _write(
        self, method: str, key: str, value: bytes | None, expected: int, step: str
    ) -> BaseHTTPResponse:
        headers = {CONDITION_HEADER: str(expected)}
        url = f"/objects/{quote(key)}"
        try:
            response = self._send(method, url, value, headers, self._timeout_s)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise self._unavailable_error(str(error), step) from error
        except HTTPError as error:
            raise self._answer_lost_error(str(error), step) from error
        if response.status == 412:
            raise StoreConditionError(
                f"{key} does not have version {expected}",
                current_version=_parse_version(response),
                step=step,
                peer=self.address,
            )
        if response.status == 413:
            raise StoreValueTooLargeError(
                f"{key} exceeds the size limit of the store",
                step=step,
                peer=self.address,
            )
        if 400 <= response.status < 500 or response.status == 503:
            raise self._unavailable_error(f"status {response.status}", step)
        if response.status != 200:
            raise self._answer_lost_error(f"status {response.status}", step)
        return response

    def _send(self, method, url, body, headers, timeout_s) -> BaseHTTPResponse:
        response = self._pool.urlopen(
            method,
            url,
            body=body,
            headers=OMITTED_HEADERS | headers,
            retries=False,
            redirect=False,
            timeout=Timeout(connect=self._timeout_s, read=timeout_s),
        )
        self.traffic.count_response(
            url, headers=_header_size(response), body=len(response.data)
        )
        return response

    def _unavailable_error(self, reason: str, step: str) -> StoreUnavailableError:
        return StoreUnavailableError(
            f"the store is unavailable: {_strip_connection(reason)}",
            step=step,
            peer=self.address,
        )

    def _answer_lost_error(self, reason: str, step: str) -> StoreAnswerLostError:
        return StoreAnswerLostError(
            f"the store's answer was lost: {_strip_connection(reason)}",
            step=step,
            peer=self.address,
        )


def _strip_connection(reason: str) -> str:
    """Remove the connection that urllib3 puts in front of the reason."""
    return reason.partition("): ")[2] or reason


def _parse_version(response: BaseHTTPResponse) -> int:
    return int(response.headers.get(VERSION_HEADER, "0"))


def _header_size(response: BaseHTTPResponse) -> int:
    # Size of the status line ("HTTP/1.1 200 OK") and of the headers ("name: value").
    status_line = len("HTTP/1.1 200 \r\n") + len(response.reason or "")
    lines = (len(name) + len(value) + 4 for name, value in response.headers.items())
    return status_line + sum(lines) + 2


def _parse_listing(data: bytes, *, is_complete: bool = False) -> StoreListing:
    content = json.loads(data)
    objects = tuple(
        StoreObject(
            item["key"],
            base64.b64decode(item.get("value", "")),
            item["version"],
            item.get("age_ms", 0) / 1000,
        )
        for item in content["objects"]
    )
    return StoreListing(content["revision"], objects, is_complete)
