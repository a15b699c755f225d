"""Results of commands, as text with tables and as JSON."""

import json
from dataclasses import asdict, dataclass, field
from typing import Any

from tabulate import tabulate

from verbenawick.configuration._change_plan import Acceptance
from verbenawick.configuration._fleet_status import FleetStatus, RegionState
from verbenawick.configuration._head import Change
from verbenawick.errors import VerbenawickError
from verbenawick.runtime._exit_codes import ExitCode, exit_code_of

MAX_SHOWN_NODES = 20
GATEWAY_COLUMNS = (
    *("node_id", "distance", "expected_s", "failure_rate", "calls", "slots", "cost"),
    "passed_over",
)
DECISION_COLUMNS = ("event_number", "event_name", "cause", "details")


@dataclass(frozen=True, slots=True)
class Result:
    """Result of a command.

    Attributes
    ----------
    text : str
        Output without ``--json``.
    data : dict
        Output with ``--json``.
    """

    exit_code: ExitCode
    text: str
    data: dict[str, Any] = field(default_factory=dict)

    def render(self, *, is_json: bool) -> str:
        """Return the output of the command."""
        if not is_json:
            return self.text
        outcome = self.exit_code.name.lower().replace("_", "-")
        return json.dumps({"outcome": outcome, **self.data}, default=str)


def error_result(error: VerbenawickError) -> Result:
    """Return the result of a command that failed."""
    details = {
        name: getattr(error, name)
        for name in ("path", "change_id", "winner_version", "winner_author")
        if hasattr(error, name)
    }
    data = {
        "code": error.code,
        "message": error.message,
        "step": error.step,
        "peer": error.peer,
        **details,
    }
    return Result(exit_code_of(error), str(error), {"error": data})


def acceptance_to_dict(acceptance: Acceptance) -> dict[str, Any]:
    """Return an accepted change as a dict for JSON output."""
    return {
        "version": acceptance.version,
        "change_id": acceptance.change_id,
        "preset": acceptance.preset,
        "is_new": acceptance.is_new,
        "differences": [str(item) for item in acceptance.differences],
    }


def format_acceptance(acceptance: Acceptance) -> str:
    """Return the text about an accepted change."""
    if not acceptance.is_new:
        return f"version {acceptance.version} has this content; nothing was changed"
    lines = [
        f"accepted as version {acceptance.version} "
        f"(change {acceptance.change_id}, preset {acceptance.preset})"
    ]
    return "\n".join([*lines, *(f"  {item}" for item in acceptance.differences)])


def format_history(changes: list[Change]) -> str:
    """Return changes as a table."""
    rows = [
        (item.version, item.change_id, item.author, item.preset, item.summary)
        for item in changes
    ]
    return tabulate(rows, ["version", "change", "author", "preset", "summary"])


def history_to_dict(changes: list[Change]) -> dict[str, Any]:
    """Return changes as a dict for JSON output."""
    names = ("version", "change_id", "author", "preset", "summary")
    return {"changes": [{n: getattr(item, n) for n in names} for item in changes]}


def format_decisions(decisions: list[dict[str, Any]]) -> str:
    """Return decisions as a table, in the given order."""
    if not decisions:
        return "no recorded decision matches"
    rows = [
        (
            f"{d['age_s']:.1f} s",
            d["event_number"],
            d["event_name"],
            d["cause"],
            d["details"],
        )
        for d in decisions
    ]
    return tabulate(rows, ["ago", "event", "decision", "cause", "details"])


def status_to_dict(status: FleetStatus) -> dict[str, Any]:
    """Return a status as a dict for JSON output."""
    head = status.head.head
    return {
        "version": status.version,
        "state": status.state,
        "preset": head.preset if head else "",
        "author": head.author if head else "",
        "regions": [asdict(region) for region in status.regions],
    }


def format_status(status: FleetStatus) -> str:
    """Return a status as text with tables."""
    head = status.head.head
    if head is None:
        return "no configuration is accepted yet; use `ctl apply FILE`"
    lines = [_format_summary(status)]
    if status.version <= head.version:
        lines.append(
            f"accepted: version {head.version}, preset {head.preset}, by "
            f"{head.author}: {head.summary}"
        )
    lines += ["", _format_regions(status)]
    nodes = [node for region in status.regions for node in region.behind]
    if nodes:
        lines += ["", _format_nodes_behind(nodes)]
    return "\n".join(lines)


def _format_summary(status: FleetStatus) -> str:
    in_force, total = status.count("in_force_count"), status.count("node_count")
    if status.state is RegionState.IN_FORCE:
        return f"version {status.version} is in force on all {total} nodes"
    return (
        f"version {status.version} is not known to be in force everywhere: in force on "
        f"{in_force} of {total} nodes, {status.count('behind_count')} behind, "
        f"{status.count('unknown_count')} unknown"
    )


def _format_regions(status: FleetStatus) -> str:
    if not status.regions:
        return "no region has reported"
    rows = [
        (
            region.region,
            region.state,
            region.node_count,
            region.in_force_count,
            region.behind_count,
            region.unknown_count,
            region.withheld_routes,
            f"{region.age_s:.0f} s",
            region.detail,
        )
        for region in status.regions
    ]
    names = ["region", "state", "nodes", "in force", "behind", "unknown"]
    return tabulate(rows, [*names, "withheld routes", "age", ""])


def _format_nodes_behind(nodes: list) -> str:
    rows = [
        (node.node_id, node.data_centre, node.version, node.staged_version)
        + (node.cause, f"{node.since_s:.0f} s", node.detail)
        for node in nodes[:MAX_SHOWN_NODES]
    ]
    names = ["node behind", "data centre", "version", "staged", "cause", "since", ""]
    table = tabulate(rows, names)
    more = len(nodes) - len(rows)
    return f"{table}\nand {more} more" if more > 0 else table


def format_preview(preview: dict[str, Any]) -> str:
    """Return the text about where a node would send a call."""
    lines = [f"node {preview['node']}"]
    if configuration := preview.get("configuration"):
        lines.append(f"version {configuration['version']}")
    if route := preview.get("route"):
        lines.append(
            f"route {route['name']}: prefix {route['path_prefix']}, "
            f"{'may be repeated' if route['is_idempotent'] else 'runs once at most'}, "
            f"objective {route['objective_s']} s, timeout {route['timeout_s']} s"
        )
    if workspace := preview.get("workspace"):
        lines.append(f"workspace {workspace['name']}")
    for service in preview.get("services") or ():
        lines.append(f"service {service['service']}: {service['share']:.0%} of calls")
        rows = [
            [gateway[name] for name in GATEWAY_COLUMNS]
            for gateway in service["gateways"]
        ]
        lines.append(tabulate(rows, headers=GATEWAY_COLUMNS))
    if refusal := preview["refusal"]:
        lines.append(
            f"refused with {refusal['status']}: {refusal['reason']} [{refusal['code']}]"
        )
    return "\n".join(lines)
