"""Renders the plan as an HTML page with its charts embedded."""

from html import escape
from typing import Any

from umbermoor.lab.report import drawing, page, table
from umbermoor.planner.plan import situations


def plan_page(plan: dict[str, Any]) -> str:
    """Return the HTML page of a plan as ``Planner.report`` returns it."""
    parts = []
    if plan["partial"]:
        parts.append("<p class=bad>A partial answer: it was ended before all was played.</p>")
    parts.append(
        f"<p>Load now {_format_interval(plan['load_now'])} queries/s. First limit reached: "
        f"<b>{escape(str(plan['first']))}</b>, then {escape(str(plan['runner_up']))}. "
        f"Played in virtual time around the real decision module; "
        f"limits marked so are in closed form.</p>"
    )
    parts += [
        "<h2>Limits</h2>",
        drawing(lambda axes: _limits(axes, plan), 3.6),
        table(
            ["limit", "reached at", "times now", "by", "why"],
            [
                [
                    limit["limit"],
                    _format_interval(limit.get("reached_at") or limit.get("reached_below")),
                    limit.get("times_now") or "",
                    limit["by"],
                    limit["why"],
                ]
                for limit in plan["limits"]
            ],
        ),
    ]
    if plan["curve"]:
        parts += [
            "<h2>Share in time against load</h2>",
            drawing(lambda axes: _curves(axes, plan)),
        ]
    if plan["machines"]:
        parts += [
            "<h2>Machines that hold the goal</h2>",
            drawing(lambda axes: _machines(axes, plan), 2.8),
        ]
    rows = [
        [
            name,
            *(_format_interval(shares[profile], 4) for profile in plan["goals"]),
            shares["service"],
            shares["rules_broken"],
        ]
        for name, shares in situations(plan)
    ]
    parts += [
        "<h2>At the present load</h2>",
        table(["what", *plan["goals"], "service", "rules broken"], rows),
    ]
    for build in plan["bad_builds"]:
        parts += [
            f"<h3>Bad build: {escape(build['build'])}</h3>",
            table(["stage", "share in time"], build["stages"]),
        ]
    parts += [
        "<h2>What was assumed</h2><ul>",
        *(f"<li>{escape(assumption)}</li>" for assumption in plan["assumptions"]),
        "</ul>",
    ]
    return page(f"Capacity plan: {plan['fleet']}", parts)


def _format_interval(interval: list[float | None] | None, digits: int = 1) -> str:
    if interval is None or interval[0] is None:
        return "at no load"
    return (
        f"{interval[0]:.{digits}f} ("
        f"{' to '.join('-' if bound is None else f'{bound:.{digits}f}' for bound in interval[1:])}"
        ")"
    )


def _limits(axes, plan: dict[str, Any]) -> None:
    rows = [row for row in plan["limits"] if row.get("reached_at") and row["reached_at"][0]][::-1]
    for position, row in enumerate(rows):
        mid, low, high = row["reached_at"]
        low, high = low if low is not None else mid, high if high is not None else mid
        axes.barh(position, mid, color="#1565c0" if row["by"] == "plays" else "#90a4ae")
        axes.plot([low, high], [position, position], color="black", linewidth=1.2)
    axes.axvline(plan["load_now"][0], color="#c62828", linewidth=1)
    axes.set_yticks(range(len(rows)), [row["limit"] for row in rows])
    axes.set(xlabel="load at which it is reached, queries/s (red: now; blue: by plays)")


def _curves(axes, plan: dict[str, Any]) -> None:
    for name, points in plan["curve"].items():
        axes.plot(
            [point[0] for point in points],
            [point[1] for point in points],
            marker="o",
            markersize=3,
            label=name,
        )
    axes.axhline(min(plan["goals"].values()), color="#c62828", linewidth=0.8)
    axes.axvline(plan["load_now"][0], color="#666", linewidth=0.8)
    axes.set(xlabel="load, queries/s", ylabel="share in time, the worst profile's")
    axes.legend(fontsize=8)


def _machines(axes, plan: dict[str, Any]) -> None:
    rows = [
        (float(growth), result["machines"])
        for growth, result in plan["machines"].items()
        if result["machines"]
    ]
    axes.plot([point[0] for point in rows], [point[1] for point in rows], marker="o")
    axes.set(xlabel="load, in times of the present one", ylabel="machines", ylim=(0, None))
