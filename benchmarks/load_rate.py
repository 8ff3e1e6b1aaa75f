"""Finds the highest rate that one load process on one core sustains against instant servers.

Usage: python -m benchmarks.load_rate [--seconds N]
"""

import subprocess
import sys

from benchmarks.common import show
from umbermoor.lab.day import Clients, Day, Group, Load, ProfileRow
from umbermoor.lab.sockets.runner import load_only

RATES = (500, 1000, 1500, 2000, 3000, 4000)
SERVER = """
import sys
from twisted.internet import reactor
from umbermoor.lab.sockets.common import listen
port = listen(reactor, lambda served, request: served.reply(200, b"done " + request.headers["x-txn"].encode()))
print(port.getHost().port, flush=True)
reactor.run()
"""


def main(arguments: list[str]) -> int:
    seconds = (
        float(arguments[arguments.index("--seconds") + 1]) if "--seconds" in arguments else 5.0
    )
    servers = [
        subprocess.Popen([sys.executable, "-c", SERVER], stdout=subprocess.PIPE) for _ in range(3)
    ]
    rows = []
    try:
        ports = [int(server.stdout.readline()) for server in servers]
        for rate in RATES:
            day = Day(
                name="pace",
                length_s=seconds,
                seed=1,
                settle_s=1,
                load=Load(rate=rate),
                clients=Clients(retries=0),
                profile=(ProfileRow(name="lookup"),),
                group=(Group(name="a"),),
            )
            outcome = load_only(day, ports)
            rows.append(
                {
                    "queries/s": rate,
                    "p99 lag ms": outcome["pace"]["p99_lag_us"] / 1000,
                    "most ms": outcome["pace"]["most_lag_us"] / 1000,
                    "honest": outcome["pace"]["honest"],
                    "in time": outcome["figures"]["in_time"],
                }
            )
    finally:
        for server in servers:
            server.kill()
            server.wait()
            server.stdout.close()
    show("One load process, three servers that answer at once, loopback", rows)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
