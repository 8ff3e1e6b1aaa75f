"""What goes on at a plot that stays up: a trickle of requests, and machines that come and go with
roll-outs."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable, Sequence

from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse
from umbermoor.gateway.local.machines import Machine
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Response
from umbermoor.http1.writer import write_request

EACH = 0.05  # s between two requests to a front
WAIT = 2.0  # s: a client's time for one
LOOK = 1.0  # s between two looks at the roll-out
REVERTED = 3.0  # s from a way back until the new machines drain


async def trickle(ip: str, port: int, host: str, path: str, counts: Counter[str]) -> None:
    """Requests to one front, one after another on one connection, until it is cancelled; counts
    what they end in."""
    buffers, line = Buffers(8 << 20), None
    while True:
        try:
            if line is None:
                line, reader = (
                    await asyncio.open_connection(ip, port),
                    Reader(buffers, responses=True),
                )
            headers = {
                "X-Attempt-Id": f"{random.getrandbits(64):016x}",
                "X-Time-Remaining": f"{WAIT * 1000:.0f}",
            }
            line[1].write(write_request("GET", path, host, headers))
            async with asyncio.timeout(WAIT + 1):
                found: list = []
                while not found:
                    data = await line[0].read(1 << 16)
                    if not data:
                        raise ConnectionError("closed")
                    found = reader.feed(data)
            answer = found[0]
            counts["garbled" if isinstance(answer, Fault) else str(answer.status)] += 1
            if not isinstance(answer, Response) or not answer.keep_alive:
                line = _close(line)
        except (OSError, TimeoutError) as error:
            counts[type(error).__name__] += 1
            line = _close(line)
        except asyncio.CancelledError:
            _close(line)
            raise
        await asyncio.sleep(EACH)


def _close(line: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None) -> None:
    if line is not None:
        line[1].close()


async def follow(
    service: str,
    controls: Sequence[str],
    old: list[Machine],
    begin: Callable[[str], Sequence[Machine]],
    say: Callable[[str], None],
) -> None:
    """Does what the platform does at a roll-out. `begin` makes machines of a version; `old` holds
    those that serve.

    Settled: the old ones end at once. Reverted: the new ones drain a few seconds later."""
    caller, new, ordered, seen = ControlClient(controls, LOOK), [], "", None
    ends: set[asyncio.Task[None]] = set()
    while True:
        await asyncio.sleep(LOOK)
        told = await asyncio.to_thread(caller.call, "GET", f"/Rollouts.Read/{service}")
        if not isinstance(told, ControlResponse) or not told.done:
            continue
        held = json.loads(told.body)
        state, target = held["state"], held["target"]
        if (state, target) == seen:
            continue
        seen = state, target
        say(f"roll-out of {service} to {target}: {state}")
        if state == "running" and target != ordered:
            ordered, new = target, list(begin(target))
            await asyncio.gather(*(machine.start() for machine in new))
            say(f"machines of {target}: {', '.join(machine.id for machine in new)}")
        elif state == "settled":
            for machine in old:
                machine.crash()
            old[:], new = new or old, []
        elif state == "reverted":
            ends.add(asyncio.create_task(_drain(new, say)))
            new, ordered = [], ""


async def _drain(machines: Sequence[Machine], say: Callable[[str], None]) -> None:
    await asyncio.sleep(REVERTED)
    await asyncio.gather(*(machine.drain() for machine in machines))
    say(f"{len(machines)} machines drained and left")
