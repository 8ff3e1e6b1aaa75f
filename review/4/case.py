"""A new version of a service, all of whose answers come after the setpoint of its route."""

# ruff: noqa: D103

import json
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common2.clients import Clients  # noqa: E402
from common2.gateway import MARGINS, Gateway, configuration, route, trouble  # noqa: E402
from common2.server import Server  # noqa: E402

WORK_S = 0.1  # of every request, at every server of both versions
WIDE_S, NARROW_S = 0.5, 0.05  # setpointS before and after the change
RAMP_S = 16
WATCH_S = 45.0
SUCCESS = 200


def main() -> int:
    gateway = Gateway(HERE / "record.txt", proxies=2)
    servers: list[Server] = []
    try:
        return play(gateway, servers)
    finally:
        for server in servers:
            server.end()
        gateway.end()


def add_servers(gateway: Gateway, servers: list[Server], version: str) -> None:
    control = [(node.ip, gateway.control) for node in gateway.controllers]
    for number, node in enumerate(gateway.controllers):
        host = f"{gateway.network}.{31 + len(servers)}"
        server = Server(
            f"i-{version}-{number}", "maps", host, node.zone, control, 1.5, gateway.say, version
        )
        server.work_s = WORK_S
        servers.append(server)
    gateway.say(f"three servers of {version} started")


def routes(setpoint_s: float) -> dict[str, dict[str, object]]:
    return {"r-maps": route("maps", "/maps/", setpoint_s=setpoint_s)}


def play(gateway: Gateway, servers: list[Server]) -> int:
    for node in (*gateway.controllers, *gateway.proxies):
        gateway.start(node, cold=True)
    first = configuration(1, routes(WIDE_S))
    if gateway.operate("POST", "/Config.Replace", first, 20) is None:
        return 2
    add_servers(gateway, servers, "v1")
    ready = 0
    while ready < len(gateway.proxies):
        ready = sum(
            gateway.call(node.ip, gateway.ready, "GET", "/ready")[0] == SUCCESS
            for node in gateway.proxies
        )
        if gateway.now() > 30:
            return 2
        time.sleep(0.1)
    clients = Clients(gateway, 16, "/maps/1")
    time.sleep(MARGINS["settlingS"])
    if trouble():
        changed = configuration(2, routes(NARROW_S))
        if gateway.operate("POST", "/Config.Replace", changed, gateway.now() + 10) is None:
            return 2
    time.sleep(MARGINS["convergenceS"])
    order = json.dumps({"service": "maps", "target": "v2", "rampS": RAMP_S}).encode()
    if gateway.operate("POST", "/Rollouts.Begin", order, gateway.now() + 10) is None:
        return 2
    add_servers(gateway, servers, "v2")
    ends: Counter[str] = Counter()
    until = gateway.now() + WATCH_S
    while gateway.now() < until:
        time.sleep(0.1)
        ends.update(node.name for node in gateway.restart_ended())
    for node in gateway.controllers:
        status, _, answer = gateway.control_call(node, "GET", "/Rollouts.Read/maps")
        gateway.say(f"GET /Rollouts.Read/maps at {node.name}: {status} {answer.decode()}")
        for line, count in Counter(gateway.errors(node)).most_common(3):
            gateway.say(f"in the log of {node.name}, {count} times: {line[:150]}")
    clients.end()
    gateway.say(f"answers to clients: {dict(clients.statuses)}")
    gateway.say(f"runs by server: { {server.id: len(server.runs) for server in servers} }")
    gateway.say(f"processes that ended by themselves: {dict(ends)}")
    core = {node.name for node in gateway.controllers if ends[node.name]}
    broken = sum(ends.values()) >= 3 and 2 * len(core) >= len(gateway.controllers)
    gateway.say("RULE BROKEN" if broken else "held")
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
