"""Renders the plan as an HTML page with its charts embedded."""

from html import escape
from typing import Any

from umbermoor.lab.report import drawing, page, table
from umbermoor.planner.plan import situations


def plan_page(answer: dict[str, Any]) -> str:
    """Return the HTML page of a plan as ``Planner.answer`` returns it."""
    parts = []
    if answer["partial"]:
        parts.append("<p class=bad>A partial answer: it was ended before all was played.</p>")
    parts.append(
        f"<p>Load now {_span(answer['load_now'])} queries/s. First limit reached: "
        f"<b>{escape(str(answer['first']))}"
        f"</b>, then {escape(str(answer['runner_up']))}. Played in virtual time around the real decision "
        f"module; "
        f"limits marked so are in closed form.</p>"
    )
    parts += [
        "<h2>Limits</h2>",
        drawing(lambda axes: _limits(axes, answer), 3.6),
        table(
            ["limit", "reached at", "times now", "by", "why"],
            [
                [
                    one["limit"],
                    _span(one.get("reached_at") or one.get("reached_below")),
                    one.get("times_now") or "",
                    one["by"],
                    one["why"],
                ]
                for one in answer["limits"]
            ],
        ),
    ]
    if answer["curve"]:
        parts += [
            "<h2>Share in time against load</h2>",
            drawing(lambda axes: _curves(axes, answer)),
        ]
    if answer["machines"]:
        parts += [
            "<h2>Machines that hold the goal</h2>",
            drawing(lambda axes: _machines(axes, answer), 2.8),
        ]
    rows = [
        [
            name,
            *(_span(one[profile], 4) for profile in answer["goals"]),
            one["service"],
            one["rules_broken"],
        ]
        for name, one in situations(answer)
    ]
    parts += [
        "<h2>At the present load</h2>",
        table(["what", *answer["goals"], "service", "rules broken"], rows),
    ]
    for one in answer["bad_builds"]:
        parts += [
            f"<h3>Bad build: {escape(one['build'])}</h3>",
            table(["stage", "share in time"], one["stages"]),
        ]
    parts += [
        "<h2>What was assumed</h2><ul>",
        *(f"<li>{escape(one)}</li>" for one in answer["assumptions"]),
        "</ul>",
    ]
    return page(f"Capacity plan: {answer['fleet']}", parts)


def _span(one: list[float | None] | None, digits: int = 1) -> str:
    if one is None or one[0] is None:
        return "at no load"
    return f"{one[0]:.{digits}f} ({' to '.join('-' if bound is None else f'{bound:.{digits}f}' for bound in one[1:])})"


def _limits(axes, answer: dict[str, Any]) -> None:
    rows = [one for one in answer["limits"] if one.get("reached_at") and one["reached_at"][0]][::-1]
    for place, one in enumerate(rows):
        mid, low, high = one["reached_at"]
        low, high = low if low is not None else mid, high if high is not None else mid
        axes.barh(place, mid, color="#1565c0" if one["by"] == "plays" else "#90a4ae")
        axes.plot([low, high], [place, place], color="black", linewidth=1.2)
    axes.axvline(answer["load_now"][0], color="#c62828", linewidth=1)
    axes.set_yticks(range(len(rows)), [one["limit"] for one in rows])
    axes.set(xlabel="load at which it is reached, queries/s (red: now; blue: by plays)")


def _curves(axes, answer: dict[str, Any]) -> None:
    for name, points in answer["curve"].items():
        axes.plot(
            [one[0] for one in points],
            [one[1] for one in points],
            marker="o",
            markersize=3,
            label=name,
        )
    axes.axhline(min(answer["goals"].values()), color="#c62828", linewidth=0.8)
    axes.axvline(answer["load_now"][0], color="#666", linewidth=0.8)
    axes.set(xlabel="load, queries/s", ylabel="share in time, the worst profile's")
    axes.legend(fontsize=8)


def _machines(axes, answer: dict[str, Any]) -> None:
    rows = [
        (float(growth), one["machines"])
        for growth, one in answer["machines"].items()
        if one["machines"]
    ]
    axes.plot([one[0] for one in rows], [one[1] for one in rows], marker="o")
    axes.set(xlabel="load, in times of the present one", ylabel="machines", ylim=(0, None))
