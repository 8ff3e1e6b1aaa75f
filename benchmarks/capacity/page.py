"""Renders docs/CAPACITY.md from its template and the measurement file.

`{{name}}` in the template is replaced by the value that `template_values` returns for it."""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from benchmarks.capacity.hollow import KIND_DESCRIPTIONS, MAX_ACK_MS
from benchmarks.capacity.model import FRONT_BYTES_PER_S, TARGET, USER_SWEEP, Model

ROOT = Path(__file__).parents[2]
TEMPLATE, PAGE = Path(__file__).with_name("page.md"), ROOT / "docs" / "CAPACITY.md"


def format_number(value: float) -> str:
    """Format a number with three significant digits.

    >>> [format_number(one) for one in (0.0123456, 12.345, 123456, 0)]
    ['0.0123', '12.3', '123,000', '0']
    """
    if not value:
        return "0"
    if abs(value) >= 1000:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value / 10**digits) * 10**digits:,}"
    return f"{float(f'{value:.3g}'):g}"


def format_with_unit(value: float, units: tuple[str, ...], step: float = 1000) -> str:
    """Format a value in the largest unit in which it is at least 1.

    >>> format_with_unit(11_500_000, ("B/s", "KB/s", "MB/s"))
    '11.5 MB/s'
    """
    index = 0
    while abs(value) >= step and index + 1 < len(units):
        value, index = value / step, index + 1
    return f"{format_number(value)} {units[index]}"


def format_value(kind: str, value: float) -> str:
    """Format the value of an item of `kind` with its unit."""
    if kind == "rate":
        return format_with_unit(value, ("B/s", "KB/s", "MB/s", "GB/s"))
    if kind == "bytes":
        return format_with_unit(value, ("B", "KB", "MB", "GB"))
    if kind == "time":
        return format_with_unit(value * 1e6, ("us", "ms", "s"))
    if kind == "share":
        if value >= 1:
            return f"{format_number(value)} cores"
        return (
            f"{format_number(100 * value)} % of a core"
            if value >= 1e-4
            else "under 0.01 % of a core"
        )
    return format_number(value)


def markdown_table(head: list[str], rows: list[list[str]]) -> str:
    return "\n".join("| " + " | ".join(row) + " |" for row in [head, ["---"] * len(head), *rows])


def slopes_table(model: Model) -> str:
    rows = []
    for name, measure in model.data["measures"].items():
        fit, unit = model.fits[name], "us" if measure["unit"] == "us" else "B"
        formula = (
            f"{format_number(fit.constant)} {'-' if fit.slope < 0 else '+'} "
            f"{format_number(abs(fit.slope))} n"
            if fit.kind == "line"
            else f"{format_number(fit.constant)} n^{fit.slope:.2f}"
        )
        if fit.kind == "flat":
            formula = format_number(fit.constant)
        rows.append(
            [
                f"`{name}`",
                measure["what"],
                measure["size"],
                "; ".join(
                    f"{format_number(size)}: {format_number(cost)}"
                    for size, cost in model.medians(name)
                ),
                f"{formula} {unit}",
                f"{100 * fit.residual:.0f} %",
                f"{100 * model.spread(name):.0f} %",
            ]
        )
    return markdown_table(
        ["measure", "what", "n", "measured, middle of three", "slope", "residual", "spread"], rows
    )


def role_table(model: Model, name: str) -> str:
    rows = []
    for item in model.items():
        if item.role == name:
            exceeded = item.exceeds_bound(TARGET)
            proposal = item.proposed_mechanism if exceeded else ""
            if proposal and item.proposed:
                proposal += f": **{format_value(item.kind, item.proposed(TARGET))}**"
            rows.append(
                [
                    item.subject + (f" (*estimate*: {item.estimate})" if item.estimate else ""),
                    item.formula,
                    "; ".join(f"`{measure}`" for measure in item.measures) or "-",
                    ("**red** " if exceeded else "")
                    + format_value(item.kind, item.current(TARGET)),
                    f"{format_value(item.kind, item.bound)}: {item.bound_reason}",
                    item.mechanism,
                    proposal or "the same",
                ]
            )
    return markdown_table(
        [
            "held or said",
            "formula",
            "slope",
            "at the size",
            "bound",
            "carried today by",
            "to be carried by",
        ],
        rows,
    )


