"""Drains under load on loopback: drained, called off halfway, drained again, with troubles among the machines;
many seeds.

Usage: python -m benchmarks.drains [--seeds N] [--rate N] [--workers N] [--json FILE]

Counted by stand-ins and clients, not by the front: every query one final answer in time, no booking twice.
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

LENGTH = 10.0


def day(seed: int, rate: float) -> Day:
    chance = random.Random(f"troubles/{seed}")
    kinds = chance.sample(["lost", "resets", "errors", "slow", "pause"], 2)
    troubles = tuple(
        FaultInjection(
            kind=kind,
            at_s=1 + 2 * chance.random(),
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
        length_s=LENGTH,
        seed=seed,
        settle_s=0.5,
        load=Load(rate=rate),
        clients=Clients(retries=2),
        front=Fronts(count=2),
        profile=rows,
        trouble=troubles,
        group=(Group(name="a", machines=8, workers=3),),
    )


def played(seed: int, rate: float) -> dict:
    chance = random.Random(f"drains/{seed}")
    deadlines = [10 * chance.random() ** 2, 10 * chance.random() ** 2]
    with tempfile.TemporaryDirectory(prefix="um") as folder:
        for name in ("n0", "n1"):
            Path(folder, f"{name}.kdl").write_text(
                f'front {{\n  door "unix:{folder}/{name}.sock"\n}}\n'
            )
        door = f"unix:{folder}/n0.sock"
        due = [
            (1.5, "/drain", {"deadline_s": deadlines[0]}),
            (1.5 + chance.random(), "/resume", None),
            (4.5, "/drain", {"deadline_s": deadlines[1]}),
            (8.0, "/resume", None),
        ]
        drained: list[float] = []
        began = [0.0]

        def operator(at: float) -> None:
            while due and at >= due[0][0]:
                _, way, body = due.pop(0)
                ask(door, "POST", way, body)
                began[0] = at
            if at > 4.6 and not drained and len(due) == 1:
                try:
                    if orjson.loads(ask(door, "GET", "/status")[1])["state"] == "drained":
                        drained.append(at - began[0])
                except Unanswered:
                    pass

        outcome = play_on_sockets(day(seed, rate), operator, sheet=f"{folder}/NAME.kdl")
    counts = outcome["audit"]["counts"]
    return {
        "seed": seed,
        "deadlines s": [round(one, 2) for one in deadlines],
        "taken": counts["taken"],
        "answered": sum(counts.get(kind, 0) for kind in ("done", "denied", "abandoned", "left")),
        "abandoned": counts.get("abandoned", 0),
        "breaches": outcome["audit"]["breaches"],
        "first": outcome["audit"]["first"][:1],
        "in time": outcome["in_time"],
        "drained after s": round(drained[0], 2) if drained else None,
        "honest": outcome["honest"],
    }


def main(words: list[str]) -> int:
    def given(name: str, otherwise: str) -> str:
        return words[words.index(name) + 1] if name in words else otherwise

    with ThreadPoolExecutor(int(given("--workers", "2"))) as pool:
        rows = list(
            pool.map(
                lambda seed: played(seed, float(given("--rate", "300"))),
                range(1, int(given("--seeds", "100")) + 1),
            )
        )
    show("Drains under load, loopback", rows, given("--json", "") or None)
    done = [row["drained after s"] for row in rows if row["drained after s"] is not None]
    print(
        f"{len(rows)} seeds, {sum(row['taken'] for row in rows)} queries taken, "
        f"{sum(row['breaches'] for row in rows)} breaches; drained after {spread(done) if done else '-'} s"
    )
    return 0 if not any(row["breaches"] for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
