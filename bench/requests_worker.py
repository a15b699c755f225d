"""Callers of `bench.requests`: threads that each send requests on one connection."""

import http.client
import sys
from concurrent.futures import ThreadPoolExecutor


def send_requests(address: str, caller: int, count: int) -> None:
    """Send `count` requests, one after another.

    Raises
    ------
    ValueError
        An answer has another status than 200.
    """
    connection = http.client.HTTPConnection(address)
    for number in range(count):
        headers = {
            "Host": "mesh.example",
            "Attempt-Id": f"a-{caller}-{number}",
            "Deadline-Remaining": "5000",
        }
        connection.request("GET", f"/x/{number}", headers=headers)
        response = connection.getresponse()
        response.read()
        if response.status != 200:
            raise ValueError(f"answered {response.status}")


if __name__ == "__main__":
    with ThreadPoolExecutor(int(sys.argv[2])) as executor:
        callers = range(int(sys.argv[2]))
        count = int(sys.argv[3])
        list(executor.map(lambda c: send_requests(sys.argv[1], c, count), callers))
