"""HTTP client for the operator pages of a node."""

import json
from typing import Any
from urllib.parse import urlencode

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from verbenawick.errors import NodePageError

HTTP_OK = 200


def read_page(
    address: str,
    path: str,
    query: dict[str, str],
    *,
    timeout_s: float,
    headers: dict[str, str] | None = None,
) -> Any:
    """Return the JSON value of an operator page.

    Parameters
    ----------
    address : str
        ``"ip:port"`` on which the node serves the pages, its `admin_address`.

    Raises
    ------
    NodePageError
        The node does not respond, responds with invalid JSON, or rejects the query.
    """
    http = PoolManager(timeout=Timeout(timeout_s), retries=False)
    url = f"http://{address}{path}?{urlencode(query)}"
    try:
        response = http.request("GET", url, headers=headers)
    except HTTPError as error:
        raise NodePageError(
            f"the node does not answer: {error}; check its admin_address",
            step="page.read",
            peer=address,
        ) from error
    try:
        value = json.loads(response.data)
    except ValueError as error:
        raise NodePageError(
            f"the response is not JSON: {error}", step="page.decode", peer=address
        ) from error
    if response.status != HTTP_OK:
        raise NodePageError(
            f"the node rejected {path}: {value}", step="page.read", peer=address
        )
    return value
