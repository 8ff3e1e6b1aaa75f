"""The API for instances: /Plants.Heartbeat and /Plants.Leave."""

from collections.abc import Awaitable, Callable

from umbermoor.gateway.api.http_api import ApiRequest, ApiResponse, api_call, error_response
from umbermoor.gateway.discovery.registry import (
    DRAINING,
    InstanceRecord,
    InstanceRegistry,
    record_from_heartbeat,
)
from umbermoor.gateway.server.call_results import RETRY_LATER
from umbermoor.gateway.server.clocks import Clock


class HeartbeatCalls:
    """HTTP handlers for heartbeats and departures of instances.

    The first heartbeat of an instance, a heartbeat that reports draining and a leave are answered
    once a majority of the controllers holds them, the last two on disk. Other heartbeats are
    answered at once, since the next one repeats them.
    """

    def __init__(
        self,
        registry: InstanceRegistry,
        clock: Clock,
        is_connected: Callable[[], bool],
        replicate: Callable[[InstanceRecord], Awaitable[bool]],
        publish_soon: Callable[[], None],
    ) -> None:
        """Create the handlers.

        Args:
            registry: The registry of instances.
            clock: Returns microseconds.
            is_connected: Whether this controller is in contact with a majority.
            replicate: Stores a record at a majority of the controllers.
            publish_soon: Schedules an update to the proxies.
        """
        self._registry, self._clock = registry, clock
        self._is_connected, self._replicate = is_connected, replicate
        self._publish_soon = publish_soon

    @api_call("POST", "/Plants.Heartbeat/")
    async def heartbeat(self, request: ApiRequest) -> ApiResponse:
        """Record the heartbeat of an instance."""
        try:
            body = request.json()
        except (ValueError, RecursionError):
            return error_response(400, "a beat is JSON")
        record = record_from_heartbeat(request.name, body)
        if isinstance(record, str):
            return error_response(400, record)
        if not self._is_connected():
            return RETRY_LATER
        is_new = record.id not in self._registry.records
        if self._registry.observe(self._clock(), record):
            self._publish_soon()
        if is_new or record.state == DRAINING:
            merged = self._registry.records.get(record.id, record)
            if not await self._replicate(merged):
                return RETRY_LATER
        return ApiResponse(200)

    @api_call("POST", "/Plants.Leave/")
    async def leave(self, request: ApiRequest) -> ApiResponse:
        """Record that this incarnation of an instance has left for good."""
        record = self._registry.mark_gone(self._clock(), request.name)
        self._publish_soon()
        if self._is_connected() and await self._replicate(record):
            return ApiResponse(200)
        return RETRY_LATER
