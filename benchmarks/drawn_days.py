"""Generates random days with many overlapping faults for the users' bench, one TOML file per seed.

The format follows the pages of the bench.

python -m benchmarks.drawn_days --out FOLDER --first 1 --days 40 [--pool] [--replace] [--shrink X]

The faults of a day repeat and overlap, most of all those of the core. `pool` adds idle_race and
related faults, which only some deployments support. `replace` draws days on which controllers are
replaced permanently, with fewer other faults, and on which disks are lost at the end in one of
several ways. `shrink` is the scale of the small copy of a large deployment. The result depends on
the seed alone. Times are seconds from the start of traffic.
"""

import random
from pathlib import Path
from typing import Any

from cyclopts import App

Fault = dict[str, Any]

EVENTS_ON_RETURN = (
    "",
    "meet",
    "race",
    "drain",
    "meet drain",
    "race drain",
    "meet race",
    "meet race drain",
    "hard meet",
)
TARGETS = ("", "leader", "reader", "seed")


def join_choices(rng: random.Random, *groups: tuple[str, ...]) -> str:
    """Choose one word of each group and join the non-empty ones.

    >>> join_choices(random.Random(1), ("a",), ("",), ("b",))
    'a b'
    """
    return " ".join(word for word in (rng.choice(group) for group in groups) if word)


def draw_core_fault(rng: random.Random) -> Fault:
    """Draw a fault of controllers, their links or disks."""
    kind = rng.choice(
        ("core_cut",) * 4
        + ("node_kill", "after_ack_kill", "after_ack_wipe") * 2
        + ("herd_kill", "disk_slow", "roll_term")
    )
    span = round(rng.choice((0.5, 2.0, 3.0, 6.0, 12.0, 20.0)) * rng.uniform(0.8, 1.2), 1)
    if kind == "core_cut":
        words = join_choices(
            rng,
            ("", "one_way", "seeds", "both"),
            ("", "", "reset", "refuse"),
            TARGETS,
            EVENTS_ON_RETURN,
        )
        return {"kind": kind, "count": 1, "for_s": span, "how": words}
    if kind == "node_kill":
        return {
            "kind": kind,
            "on": "core",
            "count": 1,
            "for_s": span,
            "how": join_choices(rng, ("", "power"), TARGETS, EVENTS_ON_RETURN),
        }
    if kind == "after_ack_kill":
        return {"kind": kind, "for_s": min(span, 6.0), "how": rng.choice(("", "kill", "timed"))}
    if kind == "after_ack_wipe":
        return {"kind": kind, "for_s": min(span, 6.0), "how": rng.choice(("", "timed"))}
    if kind == "herd_kill":
        return {
            "kind": kind,
            "on": "core",
            "for_s": min(span, 3.0),
            "how": join_choices(rng, ("", "power"), EVENTS_ON_RETURN),
        }
    if kind == "disk_slow":
        return {
            "kind": kind,
            "count": 1,
            "x": rng.choice((10.0, 30.0, 60.0)),
            "for_s": span,
            "how": rng.choice(("", "leader")),
        }
    return {
        "kind": kind,
        "on": "core",
        "share": 1.0,
        "x": 1.0,
        "gap_s": rng.choice((2.0, 4.0, 7.0)),
        "how": rng.choice(("", "meet", "drain")),
    }


