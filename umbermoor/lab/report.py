"""The HTML report of a day's outcome: one self-contained page with its plots as inline SVG."""

import io
from html import escape
from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot

COLOURS = {
    "in time": "#2e7d32",
    "late": "#f9a825",
    "wrong": "#6a1b9a",
    "denied": "#1565c0",
    "abandoned": "#c62828",
    "gave up": "#455a64",
    "lost": "#000000",
    "never asked": "#9e9e9e",
}
STYLE = """body{font:15px/1.5 system-ui,sans-serif;margin:2em auto;max-width:70em;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border-bottom:1px solid #ddd;padding:.3em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}.bad{color:#c62828;font-weight:600}
.good{color:#2e7d32;font-weight:600}h2{margin-top:2em}"""


def page(title: str, parts: list[str]) -> str:
    """Return an HTML page with this title and body; the parts are HTML already."""
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><meta name=viewport content='width=device-width'>"
        f"<title>{escape(title)}</title><style>{STYLE}</style><h1>{escape(title)}</h1>{''.join(parts)}</html>\n"
    )


def table(head: list[str], rows: list[list[Any]]) -> str:
    """Return an HTML table; cells are escaped."""

    def row(cells: list[Any], tag: str) -> str:
        return "<tr>" + "".join(f"<{tag}>{escape(str(cell))}</{tag}>" for cell in cells) + "</tr>"

    return f"<table>{row(head, 'th')}{''.join(row(cells, 'td') for cells in rows)}</table>"


def drawing(draw, height: float = 3.2) -> str:
    """Return what `draw(axes)` draws as inline SVG; the same figures give the same bytes."""
    with matplotlib.rc_context(
        {
            "svg.hashsalt": "umbermoor",
            "font.size": 9,
            "axes.spines.top": False,
            "axes.spines.right": False,
        }
    ):
        figure, axes = pyplot.subplots(figsize=(10, height), layout="constrained")
        draw(axes)
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None})
        pyplot.close(figure)
    return out.getvalue()[out.getvalue().index("<svg") :]


def day_page(outcome: dict[str, Any]) -> str:
    """Return the report of a day's outcome as an HTML page."""
    parts = [
        _summary(outcome),
        "<h2>Answers by the second in which they were asked for</h2>",
        drawing(lambda axes: _endings(axes, outcome)),
        "<h2>Times, by profile</h2>",
        _times(outcome),
        "<h2>Work by machine</h2>",
        drawing(lambda axes: _machines(axes, outcome), 2.8),
        "<h2>Audit</h2>",
        _audit(outcome),
    ]
    return page(f"Day {outcome['day']}, seed {outcome['seed']}", parts)


def _summary(outcome: dict[str, Any]) -> str:
    css_class = "good" if not outcome["audit"]["breaches"] else "bad"
    clock = "on loopback, with stand-ins" if outcome["body"] == "sockets" else "in virtual time"
    return (
        f"<p>Played {clock}. {outcome['asked']} queries counted; service {outcome['service']:.4f}, in time "
        f"{outcome['in_time']:.4f}, {outcome['tries_a_query']:.3f} tries a query. "
        f"<span class={css_class}>{outcome['audit']['breaches']} breaches of the rules.</span></p>"
    )


def _endings(axes, outcome: dict[str, Any]) -> None:
    series = outcome["series"]
    seconds = range(len(series))
    kinds = [kind for kind in COLOURS if any(kind in endings for endings in series)]
    if kinds:
        axes.stackplot(
            seconds,
            *[[endings.get(kind, 0) for endings in series] for kind in kinds],
            labels=kinds,
            step="post",
            colors=[COLOURS[kind] for kind in kinds],
        )
    top = axes.get_ylim()[1]
    for at, build, stage, phase, _ in outcome["stages"][1:]:
        axes.axvline(at, color="#666", linewidth=0.7)
        axes.text(
            at,
            top,
            f" {build}/{stage} {phase.replace('_', ' ')}",
            rotation=90,
            va="top",
            fontsize=7,
        )
    axes.set(xlabel="second", ylabel="queries", xlim=(0, max(1, len(series) - 1)))
    axes.legend(loc="lower right", ncols=len(kinds) or 1, fontsize=8)


def _times(outcome: dict[str, Any]) -> str:
    rows = [
        [
            name,
            figures["asked"],
            f"{figures['in_time']:.4f}",
            f"{figures['service']:.4f}",
            *(figures["ms"].get(percentile, "") for percentile in ("p50", "p90", "p99", "p99.9")),
            ", ".join(f"{kind} {n}" for kind, n in figures["endings"].items()),
        ]
        for name, figures in outcome["profiles"].items()
    ]
    return table(
        [
            "profile",
            "asked",
            "in time",
            "service",
            "p50 ms",
            "p90 ms",
            "p99 ms",
            "p99.9 ms",
            "endings",
        ],
        rows,
    )


def _machines(axes, outcome: dict[str, Any]) -> None:
    rows = list(outcome["machines"].items())
    builds = sorted({machine["build"] for _, machine in rows})
    colours = pyplot.cm.viridis([index / max(1, len(builds)) for index in range(len(builds))])
    for index, build in enumerate(builds):
        axes.bar(
            [position for position, (_, machine) in enumerate(rows) if machine["build"] == build],
            [machine["work_s"] for _, machine in rows if machine["build"] == build],
            color=colours[index],
            label=f"build {build}",
        )
    axes.set(xlabel="machine, in order of its start", ylabel="work done, s")
    axes.legend(fontsize=8)


def _audit(outcome: dict[str, Any]) -> str:
    audit = outcome["audit"]
    counts = table(["counted", "n"], [[name, n] for name, n in audit["counts"].items()])
    if not audit["breaches"]:
        return counts + "<p class=good>All five rules held.</p>"
    return counts + table(["rule", "what", "query", "machine", "at s"], audit["first"])
