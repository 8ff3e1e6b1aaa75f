"""Operators' calls on a loopback gateway of three members: time to acknowledge, and pairs that
contradict each other.

python -m benchmarks.control_calls --puts 300 --pairs 40

Pairs are sent at once to two members: two contents under one revision, two targets of one service's
roll-out. Of each pair one at the most may be confirmed. Linux only; ends all that it started.
"""

import json
import re
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from statistics import median

import httpcore
from cyclopts import App

READY = re.compile(r" story ((?:--at \S+ ?)+)")


def body(revision: int, mark: str, services: int) -> bytes:
    routes = {
        f"r{n}": {
            "host": "calls.example",
            "prefix": f"/{mark}/{n}/",
            "kind": "safe",
            "horizonS": 2,
            "setpointS": 1,
            "priority": 1,
            "service": f"s{n}",
            "tries": 2,
        }
        for n in range(services)
    }
    return json.dumps(
        {
            "revision": f"{revision:08x}",
            "routes": routes,
            "services": {f"s{n}": {"probe": "/health", "saturation": 130} for n in range(services)},
            "envelope": {"idleS": 15},
        }
    ).encode()


def call(
    pool: httpcore.ConnectionPool, place: str, path: str, content: bytes | None
) -> tuple[int, float, bytes]:
    """Status, 0 where nothing came; how long it took in ms; the answer."""
    began, limits = (
        time.perf_counter(),
        {"timeout": dict.fromkeys(("connect", "read", "write", "pool"), 2.0)},
    )
    try:
        answer = pool.request(
            "GET" if content is None else "POST",
            f"http://{place}{path}",
            content=content,
            headers=[("Content-Type", "application/json")],
            extensions=limits,
        )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return 0, 0.0, b""
    return answer.status, (time.perf_counter() - began) * 1000, answer.content


def share(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def play(places: list[str], puts: int, pairs: int, services: int) -> int:
    both, both_orders, odd = 0, 0, 0
    with httpcore.ConnectionPool() as pool, ThreadPoolExecutor(2) as two:
        revision, took, later = 16, [], 0
        for number in range(puts):
            revision += 1
            status, ms, _ = call(
                pool, places[number % 3], "/Config.Replace", body(revision, "a", services)
            )
            took.append(ms) if status == 200 else None
            later += status != 200
            time.sleep(0.02)
        print(
            f"{len(took)} of {puts} configurations of {services} routes acknowledged: median {median(took):.1f} ms, "
            f"99 % {share(took, 0.99):.1f} ms; {later} others"
        )
        for number in range(pairs):
            revision += 1
            sent = [
                (places[number % 3], body(revision, "a", services)),
                (places[(number + 1) % 3], body(revision, "b", services)),
            ]
            told = list(two.map(lambda one: call(pool, one[0], "/Config.Replace", one[1])[0], sent))
            held = json.loads(call(pool, places[2], "/Config.Read", None)[2])
            both += told == [200, 200]
            right = [
                status for status, (_, content) in zip(told, sent) if json.loads(content) == held
            ]
            odd += 200 in told and right != [200]
        print(
            f"{pairs} pairs of one revision and two contents: both confirmed {both}, "
            f"confirmed but not in force {odd}"
        )
        for number in range(min(pairs, services)):
            sent = [(places[number % 3], "v2"), (places[(number + 1) % 3], "v3")]
            order = [
                (
                    place,
                    json.dumps({"service": f"s{number}", "target": target, "rampS": 12}).encode(),
                )
                for place, target in sent
            ]
            told = list(
                two.map(lambda one: call(pool, one[0], "/Rollouts.Begin", one[1])[0], order)
            )
            held = json.loads(call(pool, places[2], f"/Rollouts.Read/s{number}", None)[2])
            both_orders += told == [200, 200]
            odd += 200 in told and [held["target"]] != [
                target for status, (_, target) in zip(told, sent) if status == 200
            ]
        print(
            f"{min(pairs, services)} pairs of roll-outs of one service, two targets: both confirmed {both_orders}"
        )
    return 1 if both or both_orders or odd else 0


app = App(help=__doc__)


@app.default
def main(puts: int = 300, pairs: int = 40, services: int = 40) -> None:
    """Play it; status 1 where two that contradict each other were both confirmed."""
    plot = subprocess.Popen(
        [sys.executable, "-u", "-m", "umbermoor.gateway", "local", "--stay"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        places = next(
            found[1].replace("--at ", "").split()
            for line in plot.stdout
            if (found := READY.search(line))
        )
        time.sleep(1.0)
        status = play(places, puts, pairs, services)
    finally:
        plot.send_signal(signal.SIGINT)
        plot.communicate(timeout=20)
    sys.exit(status)


if __name__ == "__main__":
    app()
