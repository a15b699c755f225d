"""Draw the plots of docs/CAPACITY.md from the newest results.

Run as ``python -m bench.plots``; writes to docs/plots/.
"""

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("svg")
# Makes the files reproducible: equal results give equal files.
matplotlib.rcParams["svg.hashsalt"] = "verbenawick"

from matplotlib import pyplot

ROOT = Path(__file__).resolve().parent.parent
RESULTS_DIR = ROOT / "bench" / "results"
PLOTS_DIR = ROOT / "docs" / "plots"
NODE_LABELS = {
    "plain": "plain node",
    "centre_relay": "data centre relay",
    "region_relay": "region relay",
}
# Limits per node from docs/design.md, section 1.2.
LIMITS = {"cpu_share": 0.023, "rss_mb": 128.0, "bytes_per_node_s": 9_000.0}
AXIS_LABELS = {
    "cpu_share": "share of a core",
    "rss_mb": "resident memory (MB)",
    "bytes_per_node_s": "control bytes per second",
}


def read_newest_result(name: str, *, required_key: str) -> dict:
    """Return the newest result of a benchmark with a value for `required_key`."""
    for path in sorted(RESULTS_DIR.glob(f"{name}-*.json"), reverse=True):
        result = json.loads(path.read_text(encoding="utf-8"))
        if result.get(required_key):
            print(f"{name}: {path.name}")
            return result
    raise SystemExit(f"no result of {name}; run python -m bench {name}")


def draw_membership(result: dict) -> None:
    """Draw the cost per node by number of members, one plot per measure."""
    for measure, label in AXIS_LABELS.items():
        figure, axes = pyplot.subplots(figsize=(6, 4))
        members = [point["members"] for point in result["tree"]]
        for probe, name in NODE_LABELS.items():
            values = [point[probe][measure] for point in result["tree"]]
            axes.plot(members, values, marker="o", label=name)
        points = [p for p in result["baseline"] if p["members_seen"] == p["members"]]
        axes.plot(
            [point["members"] for point in points],
            [point["plain"][measure] for point in points],
            marker="x",
            linestyle="--",
            label="baseline (complete tables only)",
        )
        axes.axhline(LIMITS[measure], color="grey", linestyle=":", label="limit")
        if measure == "bytes_per_node_s":
            axes.set_yscale("log")
        axes.set_xlabel("members")
        axes.set_ylabel(label)
        axes.legend(fontsize="small")
        save_plot(figure, f"membership-{measure}")


def draw_store_calls(result: dict) -> None:
    """Draw the store calls per second by number of members."""
    figure, axes = pyplot.subplots(figsize=(6, 4))
    for kind, name in (("tree", "verbenawick"), ("baseline", "baseline")):
        points = result[kind]
        axes.plot(
            [point["members"] for point in points],
            [point["store_calls_s"] for point in points],
            marker="o",
            label=name,
        )
    axes.set_xlabel("members")
    axes.set_ylabel("store calls per second")
    axes.legend(fontsize="small")
    save_plot(figure, "membership-store-calls")


def draw_recovery(result: dict) -> None:
    """Draw the time of each step until all member tables are correct."""
    figure, axes = pyplot.subplots(figsize=(6, 4))
    steps = list(result["mesh"])
    width = 0.4
    for offset, kind in ((0.0, "mesh"), (width, "baseline")):
        axes.bar(
            [i + offset for i in range(len(steps))],
            [result[kind][step]["time_to_serve_s"] for step in steps],
            width=width,
            label="verbenawick" if kind == "mesh" else "baseline",
        )
    axes.set_xticks([i + width / 2 for i in range(len(steps))], steps)
    axes.set_ylabel("seconds until all tables are correct")
    axes.legend(fontsize="small")
    save_plot(figure, "recovery-time")


def draw_decisions(result: dict) -> None:
    """Draw credit and worth of each pair of placement and queue, by scenario."""
    scenarios = list(dict.fromkeys(row["scenario"] for row in result["rows"]))
    figure, axes = pyplot.subplots(
        len(scenarios), figsize=(7, 2.5 * len(scenarios)), sharex=True
    )
    for subplot, scenario in zip(axes, scenarios, strict=True):
        rows = [row for row in result["rows"] if row["scenario"] == scenario]
        names = [f"{row['placement']} / {row['queue']}" for row in rows]
        subplot.barh(names, [row["credit"] for row in rows], label="credit")
        subplot.barh(
            names, [row["worth"] for row in rows], label="credit less price of bytes"
        )
        subplot.invert_yaxis()
        subplot.set_title(scenario, fontsize="medium")
        subplot.tick_params(labelsize="small")
    axes[0].legend(fontsize="small", loc="lower left")
    axes[-1].set_xlabel("share of the value owed")
    save_plot(figure, "decisions")


def save_plot(figure, name: str) -> None:
    """Write a plot, without a date so that the file is reproducible."""
    PLOTS_DIR.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(PLOTS_DIR / f"{name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def main() -> int:
    """Draw all plots."""
    result = read_newest_result("membership", required_key="tree")
    draw_membership(result)
    draw_store_calls(result)
    draw_recovery(read_newest_result("recovery", required_key="nodes"))
    draw_decisions(read_newest_result("decisions", required_key="rows"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
