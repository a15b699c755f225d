"""Entry point of the command line interface."""

import sys
from warnings import filterwarnings


def main() -> None:
    """Run the command in `sys.argv` and exit with its code."""
    # eventlet warns of its deprecation on import; the project's rules require it.
    filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    if sys.argv[1:2] == ["node"]:
        # Importing the daemon monkey-patches the standard library, which must happen
        # before the other imports.
        import verbenawick.node._daemon  # noqa: F401
    from verbenawick.operators._cli import run
    from verbenawick.runtime._logging import configure_logging
    from verbenawick.settings._settings import LogSettings

    # A node reconfigures logging with its own settings.
    configure_logging(LogSettings(level="WARNING"), node_id="ctl")
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
