"""Command ``python -m verbenawick.platform``, which runs a node on the platform."""

import gc
import signal
import sys

SETTINGS_VARIABLE = "VERBENAWICK_SETTINGS"

# Libraries import these modules, which a node does not use, and do without them if they
# are missing. The store is reached without TLS; the standard library has the digests of
# `_hashlib` itself, and the names of `typing_extensions` in `typing`.
UNAVAILABLE_MODULES = ("ssl", "_hashlib", "typing_extensions")


def main() -> int:
    """Run a node until a stop signal arrives; return the exit code."""
    # The platform sends SIGHUP when the settings change, also while a node starts.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create few objects that become garbage. `run_platform_node` enables the
    # collector again.
    gc.disable()
    # Imported here because a signal before the handler is set ends the process.
    import os
    from pathlib import Path
    from warnings import filterwarnings

    import verbenawick.runtime._process_start  # noqa: F401
    from verbenawick.runtime._deferred_imports import (
        defer_module,
        unavailable_modules,
    )

    variable = os.environ.get(SETTINGS_VARIABLE)
    if len(sys.argv) > 1 or variable is None:
        path = _parse_arguments(variable)
    else:
        path = Path(variable)
    # eventlet warns of its deprecation on import; the project's rules require it.
    filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    # Header names are deliberately forwarded as the upstream wrote them.
    filterwarnings("ignore", message="capitalize_response_headers is disabled")
    defer_module("asyncio", functions=("get_running_loop",))
    defer_module("html")
    defer_module("importlib.metadata", functions=("version",))
    defer_module("shutil")
    # Imported here because the import monkey-patches the standard library.
    with unavailable_modules(UNAVAILABLE_MODULES):
        from verbenawick.errors import SettingsError
        from verbenawick.platform._daemon import run_platform_node

    try:
        return run_platform_node(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2


def _parse_arguments(variable):
    """Return the path of the settings file, whose default is `variable`."""
    # Imported here because the platform starts a node without arguments.
    from argparse import ArgumentParser
    from pathlib import Path

    parser = ArgumentParser(
        prog="python -m verbenawick.platform",
        description="Run a node on the users' platform.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=variable,
        metavar="FILE",
        help=f"settings file, JSON with comments (default: {SETTINGS_VARIABLE})",
    )
    arguments = parser.parse_args()
    if arguments.settings is None:
        parser.error(f"set the settings file with --settings or {SETTINGS_VARIABLE}")
    return arguments.settings


if __name__ == "__main__":
    sys.exit(main())
