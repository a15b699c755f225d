"""Bounds of the records of upstreams, whichever way a node receives them."""

from verbenawick.mesh._model import UpstreamRecord

MAX_PORT = 65_535
MAX_SLOTS = 10_000
# Times and revisions are signed 64-bit integers.
MAX_INTEGER = 2**63 - 1
MAX_NAME_LENGTH = 256


def check_record(record: UpstreamRecord) -> None:
    """Raise `ValueError` if no node can use `record`."""
    names = {
        "service": record.service,
        "data_centre": record.data_centre,
        "region": record.region,
        "upstream_id": record.upstream_id,
    }
    for field, name in names.items():
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise ValueError(f"{field} has {len(name)} characters")
    if len(record.version) > MAX_NAME_LENGTH:
        raise ValueError(f"version has {len(record.version)} characters")
    _check_address(record.peer_address)
    if not 1 <= record.slots <= MAX_SLOTS:
        raise ValueError(f"slots are not between 1 and {MAX_SLOTS}")
    for field, value in (("born_ms", record.born_ms), ("revision", record.revision)):
        if not 0 <= value <= MAX_INTEGER:
            raise ValueError(f"{field} is out of range")


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    # `int` refuses very long strings of digits with an error of its own.
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not is_number or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{address[:MAX_NAME_LENGTH]!r} is no address with a port")
