"""Command ``python -m verbenawick.platform``, which runs a node on the platform."""

import gc
import signal
import sys

SETTINGS_VARIABLE = "VERBENAWICK_SETTINGS"


def main() -> int:
    """Run a node until a stop signal arrives; return the exit code."""
    # The platform sends SIGHUP when the settings change, also while a node starts.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create few objects that become garbage. `run_platform_node` enables the
    # collector again.
    gc.disable()
    # Imported here because a signal before the handler is set ends the process.
    import os
    from argparse import ArgumentParser
    from pathlib import Path
    from warnings import filterwarnings

    parser = ArgumentParser(
        prog="python -m verbenawick.platform",
        description="Run a node on the users' platform.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        metavar="FILE",
        help=f"settings file, JSON with comments (default: {SETTINGS_VARIABLE})",
    )
    arguments = parser.parse_args()
    if arguments.settings is None:
        parser.error(f"set the settings file with --settings or {SETTINGS_VARIABLE}")
    # eventlet warns of its deprecation on import; the project's rules require it.
    filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    # Header names are deliberately forwarded as the upstream wrote them.
    filterwarnings("ignore", message="capitalize_response_headers is disabled")
    # Imported here because the import monkey-patches the standard library.
    from verbenawick.errors import SettingsError
    from verbenawick.platform._daemon import run_platform_node

    try:
        return run_platform_node(Path(arguments.settings))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