def draw_other_fault(rng: random.Random, pool: bool) -> Fault:
    """Draw a fault of fronts, machines or clients."""
    span = round(rng.uniform(2.0, 12.0), 1)
    kinds = [
        "node_kill",
        "node_cut",
        "node_cut_servers",
        "answer_lost",
        "garble",
        "srv_crash",
        "retry_abuse",
    ]
    kind = rng.choice(kinds + ["idle_race", "srv_grey", "srv_flap"] * pool)
    share = round(rng.uniform(0.1, 0.6), 2)
    if kind == "node_kill":
        return {
            "kind": kind,
            "share": share,
            "for_s": min(span, 4.0),
            "how": rng.choice(("", "power")),
        }
    if kind == "node_cut":
        return {
            "kind": kind,
            "share": share / 2,
            "for_s": span,
            "how": rng.choice(("", "reset")),
        }
    if kind == "node_cut_servers":
        return {
            "kind": "node_cut",
            "share": share / 2,
            "for_s": span,
            "how": join_choices(rng, ("servers",), ("", "reset")),
        }
    if kind == "answer_lost":
        return {
            "kind": kind,
            "share": share,
            "x": rng.choice((0.02, 0.05)),
            "for_s": span,
            "how": rng.choice(("", "reset")),
        }
    if kind == "garble":
        return {
            "kind": kind,
            "share": share,
            "x": rng.choice((0.02, 0.05)),
            "for_s": span,
            "how": rng.choice(("", "extra", "extra late")),
        }
    if kind == "srv_crash":
        return {
            "kind": kind,
            "share": share / 3,
            "for_s": span,
            "how": rng.choice(("", "dark", "dark gone")),
        }
    if kind == "retry_abuse":
        return {"kind": kind, "x": 3.0, "share": share, "for_s": span}
    if kind == "idle_race":
        return {"kind": kind, "share": share, "x": 300.0, "for_s": span}
    if kind == "srv_grey":
        return {
            "kind": kind,
            "share": share / 3,
            "x": 0.4,
            "for_s": span,
            "how": rng.choice(("errors", "shed", "busy", "hang", "reset")),
        }
    return {"kind": kind, "share": share / 3, "gap_s": 1.5, "for_s": span}


def draw_planned_change(rng: random.Random) -> Fault:
    """Draw a change by operators, or planned maintenance."""
    kind = rng.choice(
        ("config_race",) * 3
        + (
            "config_change",
            "bad_config",
            "release",
            "scale_in",
            "rollout_good",
            "rollout_bad",
            "roll_term",
        )
    )
    if kind == "config_race":
        return {
            "kind": kind,
            "count": rng.choice((2, 5, 10)),
            "gap_s": rng.choice((0.3, 1.0, 2.5)),
        }
    if kind == "config_change":
        return {"kind": kind, "how": rng.choice(("route", "weights", "timeout", "idle"))}
    if kind == "bad_config":
        return {
            "kind": kind,
            "count": 3,
            "gap_s": 0.6,
            "how": rng.choice(("", "old_version", "same_version", "stale_match", "cut_short")),
        }
    if kind == "release":
        return {"kind": kind, "share": 0.3, "x": 1.0, "gap_s": 0.8}
    if kind == "scale_in":
        return {"kind": kind, "share": 0.12, "how": rng.choice(("", "spot"))}
    if kind == "rollout_good":
        return {"kind": kind, "for_s": 15.0}
    if kind == "rollout_bad":
        return {
            "kind": kind,
            "for_s": 15.0,
            "share": 0.5,
            "gap_s": 2.0,
            "how": rng.choice(("errors", "slow", "under_load", "one_class errors", "late errors")),
        }
    return {"kind": kind, "share": 1.0, "x": 1.0, "gap_s": 1.5}


DISK_LOSS_VARIANTS = ("", "", "timed", "oldest", "aimed")
REPLACED_LENGTH_S = 36.0
# Two rounds, far enough apart that the first ends before the second.
REPLACED_AT_S = ((4.0, 7.0), (15.0, 20.0))


def replacements(rng: random.Random) -> list[Fault]:
    """Draw permanent replacements of one or two controllers per round."""
    faults = []
    for earliest, latest in REPLACED_AT_S:
        at = round(rng.uniform(earliest, latest), 2)
        planned = rng.random() < 0.5
        for _ in range(rng.choice((1, 1, 2))):
            fault: Fault = {"kind": "replace_core", "at": at}
            fault["x"] = rng.choice((0.1, 0.4, 1.0, 2.0))
            fault["how"] = join_choices(rng, ("", "oldest"), ("planned" if planned else "",))
            faults.append(fault)
    return faults


