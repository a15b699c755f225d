"""Client of the platform's object API over urllib3."""

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

MAX_VALUE_BYTES = 1_000_000
DEFAULT_TIMEOUT_S = 2.0
# A node has at most four calls and a watch at the same time.
MAX_IDLE_CONNECTIONS = 8
VERSION_HEADER = "Object-Version"
AGE_HEADER = "Object-Age-Ms"
CONDITION_HEADER = "If-Object-Version"
# urllib3 adds these headers by default. The store needs neither, and they were 60 of
# about 160 header bytes of each lease renewal, which cross regions every second.
OMITTED_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}


@dataclass(slots=True)
class Traffic:
    """Bytes exchanged with the store, HTTP headers included.

    Attributes
    ----------
    bytes_by_part : Counter
        The same bytes by kind of request (``"leases"``, ``"watch"``) and part
        (``"request-headers"``, ``"request-body"`` and the same of the response).
    """

    bytes_sent: int = 0
    bytes_received: int = 0
    bytes_by_part: Counter[tuple[str, str]] = field(default_factory=Counter)

    def count_request(self, url: str, data: bytes, *, is_body: bool) -> None:
        """Count data that a request to `url` sends."""
        part = "request-body" if is_body else "request-headers"
        self.bytes_sent += len(data)
        self.bytes_by_part[_kind_of(url), part] += len(data)

    def count_response(self, url: str, *, headers: int, body: int) -> None:
        """Count the bytes of the response to a request to `url`."""
        self.bytes_received += headers + body
        self.bytes_by_part[_kind_of(url), "response-headers"] += headers
        self.bytes_by_part[_kind_of(url), "response-body"] += body


def _kind_of(url: str) -> str:
    """Return the first part of the object's key, else the name of the request."""
    return url.partition("?")[0].removeprefix("/objects/").strip("/").partition("/")[0]


@dataclass(frozen=True, slots=True)
class StoreListing:
    """Answer to `list` and `watch`.

    Attributes
    ----------
    revision : int
        Revision to pass to the next `watch`.
    objects : tuple of StoreObject
        Objects by key; after a `watch`, a removed one has version 0.
    is_complete : bool
        Whether every existing object below the prefixes is included, so that others
        that were known before are gone. `watch` answers so when the store no longer
        knows all changes after the revision asked for.
    """

    revision: int
    objects: tuple[StoreObject, ...]
    is_complete: bool = False


class _CountingConnection(HTTPConnection):
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
        # The first data of a request are its headers.
        self._traffic.count_request(self._url, data, is_body=self._are_headers_sent)
        self._are_headers_sent = True
        super().send(data)


class _CountingPool(HTTPConnectionPool):
    ConnectionCls = _CountingConnection


class StoreClient:
    """Blocking client of the object API; works under eventlet's patching too.

    Parameters
    ----------
    address : str
        ``"ip:port"`` of the store.
    source_ip : str
        Own IP number to connect from; any when empty.
    timeout_s : float
        Longest wait for a connection and, again, for an answer.

    Attributes
    ----------
    traffic : Traffic
        Bytes sent and received so far.
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
        """Return an object; an absent one has version 0.

        Raises
        ------
        StoreUnavailableError
            The store does not answer or is down.
        """
        response = self._read(f"/objects/{quote(key)}", "store.get")
        if response.status == 404:
            return StoreObject(key, b"", 0)
        version = _version_in(response)
        age_s = int(response.headers.get(AGE_HEADER, "0")) / 1000
        return StoreObject(key, response.data, version, age_s)

    def update(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write on the condition that the version is `expected_version`; 0: absent.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        StoreValueTooLargeError
            `value` is over the store's limit; nothing was sent.
        StoreUnavailableError
            The write did not take effect: nothing was sent, or the store is down.
        StoreAnswerLostError
            The write may have taken effect, or may still do so.
        StoreConditionError
            The object has another version, named in the error.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise StoreValueTooLargeError(
                f"{key} has {len(value)} bytes; the store takes {MAX_VALUE_BYTES}",
                step="store.update",
                peer=self.address,
            )
        return _version_in(
            self._write("PUT", key, value, expected_version, "store.update")
        )

    def delete(self, key: str, *, expected_version: int) -> None:
        """Remove an object on the condition that it has `expected_version`.

        Raises the errors of `update`.
        """
        self._write("DELETE", key, None, expected_version, "store.delete")

    def list(self, prefix: str) -> StoreListing:
        """Return all objects whose keys start with `prefix`."""
        url = "/list?" + urlencode({"prefix": prefix})
        return _parse_listing(self._read(url, "store.list").data, is_complete=True)

    def watch(
        self, prefixes: tuple[str, ...], *, after: int, wait_s: float
    ) -> StoreListing:
        """Return objects changed after a revision; wait until there is one.

        Parameters
        ----------
        prefixes : tuple of str
            Objects below any of these are watched.
        after : int
            Revision of the listing before.
        wait_s : float
            Longest wait; the listing is empty when nothing changed.
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
        # A later watch repeats what changed between the lists instead of missing it.
        revision = min(listing.revision for listing in listings)
        return StoreListing(revision, tuple(objects.values()), is_complete=True)

    def _read(
        self, url: str, step: str, *, timeout_s: float | None = None
    ) -> BaseHTTPResponse:
        try:
            response = self._send("GET", url, None, {}, timeout_s or self._timeout_s)
        except HTTPError as error:
            raise self._unavailable(str(error), step) from error
        if response.status not in (200, 404, 410):
            raise self._unavailable(f"answered {response.status}", step)
        return response

    def _write(
        self, method: str, key: str, value: bytes | None, expected: int, step: str
    ) -> BaseHTTPResponse:
        headers = {CONDITION_HEADER: str(expected)}
        url = f"/objects/{quote(key)}"
        try:
            response = self._send(method, url, value, headers, self._timeout_s)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise self._unavailable(str(error), step) from error
        except HTTPError as error:
            raise self._answer_lost(str(error), step) from error
        if response.status == 412:
            raise StoreConditionError(
                f"{key} does not have version {expected}",
                current_version=_version_in(response),
                step=step,
                peer=self.address,
            )
        if response.status == 413:
            raise StoreValueTooLargeError(
                f"{key} is over the store's limit", step=step, peer=self.address
            )
        if 400 <= response.status < 500 or response.status == 503:
            raise self._unavailable(f"answered {response.status}", step)
        if response.status != 200:
            raise self._answer_lost(f"answered {response.status}", step)
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
            url, headers=_header_bytes(response), body=len(response.data)
        )
        return response

    def _unavailable(self, reason: str, step: str) -> StoreUnavailableError:
        return StoreUnavailableError(
            f"the store is unavailable: {_without_object(reason)}",
            step=step,
            peer=self.address,
        )

    def _answer_lost(self, reason: str, step: str) -> StoreAnswerLostError:
        return StoreAnswerLostError(
            f"the store's answer was lost: {_without_object(reason)}",
            step=step,
            peer=self.address,
        )


def _without_object(reason: str) -> str:
    """Drop the connection that urllib3 names before the reason."""
    return reason.partition("): ")[2] or reason


def _version_in(response: BaseHTTPResponse) -> int:
    return int(response.headers.get(VERSION_HEADER, "0"))


def _header_bytes(response: BaseHTTPResponse) -> int:
    # Status line and headers as on the wire: "HTTP/1.1 200 OK", "name: value".
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
