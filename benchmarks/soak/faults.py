"""Faults of a day, drawn from its seed so that two or three overlap at any time."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from benchmarks.soak.instances import Departure
from benchmarks.soak.records import Span
from benchmarks.soak.relays import Mode, Relay
from benchmarks.soak.replacements import replace_controllers
from umbermoor.gateway.local.node import Node

if TYPE_CHECKING:
    from benchmarks.soak.world import Day

TRACKS = 3  # concurrent sequences of faults
LONGEST_PAUSE_S = 2.5
LONGEST_CUT_S = 2.5
KILL_AFTER_LEAVE_S = 0.0, 0.05, 0.3, 1.8


@dataclass(frozen=True)
class Fault:
    """Named fault and the function that injects it and waits until it is over."""

    name: str
    inject: Callable[["Day", random.Random], Awaitable[None]]


def _pick_running(nodes: list[Node], rng: random.Random) -> Node | None:
    running = [node for node in nodes if node.process and node.process.returncode is None]
    return rng.choice(running) if running else None


async def _terminate_proxy(day: "Day", rng: random.Random) -> None:
    if node := _pick_running(day.gateway.proxies, rng):
        await day.gateway.terminate(node)


async def _terminate_proxies_in_turn(day: "Day", rng: random.Random) -> None:
    for node in rng.sample(day.gateway.proxies, 2):
        if node.running_process.returncode is None:
            await day.gateway.terminate(node)


async def _restart_all_proxies(day: "Day", rng: random.Random) -> None:
    """Terminate all proxies in series, each before the previous one is back."""
    for node in rng.sample(day.gateway.proxies, len(day.gateway.proxies)):
        if node.running_process.returncode is None:
            day.start_in_background(day.gateway.terminate(node))
        await asyncio.sleep(rng.uniform(0.1, 1.0))


async def _hang_up(day: "Day", rng: random.Random) -> None:
    """Send SIGHUP to a proxy several times in a row."""
    if node := _pick_running(day.gateway.proxies, rng):
        for _ in range(rng.randint(1, 4)):
            day.gateway.hang_up(node)
            await asyncio.sleep(rng.uniform(0.0, 0.2))


async def _terminate_controller(day: "Day", rng: random.Random) -> None:
    if node := _pick_running(day.gateway.controllers, rng):
        await day.gateway.terminate(node)


async def _kill_proxy(day: "Day", rng: random.Random) -> None:
    if node := _pick_running(day.gateway.proxies, rng):
        await day.gateway.kill([node])


async def _kill_controller(day: "Day", rng: random.Random) -> None:
    if node := _pick_running(day.gateway.controllers, rng):
        await day.gateway.kill([node])


async def _kill_all_controllers(day: "Day", rng: random.Random) -> None:
    await day.gateway.kill(day.gateway.controllers)


async def _pause_proxy(day: "Day", rng: random.Random) -> None:
    if node := _pick_running(day.gateway.proxies, rng):
        await day.gateway.pause(node, rng.uniform(0.2, LONGEST_PAUSE_S))


async def _pause_controller(day: "Day", rng: random.Random) -> None:
    if node := _pick_running(day.gateway.controllers, rng):
        await day.gateway.pause(node, rng.uniform(0.2, LONGEST_PAUSE_S))


async def _disturb_relays(day: "Day", relays: list[Relay], mode: Mode, rng: random.Random) -> None:
    chosen = rng.sample(relays, max(1, len(relays) // 3))
    day.gateway.report(f"{mode.value} {' '.join(relay.address for relay in chosen)}")
    seconds = rng.uniform(0.3, LONGEST_CUT_S)
    now = time.monotonic()
    day.records.cut += [Span(relay.address, mode.value, now, now + seconds) for relay in chosen]
    for relay in chosen:
        relay.set_mode(mode)
    await asyncio.sleep(seconds)
    for relay in chosen:
        relay.set_mode(Mode.PASS)


async def _cut_instances(day: "Day", rng: random.Random) -> None:
    await _disturb_relays(day, day.instance_relays, Mode.SILENT, rng)


async def _lose_instance_responses(day: "Day", rng: random.Random) -> None:
    await _disturb_relays(day, day.instance_relays, Mode.LOSE_RESPONSES, rng)


async def _cut_operator(day: "Day", rng: random.Random) -> None:
    await _disturb_relays(day, list(day.operator_relays.values()), Mode.SILENT, rng)


async def _lose_operator_responses(day: "Day", rng: random.Random) -> None:
    await _disturb_relays(day, list(day.operator_relays.values()), Mode.LOSE_RESPONSES, rng)


async def _replace_instance(day: "Day", rng: random.Random) -> None:
    instance, departure = rng.choice(day.instances), rng.choice(list(Departure))
    day.start_in_background(day.replace_instance(instance, departure))
    await asyncio.sleep(rng.uniform(0.0, 2.0))


async def _leave_before_all_end(day: "Day", rng: random.Random) -> None:
    """Have instances leave, then kill all controllers and a proxy, or pause the proxy."""
    for instance in rng.sample(day.instances, 2):
        day.start_in_background(day.replace_instance(instance, Departure.LEAVE_FIRST))
        await asyncio.sleep(rng.uniform(0.0, 0.6))
    proxy = _pick_running(day.gateway.proxies, rng)
    if proxy and rng.random() < 0.5:
        day.start_in_background(day.gateway.pause(proxy, rng.uniform(1.0, LONGEST_PAUSE_S)))
        proxy = None
    await asyncio.sleep(rng.choice(KILL_AFTER_LEAVE_S))
    await day.gateway.kill([*day.gateway.controllers, *([proxy] if proxy else [])])


PROXY_FAULTS = (
    Fault("terminate a proxy", _terminate_proxy),
    Fault("terminate proxies in turn", _terminate_proxies_in_turn),
    Fault("restart all proxies", _restart_all_proxies),
    Fault("kill a proxy", _kill_proxy),
    Fault("pause a proxy", _pause_proxy),
    Fault("hang up", _hang_up),
    Fault("cut instances off", _cut_instances),
    Fault("lose answers of instances", _lose_instance_responses),
    Fault("cut an operator off", _cut_operator),
    Fault("lose answers to an operator", _lose_operator_responses),
    Fault("replace an instance", _replace_instance),
)
CONTROLLER_FAULTS = (
    Fault("terminate a controller", _terminate_controller),
    Fault("kill a controller", _kill_controller),
    Fault("kill all controllers", _kill_all_controllers),
    Fault("pause a controller", _pause_controller),
    Fault("leave before all controllers end", _leave_before_all_end),
)
# On every third day the controllers have no faults, so that configuration changes must be in force
# within a short time.
CALM_CONTROLLERS_EVERY = 3


def has_calm_controllers(seed: int) -> bool:
    """Whether no fault hits the controllers on the day with this seed."""
    return seed % CALM_CONTROLLERS_EVERY == 0


def faults_of(seed: int) -> tuple[Fault, ...]:
    """Return the faults that a day with this seed draws from."""
    return PROXY_FAULTS + (() if has_calm_controllers(seed) else CONTROLLER_FAULTS)


async def play(day: "Day", seed: int, seconds: float) -> None:
    """Inject the faults of a seed on concurrent tracks; let running faults finish."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds

    async def play_track(number: int) -> None:
        rng = random.Random(f"{seed} {number}")
        await asyncio.sleep(rng.uniform(0, 1))
        while loop.time() < until:
            fault = rng.choice(faults_of(seed))
            day.gateway.report(f"track {number}: {fault.name}")
            await fault.inject(day, rng)
            await asyncio.sleep(rng.uniform(0.1, 1.2))

    tracks = [play_track(number) for number in range(TRACKS)]
    if not has_calm_controllers(seed):
        rng = random.Random(f"{seed} replacements")
        tracks.append(replace_controllers(day, rng, until))
    await asyncio.gather(*tracks)
