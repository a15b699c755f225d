"""Implementation of the commands, registered by name."""

import getpass
import json
from argparse import Namespace
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace
from itertools import chain
from pathlib import Path

from verbenawick.configuration._acceptance import Acceptor
from verbenawick.configuration._change_plan import Acceptance
from verbenawick.configuration._compile import compile_document
from verbenawick.configuration._delta import digest_of, find_differences
from verbenawick.configuration._document import load_document
from verbenawick.configuration._fleet_status import (
    RegionState,
    read_fleet_status,
    wait_until_in_force,
)
from verbenawick.errors import DocumentError, SettingsError
from verbenawick.mesh._settings import is_mesh_settings, validate_mesh_settings
from verbenawick.node._node_pages import read_page
from verbenawick.operators._cli_output import (
    Result,
    acceptance_to_dict,
    format_acceptance,
    format_decisions,
    format_history,
    format_preview,
    format_status,
    history_to_dict,
    status_to_dict,
)
from verbenawick.operators._request_timeline import build_timeline
from verbenawick.runtime._exit_codes import ExitCode
from verbenawick.settings._json_settings import load_json_with_comments
from verbenawick.settings._settings import validate_settings
from verbenawick.store._store import StoreClient

Command = Callable[[Namespace], Result]

commands_by_name: dict[str, Command] = {}


def register_command(name: str) -> Callable[[Command], Command]:
    """Return a decorator that registers a command, for example ``"ctl apply"``."""

    def decorate(command: Command) -> Command:
        commands_by_name[name] = command
        return command

    return decorate


@register_command("check")
def check(arguments: Namespace) -> Result:
    """Validate the settings of a node, of either the own interface or the platform."""
    value = load_json_with_comments(arguments.file)
    if is_mesh_settings(value):
        settings = validate_mesh_settings(value, arguments.file)
    else:
        settings = validate_settings(value, arguments.file)
    text = f"{arguments.file} is valid: node {settings.node_id}"
    return Result(ExitCode.DONE, text, {"node_id": settings.node_id})


@register_command("node")
def node(arguments: Namespace) -> Result:
    """Run a node until it receives a stop signal."""
    # Imported here because the daemon monkey-patches the standard library, which must
    # not happen for the other commands.
    from verbenawick.node._daemon import run_node

    exit_code = run_node(arguments.settings)
    return Result(ExitCode(exit_code), "")


@register_command("explain")
def explain_request(arguments: Namespace) -> Result:
    """Show the log lines about a request in order of time."""
    with ExitStack() as stack:
        files = [stack.enter_context(path.open()) for path in arguments.files]
        timeline = build_timeline(arguments.request, chain.from_iterable(files))
    if not timeline:
        text = (
            f"no log line is about {arguments.request}; "
            "calls without faults are only counted"
        )
        return Result(ExitCode.REFUSED, text)
    return Result(ExitCode.DONE, "\n".join(map(str, timeline)))


@register_command("ctl validate")
def validate(arguments: Namespace) -> Result:
    """Validate a document without the store."""
    document = load_document(arguments.file)
    digest = digest_of(document.content())
    table = compile_document(document, 0, digest)
    text = (
        f"{arguments.file} is valid: {len(document.services_by_id)} services, "
        f"{len(table.routes)} routes, preset {table.preset}"
    )
    return Result(ExitCode.DONE, text, {"digest": digest.hex()})


@register_command("ctl diff")
def diff(arguments: Namespace) -> Result:
    """Show the changes that applying a document would make."""
    content = load_document(arguments.file).content()
    base = _acceptor(arguments).read_base()
    lines = [str(item) for item in find_differences(base.content, content)]
    data = {"version": base.state.version, "differences": lines}
    text = "\n".join(lines) or f"no difference from version {base.state.version}"
    return Result(ExitCode.DONE, text, data)


@register_command("ctl show")
def show(arguments: Namespace) -> Result:
    """Print the accepted document."""
    base = _acceptor(arguments).read_base()
    if base.state.head is None:
        raise DocumentError("no configuration is accepted yet", step="show.read")
    data = {"version": base.state.version, "document": base.content}
    text = f"// version {base.state.version}\n" + json.dumps(base.content, indent=2)
    return Result(ExitCode.DONE, text, data)


@register_command("ctl apply")
def apply(arguments: Namespace) -> Result:
    """Accept a document as the new version."""
    acceptance = _acceptor(arguments).apply(
        load_document(arguments.file),
        summary=arguments.summary,
        expected_version=arguments.base,
    )
    return _acceptance_result(acceptance, arguments)


