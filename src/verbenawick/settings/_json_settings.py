"""What all settings files share: JSON with comments, and addresses."""

from ipaddress import ip_address
from pathlib import Path

import json5

from verbenawick.errors import SettingsError


def check_address(value: str) -> str:
    """Return `value` when it is ``"ip:port"``.

    Raises
    ------
    ValueError
        It is not; the message says how to write it.
    """
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(
            f"{value!r} is not 'ip:port'; write for example '127.0.0.1:80'"
        )
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(
            f"{host!r} is not an IP number; names are not resolved"
        ) from None
    return value


def load_json_with_comments(path: Path) -> object:
    """Return the value in a file of JSON with comments.

    Raises
    ------
    SettingsError
        The file cannot be read, is not JSON, or has a key twice in one object.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return json5.loads(text, object_pairs_hook=_refuse_duplicate_keys)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}", step="settings.read") from error


def _refuse_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    values_by_key: dict[str, object] = {}
    for key, value in pairs:
        if key in values_by_key:
            raise ValueError(f"key {key!r} appears twice")
        values_by_key[key] = value
    return values_by_key
