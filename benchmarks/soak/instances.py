"""Stand-in instances that record the requests they execute, each behind a relay."""

import asyncio
import time
from enum import Enum

from benchmarks.soak.records import Execution, Records
from benchmarks.soak.relays import Relay
from umbermoor.gateway.local.instance import InstanceResponse, InstanceSettings, LocalInstance
from umbermoor.http1.reader import Request


class Departure(Enum):
    """How an instance departs."""

    CRASH = "crash"
    DRAIN = "drain"
    LEAVE_FIRST = "leave first"


class RecordedInstance(LocalInstance):
    """Local instance that registers the address of its relay instead of its own."""

    def __init__(
        self,
        id: str,
        settings: InstanceSettings,
        host: str,
        control_addresses: list[str],
        records: Records,
    ) -> None:
        super().__init__(id, settings, host, control_addresses)
        self.relay: Relay | None = None
        self._records = records

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat; start the relay before the first one.

        The relay starts first so that no proxy learns the address behind it.
        """
        if self.relay is None:
            self.relay = Relay(self._host, self.address)
            await self.relay.start()
            self.address = self.relay.address
        return await super().send_heartbeat()

    async def _work(self, request: Request, until: float) -> InstanceResponse:
        execution = Execution(time.monotonic(), self.id)
        self._records.executions[request.headers["x-attempt-id"]].append(execution)
        try:
            response = await super()._work(request, until)
            execution.ended_at = time.monotonic()
            return response
        finally:
            execution.over_at = time.monotonic()

    async def leave_and_serve(self, serve_s: float) -> None:
        """Leave without draining before, serve on for `serve_s`, and stop."""
        if await self.leave():
            self._records.left[self.id] = time.monotonic()
        await asyncio.sleep(serve_s)
        self.crash()

    def crash(self) -> None:
        """Stop the instance and its relay without deregistering."""
        super().crash()
        if self.relay is not None:
            self.relay.stop()