@register_command("ctl preset show")
def preset_show(arguments: Namespace) -> Result:
    """Show the preset in force."""
    base = _acceptor(arguments).read_base()
    preset_id = base.content.get("preset_in_force", "")
    text = f"preset {preset_id or '(none)'} is accepted (version {base.state.version})"
    data = {"preset": preset_id, "version": base.state.version}
    return Result(ExitCode.DONE, text, data)


@register_command("ctl preset switch")
def preset_switch(arguments: Namespace) -> Result:
    """Put another preset in force."""
    acceptor = _acceptor(arguments)
    acceptance = acceptor.switch_preset(arguments.preset, summary=arguments.summary)
    return _acceptance_result(acceptance, arguments)


@register_command("ctl rollback")
def rollback(arguments: Namespace) -> Result:
    """Accept the document of an older version as the new version."""
    acceptor = _acceptor(arguments)
    acceptance = acceptor.rollback(arguments.version, summary=arguments.summary)
    return _acceptance_result(acceptance, arguments)


@register_command("ctl history")
def history(arguments: Namespace) -> Result:
    """List accepted changes."""
    changes = _acceptor(arguments).history(limit=arguments.limit)
    return Result(ExitCode.DONE, format_history(changes), history_to_dict(changes))


@register_command("ctl resolve")
def resolve(arguments: Namespace) -> Result:
    """Find out whether a change was accepted."""
    acceptance = _acceptor(arguments).resolve(arguments.change_id)
    if acceptance is not None:
        data = acceptance_to_dict(acceptance)
        return Result(ExitCode.DONE, format_acceptance(acceptance), data)
    text = (
        f"change {arguments.change_id} was not accepted and can no longer be accepted"
    )
    return Result(ExitCode.REFUSED, text, {"change_id": arguments.change_id})


@register_command("ctl status")
def status(arguments: Namespace) -> Result:
    """Show whether the accepted version is in force everywhere."""
    fleet = read_fleet_status(_store_client(arguments))
    is_in_force = fleet.state is RegionState.IN_FORCE
    exit_code = ExitCode.DONE if is_in_force else ExitCode.NOT_EVERYWHERE
    return Result(exit_code, format_status(fleet), status_to_dict(fleet))


@register_command("ctl explain")
def explain(arguments: Namespace) -> Result:
    """Show the recent decisions of a node with their causes."""
    query = {
        name: str(value)
        for name, value in (
            ("node", arguments.about),
            ("service", arguments.service),
            ("version", arguments.about_version),
            ("limit", arguments.limit),
        )
        if value is not None
    }
    decisions = read_page(
        arguments.node, "/explain", query, timeout_s=arguments.timeout
    )
    data = {"node": arguments.node, "decisions": decisions}
    return Result(ExitCode.DONE, format_decisions(decisions), data)


@register_command("ctl route")
def preview_route(arguments: Namespace) -> Result:
    """Show where a node would send a call now, without sending it."""
    headers = {}
    if arguments.key_file is not None:
        headers["Authorization"] = f"Bearer {_read_key(arguments.key_file)}"
    query = {"host": arguments.host, "path": arguments.path}
    preview = read_page(
        arguments.node,
        "/route",
        query,
        timeout_s=arguments.timeout,
        headers=headers,
    )
    exit_code = ExitCode.REFUSED if preview["refusal"] else ExitCode.DONE
    return Result(exit_code, format_preview(preview), preview)


def _read_key(path: Path) -> str:
    try:
        return path.read_text().strip()
    except (OSError, ValueError) as error:
        raise SettingsError(f"cannot read the key: {error}", step="key.read") from error


def _store_client(arguments: Namespace) -> StoreClient:
    return StoreClient(arguments.store, timeout_s=arguments.timeout)


def _acceptor(arguments: Namespace) -> Acceptor:
    return Acceptor(_store_client(arguments), author=arguments.author or _login_name())


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _acceptance_result(acceptance: Acceptance, arguments: Namespace) -> Result:
    result = Result(
        ExitCode.DONE, format_acceptance(acceptance), acceptance_to_dict(acceptance)
    )
    # Without --wait, nothing is known about the nodes.
    if arguments.wait is None:
        return result
    fleet = wait_until_in_force(
        _store_client(arguments), acceptance.version, arguments.wait
    )
    if fleet is None:
        text = f"{result.text}\nthe store is down; whether it is in force is unknown"
        return replace(result, exit_code=ExitCode.NOT_EVERYWHERE, text=text)
    is_in_force = fleet.state is RegionState.IN_FORCE
    return Result(
        ExitCode.DONE if is_in_force else ExitCode.NOT_EVERYWHERE,
        f"{result.text}\n{format_status(fleet)}",
        {**result.data, "status": status_to_dict(fleet)},
    )
