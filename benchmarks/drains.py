"""Drains under load on loopback: drain, resume, drain again, with faults among the machines.

Usage: python -m benchmarks.drains [--seeds N] [--rate N] [--workers N] [--json FILE]

Each seed draws other faults and drain deadlines. The counts come from stand-in machines and
clients, not from the front: every query must get exactly one final answer in time, and no booking
may run twice.
"""

import random
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import orjson

from benchmarks.common import show, spread
from umbermoor.front.lifecycle.command import Unanswered, ask
from umbermoor.lab.day import Clients, Day, FaultInjection, Fronts, Group, Load, ProfileRow
from umbermoor.lab.sockets.runner import play_on_sockets

LENGTH_S = 10.0


def day(seed: int, rate: float) -> Day:
    rng = random.Random(f"troubles/{seed}")
    kinds = rng.sample(["lost", "resets", "errors", "slow", "pause"], 2)
    faults = tuple(
        FaultInjection(
            kind=kind,
            at_s=1 + 2 * rng.random(),
            for_s=5,
            part=0.3,
            size=0.2 if kind in ("lost", "resets", "errors") else 4,
        )
        for kind in kinds
    )
    rows = (
        ProfileRow(name="lookup", share=0.6, work_ms=40, cv=0.6),
        ProfileRow(name="booking", share=0.4, repeat="once", work_ms=40, cv=0.6),
    )
    return Day(
        name="drains",
        length_s=LENGTH_S,
        seed=seed,
        settle_s=0.5,
        load=Load(rate=rate),
        clients=Clients(retries=2),
        front=Fronts(count=2),
        profile=rows,
        trouble=faults,
        group=(Group(name="a", machines=8, workers=3),),
    )


def play(seed: int, rate: float) -> dict:
    rng = random.Random(f"drains/{seed}")
    deadlines = [10 * rng.random() ** 2, 10 * rng.random() ** 2]
    with tempfile.TemporaryDirectory(prefix="um") as folder:
        for name in ("n0", "n1"):
            Path(folder, f"{name}.kdl").write_text(
                f'front {{\n  door "unix:{folder}/{name}.sock"\n}}\n'
            )
        door = f"unix:{folder}/n0.sock"
        pending_calls = [
            (1.5, "/drain", {"deadline_s": deadlines[0]}),
            (1.5 + rng.random(), "/resume", None),
            (4.5, "/drain", {"deadline_s": deadlines[1]}),
            (8.0, "/resume", None),
        ]
        drained_after: list[float] = []
        last_call_at = [0.0]

        def operator(at: float) -> None:
            while pending_calls and at >= pending_calls[0][0]:
                _, path, body = pending_calls.pop(0)
                ask(door, "POST", path, body)
                last_call_at[0] = at
            if at > 4.6 and not drained_after and len(pending_calls) == 1:
                try:
                    if orjson.loads(ask(door, "GET", "/status")[1])["state"] == "drained":
                        drained_after.append(at - last_call_at[0])
                except Unanswered:
                    pass

        outcome = play_on_sockets(day(seed, rate), operator, sheet=f"{folder}/NAME.kdl")
    counts = outcome["audit"]["counts"]
    return {
        "seed": seed,
        "deadlines s": [round(deadline, 2) for deadline in deadlines],
        "taken": counts["taken"],
        "answered": sum(counts.get(kind, 0) for kind in ("done", "denied", "abandoned", "left")),
        "abandoned": counts.get("abandoned", 0),
        "breaches": outcome["audit"]["breaches"],
        "first": outcome["audit"]["first"][:1],
        "in time": outcome["in_time"],
        "drained after s": round(drained_after[0], 2) if drained_after else None,
        "honest": outcome["honest"],
    }


def main(arguments: list[str]) -> int:
    def option(name: str, default: str) -> str:
        return arguments[arguments.index(name) + 1] if name in arguments else default

    with ThreadPoolExecutor(int(option("--workers", "2"))) as pool:
        rows = list(
            pool.map(
                lambda seed: play(seed, float(option("--rate", "300"))),
                range(1, int(option("--seeds", "100")) + 1),
            )
        )
    show("Drains under load, loopback", rows, option("--json", "") or None)
    drain_times = [row["drained after s"] for row in rows if row["drained after s"] is not None]
    print(
        f"{len(rows)} seeds, {sum(row['taken'] for row in rows)} queries taken, "
        f"{sum(row['breaches'] for row in rows)} breaches; "
        f"drained after {spread(drain_times) if drain_times else '-'} s"
    )
    return 0 if not any(row["breaches"] for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