def exceeded_table(model: Model) -> str:
    rows = []
    for rank, (growth_limit, item) in enumerate(model.exceeded_items(), 1):
        size = TARGET.scaled(growth_limit)
        ratio = (
            item.bound / item.current(TARGET)
            if item.is_minimum
            else item.current(TARGET) / item.bound
        )
        rows.append(
            [
                str(rank),
                f"{item.role}: {item.subject}",
                "at every size, with nine members"
                if not growth_limit
                else f"{format_number(100 * growth_limit)} %: {format_number(size.fronts)} fronts, "
                f"{format_number(size.machines)} machines, "
                f"{format_number(size.routes)} routes",
                f"{format_number(ratio)} times",
                format_value(item.kind, item.proposed(TARGET)) if item.proposed else "-",
            ]
        )
    return markdown_table(
        [
            "",
            "what",
            "growth meets it at (part of the size)",
            "at the size over its bound by",
            "the proposed way, at the size",
        ],
        rows,
    )


def load_table(model: Model, kind: str) -> str:
    rows = []
    for result in model.load_results(kind):
        rows.append(
            [
                format_number(result["fronts"]),
                format_number(result["machines"]),
                str(result["plays"]),
                format_number(result["beats a second"]),
                format_number(result["ack median ms"]),
                f"{format_number(result['ack 99 ms'])} "
                f"[{format_number(result['low'])}, {format_number(result['high'])}]",
                format_number(result["heard 99 ms"])
                if result["heard 99 ms"] == result["heard 99 ms"]
                else "-",
                f"{format_number(result['processor %'])} "
                f"[{format_number(result['least %'])}, {format_number(result['most %'])}]",
                format_number(result["memory MB"]),
                format_number(result["news kB a second"]),
                f"{format_number(result['beats failed'])}, "
                f"{format_number(result['fronts refused'] + result['fronts cut off'])}",
                format_number(result["hollow processor %"]),
            ]
        )
    return (
        f"{KIND_DESCRIPTIONS[kind][0].upper()}{KIND_DESCRIPTIONS[kind][1:]}:\n\n"
        + markdown_table(
            [
                "fronts",
                "machines",
                "plays",
                "beats/s",
                "ack ms, median",
                "ack ms, 99 % [least, most]",
                "drain heard ms, 99 %",
                "processor %",
                "memory MB",
                "news kB/s",
                "beats failed, fronts off",
                "hollow %",
            ],
            rows,
        )
    )


def load_summary(model: Model, kind: str) -> str:
    """Describe the largest size of `kind` within the limits and what failed at the next one."""
    rows, largest = model.load_results(kind), largest_within_limit(model, kind)
    larger = [
        row
        for row in rows
        if (row["machines"], row["fronts"]) > (largest["machines"], largest["fronts"])
    ]
    size = "fronts" if kind == "fronts" else "machines"
    summary = (
        f"- {KIND_DESCRIPTIONS[kind]}: well with {format_number(largest[size])} "
        f"({format_number(largest['processor %'])} % of a core)"
    )
    if not larger:
        return summary + "; its end was not met."
    first_over = larger[0]
    symptoms = (
        [f"99 of 100 acknowledged within {format_number(first_over['ack 99 ms'])} ms"]
        if first_over["ack 99 ms"] > MAX_ACK_MS
        else []
    )
    symptoms += (
        [f"{format_number(first_over['beats failed'])} beats failed"]
        if first_over["beats failed"]
        else []
    )
    symptoms += (
        [
            f"{format_number(first_over['fronts refused'] + first_over['fronts cut off'])} "
            "pulls of fronts that were refused or cut off"
        ]
        if first_over["fronts refused"] + first_over["fronts cut off"]
        else []
    )
    return summary + (
        f"; past it with {format_number(first_over[size])} "
        f"({format_number(first_over['processor %'])} %): " + ", ".join(symptoms) + "."
    )


def largest_within_limit(model: Model, kind: str) -> dict[str, Any]:
    """Return the largest size that stayed within the limits."""
    passing = [
        row
        for row in model.load_results(kind)
        if row["ack 99 ms"] <= MAX_ACK_MS
        and not row["beats failed"]
        and not row["fronts cut off"]
        and not row["fronts refused"]
    ]
    return max(passing, key=lambda row: (row["machines"], row["fronts"]))


