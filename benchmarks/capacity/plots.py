"""Draws the curves of docs/CAPACITY.md as SVG files from the measurement file."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from benchmarks.capacity.hollow import KIND_DESCRIPTIONS, MAX_ACK_MS
from benchmarks.capacity.model import (
    CONFIG_DEADLINE_S,
    FRONT_BYTES_PER_S,
    TARGET,
    USER_SWEEP,
    Model,
)

FOLDER = Path(__file__).parents[2] / "docs" / "capacity"
STYLE = {
    "svg.hashsalt": "capacity",
    "font.size": 10,
    "axes.grid": True,
    "grid.alpha": 0.3,
    "figure.figsize": (7.6, 5.0),
    "axes.spines.top": False,
    "axes.spines.right": False,
    "svg.fonttype": "none",
}
MARKS = {"machines": "o", "anew": "s", "plain": "^", "fronts": "D", "both": "v"}


def plot_ack_times(axes: Any, model: Model) -> None:
    """Plot acknowledgement times over heartbeats per second, with the limit."""
    for kind in KIND_DESCRIPTIONS:
        if kind == "fronts":
            continue
        rows = model.load_results(kind)
        xs, ys = [row["beats a second"] for row in rows], [row["ack 99 ms"] for row in rows]
        errors = [
            [y - row["low"] for y, row in zip(ys, rows)],
            [min(1e3, row["high"]) - y for y, row in zip(ys, rows)],
        ]
        axes.errorbar(
            xs,
            ys,
            [[max(0, one) for one in side] for side in errors],
            marker=MARKS[kind],
            capsize=3,
            label=KIND_DESCRIPTIONS[kind].partition(":")[0],
        )
    axes.axhline(MAX_ACK_MS, color="tab:red", linestyle="--", label=f"{MAX_ACK_MS:.0f} ms")
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="beats a second that one member acknowledged",
        ylabel="ms until acknowledged, 99 of 100",
        title="One member before hollow machines (three plays, spread)",
    )


def plot_processor_time(axes: Any, model: Model) -> None:
    for kind in KIND_DESCRIPTIONS:
        rows = model.load_results(kind)
        axes.plot(
            [row["fronts"] if kind == "fronts" else row["machines"] for row in rows],
            [row["processor %"] for row in rows],
            marker=MARKS[kind],
            label=KIND_DESCRIPTIONS[kind].partition(":")[0],
        )
    axes.axhline(64.5, color="tab:red", linestyle="--", label="64.5 %: what a member has")
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="machines (for fronts: fronts)",
        ylabel="processor of the member, %",
        title="What the member spends",
    )


def plot_front_traffic(axes: Any, model: Model) -> None:
    """Plot the bytes per second that a front receives, now and as proposed."""
    machines = [300, 1_000, 3_000, 10_000, 30_000, 82_000]
    items = {item.subject: item for item in model.items() if item.role == "front"}
    sizes = [TARGET.scaled(count / TARGET.machines) for count in machines]
    for subject, mark in (
        ("machines: told of each beat, by each member", "o"),
        ("routes: a change of the configuration", "s"),
    ):
        axes.plot(
            machines,
            [items[subject].current(size) for size in sizes],
            marker=mark,
            label=f"now, {subject}",
        )
    axes.plot(
        machines,
        [
            items["machines: told of each beat, by each member"].current(size._replace(members=3))
            for size in sizes
        ],
        color="tab:blue",
        linestyle=":",
        label="now, machines, by three members",
    )
    axes.plot(
        machines,
        [
            model.proposed_state_rate(size)
            + model.proposed_config_rate(size)
            + model.proposed_pull_rate(size)
            for size in sizes
        ],
        marker="^",
        label="proposed: machines, routes, pulls",
    )
    axes.plot(
        [10 * row[0] for row in USER_SWEEP],
        [1000 * row[3] for row in USER_SWEEP],
        "k*",
        label="the users' sweep: all that a front says and hears",
    )
    axes.axhline(FRONT_BYTES_PER_S, color="tab:red", linestyle="--", label="2 KB a second")
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="machines, with all else in proportion",
        ylabel="bytes a second at a front",
        title="Control at a front (by the slopes)",
    )


def plot_configuration_change(axes: Any, model: Model) -> None:
    for name, label_text, mark in (
        ("change_checked", "checked", "o"),
        ("chain_change", "a member of the chain", "s"),
        ("change_at_front", "in force at a front", "^"),
    ):
        rows = model.medians(name)
        axes.plot(
            [size for size, _ in rows],
            [cost / 1e6 for _, cost in rows],
            marker=mark,
            label=label_text,
        )
    routes = model.limits["call's body"] / (
        model.cost("change_bytes", TARGET.routes) / TARGET.routes
    )
    axes.axvline(routes, color="tab:red", linestyle="--", label="largest body that is taken")
    axes.axvline(TARGET.routes, color="k", linestyle=":", label="110,000 routes")
    axes.axhline(CONFIG_DEADLINE_S, color="tab:red", linestyle="-.", label="10 s")
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="routes",
        ylabel="processor time, s",
        title="A changed configuration",
    )


def plot_request_decision(axes: Any, model: Model) -> None:
    rows = model.data["measures"]["request"]["rows"]
    sizes = [row["size"] for row in rows]
    medians = [cost for _, cost in model.medians("request")]
    errors = [
        [mid - min(row["values"]) for mid, row in zip(medians, rows)],
        [max(row["values"]) - mid for mid, row in zip(medians, rows)],
    ]
    axes.errorbar(sizes, medians, errors, marker="o", capsize=3, label="measured")
    extended_sizes = [*sizes, 4_100]
    axes.plot(
        extended_sizes,
        [1e6 * model.cost("request", size) for size in extended_sizes],
        ":",
        label="slope",
    )
    axes.axhline(2_600, color="tab:red", linestyle="--", label="2.6 ms")
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="machines of the request's service",
        ylabel="processor time, us",
        title="A request's decision at a front",
    )


PLOTS = {
    "acknowledged": plot_ack_times,
    "processor": plot_processor_time,
    "front-bytes": plot_front_traffic,
    "change": plot_configuration_change,
    "request": plot_request_decision,
}


def draw(data: dict[str, Any], suffix: str = "svg", folder: Path = FOLDER) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    model = Model(data)
    for name, plot in PLOTS.items():
        with plt.rc_context(STYLE):
            figure, axes = plt.subplots()
            plot(axes, model)
            axes.legend(
                fontsize=8, frameon=False, loc="upper center", bbox_to_anchor=(0.5, -0.14), ncol=2
            )
            figure.tight_layout()
            figure.savefig(
                folder / f"{name}.{suffix}",
                metadata={"Date": None} if suffix == "svg" else None,
                dpi=100,
            )
            plt.close(figure)
