"""Helpers for all settings files: JSON with comments, and validation of addresses."""

import json
from ipaddress import ip_address
from pathlib import Path

from verbenawick.errors import SettingsError


def check_address(value: str) -> str:
    """Return `value` if it has the form ``"ip:port"``.

    Raises
    ------
    ValueError
        It does not; the message describes the expected form.
    """
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} is not 'ip:port'; use for example '127.0.0.1:80'")
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(
            f"{host!r} is not an IP address; host names are not resolved"
        ) from None
    return value


def load_json_with_comments(path: Path) -> object:
    """Return the parsed value of a file in JSON with comments.

    Raises
    ------
    SettingsError
        The file cannot be read, is not valid JSON, or repeats a key in an object.
    """
    try:
        return _parse(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}", step="settings.read") from error
    except RecursionError:
        raise SettingsError(
            f"{path}: values are nested too deeply", step="settings.read"
        ) from None


def _parse(text: str) -> object:
    # Plain JSON with lines of comments needs no json5, which takes 10 ms and 1 MB.
    lines = text.splitlines(keepends=True)
    plain = "".join(line for line in lines if not line.lstrip().startswith("//"))
    try:
        return json.loads(plain, object_pairs_hook=_reject_duplicate_keys)
    except ValueError:
        import json5

        return json5.loads(text, object_pairs_hook=_reject_duplicate_keys)


def _reject_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    values_by_key: dict[str, object] = {}
    for key, value in pairs:
        if key in values_by_key:
            raise ValueError(f"key {key!r} appears twice in an object")
        values_by_key[key] = value
    return values_by_key
