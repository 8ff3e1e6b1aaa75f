"""Activity at a local gateway that is kept running: requests, and instances of rollouts."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse
from umbermoor.gateway.local.instance import LocalInstance
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Fault, Reader, Response
from umbermoor.http1.writer import write_request

REQUEST_INTERVAL_S = 0.05  # between two requests to a proxy
REQUEST_TIMEOUT_S = 2.0  # time that a client allows for a request
POLL_INTERVAL_S = 1.0  # between reads of the rollout
DRAIN_AFTER_S = 3.0  # from a revert until the new instances drain
BUFFER_BYTES = 8 << 20
READ_BYTES = 1 << 16


class _Client:
    """A client's connection to a proxy; reconnects after a failure."""

    def __init__(self, ip: str, port: int, host: str, path: str) -> None:
        self._ip, self._port, self._host, self._path = ip, port, host, path
        self._buffers = Buffers(BUFFER_BYTES)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._reader: Any = None

    async def request(self) -> str:
        """Send one request; return the status, `garbled` or the type of the error."""
        try:
            response = await self._response()
        except (OSError, TimeoutError) as error:
            self.close()
            return type(error).__name__
        except asyncio.CancelledError:
            self.close()
            raise
        if not isinstance(response, Response) or not response.keep_alive:
            self.close()
        return "garbled" if isinstance(response, Fault) else str(response.status)

    async def _response(self) -> Any:
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._ip, self._port)
            self._reader = Reader(self._buffers, responses=True)
        incoming, outgoing = self._streams
        headers = {
            "X-Attempt-Id": f"{random.getrandbits(64):016x}",
            "X-Time-Remaining": f"{REQUEST_TIMEOUT_S * 1000:.0f}",
        }
        outgoing.write(write_request("GET", self._path, self._host, headers))
        async with asyncio.timeout(REQUEST_TIMEOUT_S + 1):
            messages: list[Any] = []
            while not messages:
                data = await incoming.read(READ_BYTES)
                if not data:
                    raise ConnectionError("closed")
                messages = self._reader.feed(data)
        return messages[0]

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def send_requests(ip: str, port: int, host: str, path: str, counts: Counter[str]) -> None:
    """Send requests to a proxy one after another until cancelled, and count their outcomes."""
    client = _Client(ip, port, host, path)
    while True:
        counts[await client.request()] += 1
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def follow_rollouts(
    service: str,
    control_addresses: Sequence[str],
    old: list[LocalInstance],
    add_instances: Callable[[str], Sequence[LocalInstance]],
    report: Callable[[str], None],
) -> None:
    """Act as the platform in rollouts of a service, until cancelled.

    When a rollout begins, instances of its version are started. When it settles, the old instances
    are stopped at once. When it is reverted, the new ones drain a few seconds later.

    Args:
        service: the service.
        control_addresses: the controllers, as ip:port.
        old: the instances currently in service.
        add_instances: creates the instances of a version.
        report: receives a line for each event.
    """
    client = ControlClient(control_addresses, POLL_INTERVAL_S)
    new: list[LocalInstance] = []
    started, seen = "", ("", "")  # last version started; last state and target seen
    drains: set[asyncio.Task[None]] = set()
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        response = await asyncio.to_thread(client.call, "GET", f"/Rollouts.Read/{service}")
        if not isinstance(response, ControlResponse) or not response.succeeded:
            continue
        record = json.loads(response.body)
        state, target = record["state"], record["target"]
        if (state, target) == seen:
            continue
        seen = state, target
        report(f"rollout of {service} to {target}: {state}")
        if state == "running" and target != started:
            started, new = target, list(add_instances(target))
            await asyncio.gather(*(instance.start() for instance in new))
            report(f"instances of {target}: {', '.join(instance.id for instance in new)}")
        elif state == "settled":
            for instance in old:
                instance.crash()
            old[:], new = new or old, []
        elif state == "reverted":
            drains.add(asyncio.create_task(_drain(new, report)))
            new, started = [], ""


async def _drain(instances: Sequence[LocalInstance], report: Callable[[str], None]) -> None:
    await asyncio.sleep(DRAIN_AFTER_S)
    await asyncio.gather(*(instance.drain() for instance in instances))
    report(f"{len(instances)} instances drained and left")