def draw_replaced(seed: int, shrink: float = 0.0) -> str:
    """Return a day on which controllers are replaced, as TOML text.

    >>> draw_replaced(3) == draw_replaced(3) != draw_replaced(4)
    True
    """
    rng = random.Random(f"replaced {seed}")
    faults = replacements(rng)
    for _ in range(rng.randrange(2)):
        faults.append(draw_core_fault(rng) | {"at": round(rng.uniform(1.5, 26.0), 2)})
    plan: list[Fault] = [{"kind": "config_change", "how": "route", "at": 2.0}]
    plan.append({"kind": "config_change", "how": "timeout", "at": 24.0})
    kind = rng.choice(("wipe_after_ack",) * 4 + ("power_off_all", "kill_all"))
    closing_variant = rng.choice(DISK_LOSS_VARIANTS) if kind == "wipe_after_ack" else ""
    closing = f'closing = {{ kind = "{kind}", down_s = {round(rng.uniform(0.6, 2.0), 2)}'
    closing += f', how = "{closing_variant}" }}' if closing_variant else " }"
    lines = [f'name = "replaced-{seed}"', f"seed = {600000 + seed}"]
    lines += [f"length_s = {REPLACED_LENGTH_S}", closing]
    lines += [f"small = {{ shrink = {shrink} }}"] if shrink else []
    return _as_toml(lines, plan, faults)


def draw(seed: int, pool: bool) -> str:
    """Return a random day as TOML text.

    >>> draw(3, False) == draw(3, False) != draw(4, False)
    True
    """
    rng = random.Random(seed)
    length = rng.choice((32.0, 45.0, 60.0))
    faults = [draw_core_fault(rng) for _ in range(rng.randrange(3, 8))]
    faults += [draw_other_fault(rng, pool) for _ in range(rng.randrange(1, 5))]
    plan = [
        {"kind": "config_change", "how": "route"},
        *(draw_planned_change(rng) for _ in range(rng.randrange(3, 8))),
    ]
    rollout_drawn: set[str] = set()
    for fault in (*faults, *plan):
        fault["at"] = round(rng.uniform(1.5, length - 6.0), 2)
    plan = [
        entry
        for entry in plan
        if not (
            entry["kind"].startswith("rollout")
            and (entry["at"] > length - 18 or "r" in rollout_drawn or rollout_drawn.add("r"))
        )
    ]
    closing = rng.choice(("power_off_all", "wipe_after_ack", "kill_all"))
    closing_variant = {"wipe_after_ack": ', how = "aimed"'}.get(closing, "")
    lines = [
        f'name = "drawn-{seed}"',
        f"seed = {500000 + seed}",
        f"length_s = {length}",
        f'closing = {{ kind = "{closing}", down_s = {round(rng.uniform(0.6, 2.0), 2)}'
        f"{closing_variant} }}",
    ]
    return _as_toml(lines, plan, faults)


def _as_toml(head: list[str], plan: list[Fault], faults: list[Fault]) -> str:
    """Return the TOML text of a day, with its thresholds and its faults ordered by time."""
    lines = [
        *head,
        'slot = "trouble"',
        "one = 1.0",
        "zero = 0.6",
        "goal = { floor = 0.2 }",
        "floor_classes = [0.1]",
        "floor_zones = [0.1]",
        "labels = []",
        "wall = 5.0",
        "light = false",
    ]
    for name, entries in (("plan", plan), ("faults", faults)):
        lines.append(f"{name} = [")
        for entry in sorted(entries, key=lambda entry: entry["at"]):
            fields = ", ".join(
                f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
                for key, value in entry.items()
                if value != ""
            )
            lines.append(f"  {{ {fields} }},")
        lines.append("]")
    return "\n".join(lines) + "\n"


app = App(help=__doc__)


@app.default
def main(
    out: Path,
    first: int = 1,
    days: int = 40,
    pool: bool = False,
    replace: bool = False,
    shrink: float = 0.0,
) -> None:
    """Write `days` files into the folder `out`, from seed `first` on."""
    out.mkdir(parents=True, exist_ok=True)
    for seed in range(first, first + days):
        if replace:
            (out / f"replaced-{seed}.toml").write_text(draw_replaced(seed, shrink))
        else:
            (out / f"drawn-{seed}.toml").write_text(draw(seed, pool))


if __name__ == "__main__":
    app()
