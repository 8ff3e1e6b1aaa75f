"""Operator calls on a loopback gateway of three members: acknowledgement times and conflicts.

python -m benchmarks.control_calls --puts 300 --pairs 40

Conflicting pairs of calls are sent concurrently to two members: two contents under one revision, or
two targets for the rollout of one service. At most one call of a pair may be confirmed. Runs on
Linux only; stops all processes that it started.
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

CONTROL_ADDRESSES = re.compile(r" story ((?:--at \S+ ?)+)")


def body(revision: int, prefix: str, services: int) -> bytes:
    routes = {
        f"r{n}": {
            "host": "calls.example",
            "prefix": f"/{prefix}/{n}/",
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
    pool: httpcore.ConnectionPool, address: str, path: str, content: bytes | None
) -> tuple[int, float, bytes]:
    """Return the status (0 if there was no response), the duration in ms and the body."""
    began, limits = (
        time.perf_counter(),
        {"timeout": dict.fromkeys(("connect", "read", "write", "pool"), 2.0)},
    )
    try:
        answer = pool.request(
            "GET" if content is None else "POST",
            f"http://{address}{path}",
            content=content,
            headers=[("Content-Type", "application/json")],
            extensions=limits,
        )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return 0, 0.0, b""
    return answer.status, (time.perf_counter() - began) * 1000, answer.content


def percentile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def play(addresses: list[str], puts: int, pairs: int, services: int) -> int:
    both_confirmed, both_rollouts_confirmed, confirmed_not_in_force = 0, 0, 0
    with httpcore.ConnectionPool() as pool, ThreadPoolExecutor(2) as pair_pool:
        revision, took, unacknowledged = 16, [], 0
        for number in range(puts):
            revision += 1
            status, ms, _ = call(
                pool, addresses[number % 3], "/Config.Replace", body(revision, "a", services)
            )
            took.append(ms) if status == 200 else None
            unacknowledged += status != 200
            time.sleep(0.02)
        print(
            f"{len(took)} of {puts} configurations of {services} routes acknowledged: median {median(took):.1f} ms, "
            f"99 % {percentile(took, 0.99):.1f} ms; {unacknowledged} others"
        )
        for number in range(pairs):
            revision += 1
            sent = [
                (addresses[number % 3], body(revision, "a", services)),
                (addresses[(number + 1) % 3], body(revision, "b", services)),
            ]
            statuses = list(
                pair_pool.map(
                    lambda request: call(pool, request[0], "/Config.Replace", request[1])[0], sent
                )
            )
            in_force = json.loads(call(pool, addresses[2], "/Config.Read", None)[2])
            both_confirmed += statuses == [200, 200]
            statuses_in_force = [
                status
                for status, (_, content) in zip(statuses, sent)
                if json.loads(content) == in_force
            ]
            confirmed_not_in_force += 200 in statuses and statuses_in_force != [200]
        print(
            f"{pairs} pairs of one revision and two contents: both confirmed {both_confirmed}, "
            f"confirmed but not in force {confirmed_not_in_force}"
        )
        for number in range(min(pairs, services)):
            sent = [(addresses[number % 3], "v2"), (addresses[(number + 1) % 3], "v3")]
            requests = [
                (
                    address,
                    json.dumps({"service": f"s{number}", "target": target, "rampS": 12}).encode(),
                )
                for address, target in sent
            ]
            statuses = list(
                pair_pool.map(
                    lambda request: call(pool, request[0], "/Rollouts.Begin", request[1])[0],
                    requests,
                )
            )
            in_force = json.loads(call(pool, addresses[2], f"/Rollouts.Read/s{number}", None)[2])
            both_rollouts_confirmed += statuses == [200, 200]
            confirmed_not_in_force += 200 in statuses and [in_force["target"]] != [
                target for status, (_, target) in zip(statuses, sent) if status == 200
            ]
        print(
            f"{min(pairs, services)} pairs of roll-outs of one service, two targets: "
            f"both confirmed {both_rollouts_confirmed}"
        )
    return 1 if both_confirmed or both_rollouts_confirmed or confirmed_not_in_force else 0


app = App(help=__doc__)


@app.default
def main(puts: int = 300, pairs: int = 40, services: int = 40) -> None:
    """Run the calls; exit with status 1 on a conflict.

    A conflict is a pair whose calls were both confirmed, or a confirmed call that is not in force.
    """
    gateway = subprocess.Popen(
        [sys.executable, "-u", "-m", "umbermoor.gateway", "local", "--stay"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        addresses = next(
            found[1].replace("--at ", "").split()
            for line in gateway.stdout
            if (found := CONTROL_ADDRESSES.search(line))
        )
        time.sleep(1.0)
        status = play(addresses, puts, pairs, services)
    finally:
        gateway.send_signal(signal.SIGINT)
        gateway.communicate(timeout=20)
    sys.exit(status)


if __name__ == "__main__":
    app()
