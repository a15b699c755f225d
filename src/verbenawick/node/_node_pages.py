"""Reads the operators' pages of a node over HTTP."""

import json
from typing import Any
from urllib.parse import urlencode

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from verbenawick.errors import NodePageError

HTTP_OK = 200


def read_page(
    address: str, path: str, query: dict[str, str], *, timeout_s: float
) -> Any:
    """Return the JSON value of a page.

    Parameters
    ----------
    address : str
        ``"ip:port"`` of the node's `admin_address`.

    Raises
    ------
    NodePageError
        The node does not answer, or refuses the query.
    """
    http = PoolManager(timeout=Timeout(timeout_s), retries=False)
    url = f"http://{address}{path}?{urlencode(query)}"
    try:
        response = http.request("GET", url)
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
            f"the answer is not JSON: {error}", step="page.decode", peer=address
        ) from error
    if response.status != HTTP_OK:
        raise NodePageError(
            f"the node refused {path}: {value}", step="page.read", peer=address
        )
    return value
