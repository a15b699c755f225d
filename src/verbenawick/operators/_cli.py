"""Parsing of arguments, and execution of commands up to the exit code."""

import os
import sys
from argparse import ArgumentParser, ArgumentTypeError, RawDescriptionHelpFormatter
from collections.abc import Sequence
from pathlib import Path

from pydantic import TypeAdapter, ValidationError

from verbenawick.configuration._document import PRESET_IDS
from verbenawick.errors import VerbenawickError
from verbenawick.operators._cli_output import Result, error_result
from verbenawick.operators._commands import commands_by_name
from verbenawick.runtime._exit_codes import DESCRIPTIONS_BY_EXIT_CODE, ExitCode
from verbenawick.settings._settings import Address
from verbenawick.store._store import DEFAULT_TIMEOUT_S

STORE_VARIABLE = "VERBENAWICK_STORE"
# Commands that do not need the store.
LOCAL_COMMANDS = (
    *("check", "explain", "node"),
    *("ctl validate", "ctl explain", "ctl route"),
)
INTERRUPTED_TEXT = "interrupted; `ctl history` shows whether a change was accepted"

EXIT_CODES_HELP = "exit codes:\n" + "\n".join(
    f"  {code:d}  {text}" for code, text in DESCRIPTIONS_BY_EXIT_CODE.items()
)
CTL_HELP = f"""typical use:
  verbenawick ctl validate mesh.json5
  verbenawick ctl --store 10.0.0.5:80 diff mesh.json5
  verbenawick ctl --store 10.0.0.5:80 apply mesh.json5 --wait 14
  verbenawick ctl --store 10.0.0.5:80 preset switch peak --wait 14
  verbenawick ctl --store 10.0.0.5:80 status

{EXIT_CODES_HELP}
"""

_address_adapter = TypeAdapter(Address)


def run(argv: Sequence[str]) -> int:
    """Run a command, print its result and return the exit code.

    Results are printed to standard output and errors to standard error. With
    ``--json``, either is one JSON object on standard output.
    """
    parser = build_parser()
    arguments = parser.parse_args(argv)
    if arguments.command not in LOCAL_COMMANDS and not arguments.store:
        parser.error(
            f"set the address of the store with --store IP:PORT or {STORE_VARIABLE}"
        )
    is_json = getattr(arguments, "json", False)
    try:
        result = commands_by_name[arguments.command](arguments)
    except KeyboardInterrupt:
        result = Result(ExitCode.UNKNOWN, INTERRUPTED_TEXT)
    except VerbenawickError as error:
        result = error_result(error)
        if not is_json:
            print(result.text, file=sys.stderr)
            return result.exit_code
    text = result.render(is_json=is_json)
    if text:
        print(text)
    return result.exit_code


