"""Measures the failure detector on a simulated network: detection time, false positives and cost.

Groups of proxies go through starts, kills and a healed partition in virtual time.

Usage: python -m benchmarks.failure_detection [--proxies N] [--seeds N] [--loss PART] [--workers N]
                                              [--json FILE]
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat

from benchmarks.common import show, spread
from tests.gateway.datagram_network import SECOND, DatagramNetwork, no_partition

Figures = dict[str, float | None]
"""Figures of one run by name; None if the event did not happen in time."""


def option(arguments: list[str], name: str, default: float) -> float:
    """Return the number that follows the option's name, or the default."""
    return float(arguments[arguments.index(name) + 1]) if name in arguments else default


def known_addresses(addresses: list[str], of: str) -> tuple[str, ...]:
    """Return three of the first four addresses other than `of`, as seeds for a proxy."""
    return tuple(other for other in addresses[:4] if other != of)[:3]


def measure_calm(network: DatagramNetwork, seconds: float) -> Figures:
    """Measure traffic and false positives while no proxy starts or stops."""
    start = network.now
    before = [(node.sent, node.bytes_sent) for node in network.nodes.values()]
    network.run(seconds)
    passed = (network.now - start) / SECOND
    rates = [
        ((node.sent - sent) / passed, (node.bytes_sent - size) / passed)
        for node, (sent, size) in zip(network.nodes.values(), before)
    ]
    return {
        "datagrams a second": sum(rate for rate, _ in rates) / len(rates),
        "most datagrams a second": max(rate for rate, _ in rates),
        "bytes a second": sum(size for _, size in rates) / len(rates),
        "false suspicions": sum(one.incarnation.number for one in network.running()),
        "false removals": network.total("removed"),
    }


def measure_removal(network: DatagramNetwork, killed: str) -> Figures:
    """Kill a proxy; measure the time until one other and until all others have removed it."""
    others = len(network.nodes) - 1
    network.kill(killed)
    first = network.run_until(lambda: network.counting(killed) < others, 30)
    until_last = network.run_until(lambda: network.counting(killed) == 0, 30)
    last = None if first is None or until_last is None else first + until_last
    return {"one removed it": first, "all removed it": last}


def measure_restart(network: DatagramNetwork, restarted: str, addresses: list[str]) -> float | None:
    """Kill and restart a proxy; measure the time until all others know that it restarted."""
    others = len(network.nodes) - 1
    before = network.total("restarted")
    network.kill(restarted)
    network.run(0.2)
    network.start(restarted, known_addresses(addresses, restarted))
    return network.run_until(lambda: network.total("restarted") - before >= others, 30)


def measure_partition(network: DatagramNetwork, addresses: list[str]) -> float | None:
    """Partition the group into halves for 20 s; measure the time to converge afterwards."""
    half = set(addresses[::2])
    network.partitioned = lambda source, to: (source in half) != (to in half)
    network.run(20)
    network.partitioned = no_partition
    return network.run_until(network.converged, 60)


def one_run(seed: int, proxies: int, loss: float) -> Figures:
    """Run a cold start, a minute without changes, a kill, a join, a restart and a healed partition.

    Times are in seconds.
    """
    network = DatagramNetwork(seed, proxies, loss, duplication=loss / 2, lateness=loss / 2)
    addresses = list(network.nodes)
    network.start_all()
    figures: Figures = {"cold start": network.run_until(network.converged, 60)}
    figures |= measure_calm(network, 60)
    killed = addresses[seed % proxies]
    figures |= measure_removal(network, killed)
    network.run(5)
    network.start(killed, known_addresses(addresses, killed))
    others = proxies - 1
    figures["join known"] = network.run_until(lambda: network.believing_alive(killed) == others, 30)
    network.run(3)
    restarted = addresses[(seed + 1) % proxies]
    figures["restart known"] = measure_restart(network, restarted, addresses)
    network.run(3)
    figures["partition healed"] = measure_partition(network, addresses)
    figures["largest datagram"] = max(node.largest_datagram for node in network.nodes.values())
    return figures


def main(arguments: list[str]) -> int:
    """Run all seeds and print the figures."""
    proxies, seeds = int(option(arguments, "--proxies", 84)), int(option(arguments, "--seeds", 50))
    loss, started = option(arguments, "--loss", 0.05), time.perf_counter()
    with ProcessPoolExecutor(int(option(arguments, "--workers", 1))) as pool:
        runs = list(pool.map(one_run, range(seeds), repeat(proxies), repeat(loss)))
    rows = []
    for name in runs[0]:
        values = [value for run in runs if (value := run[name]) is not None]
        rows.append(
            {
                "what": name,
                "median [least, most]": spread(values) if values else "-",
                "sum": sum(values),
                "never": len(runs) - len(values),
            }
        )
    show(
        f"{proxies} proxies, {seeds} seeds, loss {loss:g}, {time.perf_counter() - started:.0f} s",
        rows,
        arguments[arguments.index("--json") + 1] if "--json" in arguments else None,
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