def template_values(model: Model) -> dict[str, str]:
    """Return every value that the template may refer to, by name."""
    data = model.data
    paces = [row["pace"] for measure in data["measures"].values() for row in measure["rows"]]
    values = {
        "at": data["at"],
        "commit": commit_list(data["measures"].values()),
        "carry commit": commit_list(data["carry"]),
        "python": data["python"],
        "slopes": slopes_table(model),
        "reds": exceeded_table(model),
        "pace": f"{min(paces):.0f} to {max(paces):.0f} us",
    }
    for name in ("front", "core member", "machine", "operator"):
        values[f"role {name}"] = role_table(model, name)
    for kind in KIND_DESCRIPTIONS:
        values[f"carried {kind}"] = load_table(model, kind)
    for item in model.items():
        key = f"{item.role}: {item.subject}"
        values[f"now {key}"] = format_value(item.kind, item.current(TARGET))
        if growth_limit := item.growth_limit():
            size = TARGET.scaled(growth_limit)
            values[f"met {key}"] = (
                f"{format_number(size.fronts)} fronts and {format_number(size.machines)} machines"
            )
        if item.proposed:
            values[f"then {key}"] = format_value(item.kind, item.proposed(TARGET))
    values["carry said"] = "\n".join(load_summary(model, kind) for kind in KIND_DESCRIPTIONS)
    values.update(proposal_values(model))
    return values


def proposal_values(model: Model) -> dict[str, str]:
    """Return the values for the page's comparison of proposed designs."""
    cost, message_bytes, size = model.cost, model.message_bytes, TARGET
    beats = size.machines / size.period
    heartbeat_cpu, heartbeat_cpu_plain = (
        model.heartbeat_cpu_s("machines"),
        model.heartbeat_cpu_s("plain"),
    )
    cpu_percent = {
        kind: next(
            row["processor %"] for row in model.load_results(kind) if row["machines"] == 1_000
        )
        for kind in ("machines", "anew")
    }
    machine_bytes = message_bytes["a machine told, not pressed"]
    sweep_rates = [
        3 * 10 * row[0] / size.period * cost("pull_all_bytes", 10 * row[0]) / (10 * row[0])
        for row in USER_SWEEP
    ]
    front_rate = (
        model.proposed_state_rate(size)
        + model.proposed_config_rate(size)
        + model.proposed_pull_rate(size)
    )
    return {
        "sweep told": ", ".join(format_value("rate", rate) for rate in sweep_rates),
        "beats": f"{format_number(beats)} a second",
        "beat whole": format_value("time", heartbeat_cpu),
        "beat plain": format_value("time", heartbeat_cpu_plain),
        "beat machine": format_value("time", cost("beat", 20_000)),
        "beat parsed": format_value("time", cost("beat_parsed", 20_000)),
        "beats cores": format_value("share", beats * heartbeat_cpu),
        "beats cores plain": format_value("share", beats * heartbeat_cpu_plain),
        "beats a member": format_number(beats / size.members),
        "beats a front": format_number(beats / size.fronts),
        "beats a front share": format_value("share", beats / size.fronts * heartbeat_cpu_plain),
        "beats a front bytes": format_value(
            "rate", beats / size.fronts * (message_bytes["beat request"] + 80)
        ),
        "members' cores": format_number(size.members * 0.645),
        "changes told": f"{format_number(size.ends * 4)} a second",
        "changes apart": f"{format_number(1 / size.changes)} s",
        "told then": format_value("rate", model.proposed_state_rate(size)),
        "pulls then": format_value("rate", model.proposed_pull_rate(size)),
        "differences": format_value("rate", model.proposed_config_rate(size)),
        "front then": format_value("rate", front_rate),
        "all then": format_value(
            "rate",
            cost("probe_bytes", 400)
            + sum(
                item.proposed(size)
                for item in model.items()
                if item.proposed and item.kind == "rate" and item.bound == FRONT_BYTES_PER_S
            ),
        ),
        "machine told": format_value("bytes", machine_bytes),
        "config bytes": format_value("bytes", cost("change_bytes", size.routes)),
        "config pressed": format_value("bytes", cost("change_pressed", size.routes)),
        "config rate": format_value("rate", size.changes * cost("change_pressed", size.routes)),
        "config rate 60": format_value("rate", cost("change_pressed", size.routes) / 60),
        "delta bytes": format_value("bytes", cost("change_delta_bytes", size.routes)),
        "delta rate": format_value("rate", size.changes * cost("change_delta_bytes", size.routes)),
        "routes by text": format_number(
            model.limits["text of a difference"] / cost("change_bytes", size.routes) * size.routes
        ),
        "config slowest": f"{format_number(cost('change_pressed', size.routes) / 2000 / 60)} "
        "minutes",
        "difference": format_value("bytes", cost("difference_bytes", size.routes)),
        "routes by body": format_number(
            model.limits["call's body"] / (cost("change_bytes", size.routes) / size.routes)
        ),
        "route held": format_value("bytes", cost("route_held", size.routes)),
        "routes held": format_value("bytes", size.routes * cost("route_held", size.routes)),
        "routes pressed": format_value("bytes", size.routes * cost("route_pressed", size.routes)),
        "route opened": format_value("time", cost("route_opened", 10_000)),
        "change peak": format_value("bytes", size.routes * cost("change_peak", size.routes)),
        "tenants rows": format_value("bytes", size.tenants * cost("tenant_as_row", size.tenants)),
        "tenants packed": format_value("bytes", size.tenants * cost("tenant_packed", size.tenants)),
        "machines held": format_value(
            "bytes", size.machines * cost("machine_at_front", size.machines)
        ),
        "machines zone": format_number(size.machines / size.zones),
        "machines known": format_number(model.proposed_known_machines(size)),
        "machines known bytes": format_value(
            "bytes", model.proposed_known_machines(size) * cost("machine_at_front", size.machines)
        ),
        "request 20": format_value("time", cost("request", 20)),
        "request largest": format_value("time", cost("request", 0.05 * size.machines)),
        "request machines": format_number(
            next(n for n in range(100, 10**6, 100) if cost("request", n) > 0.0026)
        ),
        "fronts a zone": format_number(size.fronts / size.zones),
        "fronts a member": format_number(size.fronts / size.members),
        "lines": format_number(2 * size.fronts / size.members),
        "lines, four lost": format_number(2 * size.fronts / (size.members - 4)),
        "pull whole": format_value("time", model.pull_cpu_s()),
        "sends": format_number(model.proposed_send_rate(size)),
        "sends share": format_value(
            "share", model.proposed_send_rate(size) * model.shared_send_cpu_s()
        ),
        "anew part": format_number(cpu_percent["anew"] / cpu_percent["machines"]),
        "stall 100": format_value("time", 100 * cost("pull_all", 640)),
        "stall 150": format_value("time", 150 * cost("pull_all", 960)),
        "send": format_value("time", model.shared_send_cpu_s()),
        "member then": f"{format_number(100 * model.member_cpu_share(True))} %",
        "member now": f"{format_number(model.member_cpu_share(False))} cores",
        "ends a region": format_number(size.ends * 300 / size.regions),
        "machines a region": format_number(size.machines / size.regions),
        "relay children": format_number(int(2000 / front_rate) - 1),
        "member sends": format_value("rate", size.fronts / size.members * front_rate),
        "region back s": format_number(
            size.fronts / size.regions * cost("change_pressed", size.routes) / 9 / 125e6
        ),
        "region back": format_value(
            "bytes", size.fronts / size.regions * cost("change_pressed", size.routes)
        ),
        "budget then": format_value("tries", size.requests / size.zones / size.services * 1.6),
        "requests a service and front": format_number(size.requests / size.fronts / size.services),
        "request share": format_value(
            "share", size.requests / size.fronts * cost("request", size.machines / size.services)
        ),
        "machines a service": format_number(size.machines / size.services),
        "checked": format_value("time", cost("change_checked", size.routes)),
        "chain of nine": format_value("time", 9 * cost("chain_change", size.routes)),
        "chain of three": format_value("time", 3 * cost("chain_change", size.routes)),
        "process front": format_value("bytes", model.data["processes"]["front"]),
        "process core": format_value("bytes", model.data["processes"]["core member"]),
        "news part": format_number(
            size.members
            / size.period
            * cost("pull_all_bytes", size.machines)
            / model.proposed_state_rate(size)
        ),
        "parser gain": format_number(heartbeat_cpu / heartbeat_cpu_plain),
        "state part": format_number(100 * cost("beat", 20_000) / heartbeat_cpu),
    }