def build_parser() -> ArgumentParser:
    """Return the parser of all commands."""
    parser = ArgumentParser(
        prog="verbenawick",
        description="Configuration distribution and call routing for a service mesh.",
        epilog=EXIT_CODES_HELP,
        formatter_class=RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    node = _add_command(commands, "node", help="run the node of an upstream")
    node.add_argument("--settings", type=Path, required=True, metavar="FILE")
    timeline = _add_command(
        commands, "explain", help="show the log lines of a request in order of time"
    )
    timeline.add_argument("--request", required=True, metavar="ID")
    timeline.add_argument("files", type=Path, nargs="+", metavar="FILE")
    check = _add_command(commands, "check", help="validate the settings file of a node")
    check.add_argument("file", type=Path, metavar="FILE")
    _add_json(check)
    _add_ctl(commands)
    return parser


def _add_ctl(commands) -> None:
    ctl = commands.add_parser(
        "ctl",
        help="change the configuration and show its status",
        description="Change the configuration and show its status.",
        epilog=CTL_HELP,
        formatter_class=RawDescriptionHelpFormatter,
    )
    ctl.add_argument(
        "--store",
        type=_address,
        metavar="IP:PORT",
        default=os.environ.get(STORE_VARIABLE),
        help=f"address of the platform's object API (default: {STORE_VARIABLE})",
    )
    ctl.add_argument(
        "--timeout",
        type=_seconds,
        default=DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="timeout of a request to the store (default: %(default)s)",
    )
    ctl.add_argument(
        "--author", default="", help="author of the change (default: login name)"
    )
    commands = ctl.add_subparsers(required=True, metavar="COMMAND")
    _add_read_commands(commands)
    _add_change_commands(commands)


def _add_read_commands(commands) -> None:
    for name, text in (
        ("validate", "validate a document, without the store"),
        ("diff", "show the changes that applying a document would make"),
    ):
        _add_command(commands, name, group="ctl", help=text, is_json=True).add_argument(
            "file", type=Path, metavar="FILE"
        )
    _add_command(
        commands, "show", group="ctl", help="print the accepted document", is_json=True
    )
    history = _add_command(
        commands, "history", group="ctl", help="list the accepted changes", is_json=True
    )
    history.add_argument("--limit", type=_non_negative_integer, default=20, metavar="N")
    resolve = _add_command(
        commands,
        "resolve",
        group="ctl",
        help="find out whether a change of unknown outcome was accepted",
        is_json=True,
    )
    resolve.add_argument("change_id", metavar="CHANGE_ID")
    _add_command(
        commands,
        "status",
        group="ctl",
        help="show whether the accepted version is in force everywhere",
        is_json=True,
    )
    _add_explain(commands)
    _add_route(commands)


def _add_route(commands) -> None:
    route = _add_command(
        commands,
        "route",
        group="ctl",
        help="show where a node would send a call now and why, without sending it",
        is_json=True,
    )
    route.add_argument(
        "--node",
        type=_address,
        required=True,
        metavar="IP:PORT",
        help="metrics_address of the node to ask",
    )
    route.add_argument(
        "--key-file",
        type=Path,
        metavar="FILE",
        help="file with the key of the caller, which arguments would show to others",
    )
    route.add_argument("host", metavar="HOST")
    route.add_argument("path", type=_path, metavar="PATH")


def _add_explain(commands) -> None:
    explain = _add_command(
        commands,
        "explain",
        group="ctl",
        help="show the recent decisions of a node with their causes, oldest first",
        is_json=True,
    )
    explain.add_argument(
        "--node",
        type=_address,
        required=True,
        metavar="IP:PORT",
        help="admin_address of the node to ask",
    )
    explain.add_argument("--about", metavar="NODE_ID", help="decisions about a node")
    explain.add_argument("--service", metavar="ID", help="decisions about a service")
    explain.add_argument(
        "--about-version",
        type=_non_negative_integer,
        metavar="VERSION",
        help="decisions about a configuration version",
    )
    explain.add_argument("--limit", type=_non_negative_integer, default=50, metavar="N")


def _add_change_commands(commands) -> None:
    apply = _add_change_command(
        commands, "apply", "ctl", "accept a document as the new version"
    )
    apply.add_argument("file", type=Path, metavar="FILE")
    apply.add_argument(
        "--base",
        type=_non_negative_integer,
        metavar="VERSION",
        help="refuse unless FILE is based on this version and it is still accepted",
    )
    rollback = _add_change_command(
        commands,
        "rollback",
        "ctl",
        "accept the document of an older version as the new version",
    )
    rollback.add_argument("version", type=_non_negative_integer, metavar="VERSION")
    preset = commands.add_parser("preset", help="show or switch the preset in force")
    commands = preset.add_subparsers(required=True, metavar="COMMAND")
    _add_command(
        commands, "show", group="ctl preset", help="show the preset", is_json=True
    )
    switch = _add_change_command(
        commands, "switch", "ctl preset", "put a preset in force"
    )
    switch.add_argument("preset", choices=PRESET_IDS)


def _add_change_command(commands, name: str, group: str, text: str) -> ArgumentParser:
    parser = _add_command(commands, name, group=group, help=text, is_json=True)
    parser.add_argument(
        "--wait",
        type=_seconds,
        metavar="SECONDS",
        help="wait until the version is in force everywhere",
    )
    parser.add_argument(
        "--summary", default="", help="reason for the change, shown in the history"
    )
    return parser


def _add_command(
    commands, name: str, *, group: str = "", help: str, is_json: bool = False
) -> ArgumentParser:
    parser = commands.add_parser(
        name,
        help=help,
        description=help[0].upper() + help[1:] + ".",
        epilog=EXIT_CODES_HELP,
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.set_defaults(command=f"{group} {name}".strip())
    if is_json:
        _add_json(parser)
    return parser


def _add_json(parser: ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print one JSON object")


def _address(text: str) -> str:
    try:
        return _address_adapter.validate_python(text)
    except ValidationError as error:
        raise ArgumentTypeError(error.errors()[0]["msg"]) from None


def _path(text: str) -> str:
    if not text.startswith("/"):
        raise ArgumentTypeError("must begin with a slash")
    return text


def _seconds(text: str) -> float:
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ArgumentTypeError("must be a number of seconds, 0 or more")
    return value


def _non_negative_integer(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ArgumentTypeError("must be an integer, 0 or more")
    return value
