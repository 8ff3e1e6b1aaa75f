"""A configuration raises `bodyBytes`; clients go on on the connections that they keep."""

# ruff: noqa: D103

import http.client
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common2.gateway import MARGINS, Gateway, configuration, route, trouble  # noqa: E402
from common2.server import Server  # noqa: E402

CLIENTS = 12  # each keeps one connection
SMALL, LARGE = 2_000, 24_000  # bytes of a body; the site's largest order has 24,000
NARROW, WIDE = 16_384, 67_108_864  # bodyBytes before and after
SUCCESS = 200


class Client:
    """A client of the kind that keeps its connection for many requests."""

    def __init__(self, gateway: Gateway, number: int) -> None:
        self.gateway, self.name = gateway, f"client {number}"
        self.ip = gateway.proxies[number % len(gateway.proxies)].ip
        self.connection = http.client.HTTPConnection(self.ip, gateway.front, timeout=3)

    def order(self, size: int, why: str) -> int:
        """Send one order with a body of `size` bytes; return the status, 0 for no answer."""
        id = f"{random.getrandbits(64):016x}"
        headers = {"Host": "plot.example", "X-Attempt-Id": id, "X-Time-Remaining": "2000"}
        sent = self.gateway.now()
        try:
            self.connection.request("POST", "/orders/1", b"x" * size, headers)
            response = self.connection.getresponse()
            response.read()
            status, note = response.status, "sealed" if response.getheader("x-server-seal") else ""
        except (OSError, http.client.HTTPException) as error:
            status, note = 0, repr(error)
        self.gateway.say(
            f"{self.name}, {why}: order {id} of {size} bytes, sent at {sent:.3f} s to {self.ip}: "
            f"{status} {note}"
        )
        return status


def main() -> int:
    gateway = Gateway(HERE / "record.txt", proxies=2)
    servers: list[Server] = []
    try:
        return play(gateway, servers)
    finally:
        for server in servers:
            server.end()
        gateway.end()


def play(gateway: Gateway, servers: list[Server]) -> int:
    for node in (*gateway.controllers, *gateway.proxies):
        gateway.start(node, cold=True)
    control = [(node.ip, gateway.control) for node in gateway.controllers]
    for number, node in enumerate(gateway.controllers):
        host = f"{gateway.network}.{31 + number}"
        servers.append(Server(f"i-{number}", "orders", host, node.zone, control, 1.5, gateway.say))
    first = NARROW if trouble() else WIDE
    routes = {"r-orders": route("orders", "/orders/", kind="unsafe")}
    if not gateway.operate("POST", "/Config.Replace", configuration(1, routes, first), 20):
        return 2
    while not all(
        gateway.call(node.ip, gateway.ready, "GET", "/ready")[0] == SUCCESS
        for node in gateway.proxies
    ):
        if gateway.now() > 30:
            return 2
        time.sleep(0.1)
    gateway.say("all proxies are ready")
    time.sleep(MARGINS["contactS"] + 1)  # all are in touch
    clients = [Client(gateway, number) for number in range(CLIENTS)]
    statuses = [client.order(SMALL, "its connection is new") for client in clients]
    if set(statuses) != {SUCCESS}:
        return 2
    if trouble():
        changed = configuration(2, routes, WIDE)
        acknowledged = gateway.operate("POST", "/Config.Replace", changed, gateway.now() + 10)
        if acknowledged is None:
            return 2
        gateway.say(f"revision 2, bodyBytes {WIDE}, was acknowledged at {acknowledged:.3f} s")
    until = gateway.now() + 2 * MARGINS["convergenceS"]
    while gateway.now() < until:  # the connections stay in use
        time.sleep(1)
        statuses += [client.order(SMALL, "kept connection") for client in clients]
    denied = 0
    for client in clients:
        status = client.order(LARGE, "kept connection")
        statuses.append(status)
        denied += 300 <= status < 500
    fresh = Client(gateway, 0).order(LARGE, "a new connection")
    gateway.say(f"the same order on a new connection: {fresh}")
    allowed = 5 + (len(statuses) + 1) / 500
    broken = denied > allowed
    gateway.say(
        f"{'RULE BROKEN' if broken else 'held'}: {denied} proper requests ended with a 4xx of the "
        f"system's own, of {len(statuses) + 1}; {allowed:.2f} allowed"
    )
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