def commit_list(rows: Iterable[dict[str, Any]]) -> str:
    return ", ".join(f"`{one}`" for one in sorted({row["commit"] for row in rows}))


def render(data: dict[str, Any]) -> str:
    """Return the page's text.

    Raises:
        KeyError: The template refers to a value that does not exist.
    """
    values = template_values(Model(data))
    text = TEMPLATE.read_text().replace(
        "\\\n", ""
    )  # a backslash continues a table row on the next line
    return re.sub(
        r"\{\{(.+?)\}\}", lambda match: values[match[1].replace("\n", " ")], text, flags=re.DOTALL
    )


def write(data: dict[str, Any]) -> None:
    PAGE.write_text(render(data))


def find_difference(data: dict[str, Any], page: str | None = None) -> str:
    """Describe the first line that differs from the rendered page; "" if none does."""
    lines = (PAGE.read_text() if page is None else page).splitlines()
    for number, (actual, expected) in enumerate(
        zip([*lines, ""], [*render(data).splitlines(), ""]), 1
    ):
        if actual != expected:
            return f"docs/CAPACITY.md:{number}: is {actual!r}, but its data give {expected!r}"
    return (
        ""
        if len(lines) == len(render(data).splitlines())
        else f"docs/CAPACITY.md: {len(lines)} lines"
    )
