"""The operator API for the configuration: /Config.Replace and /Config.Read.

A large configuration is validated and hashed in steps, so that heartbeats are answered in between.
"""

import asyncio
from collections.abc import Generator
from typing import Any, TypeVar

from umbermoor.gateway.api.decisions import (
    CONFIG_KEY,
    configuration_digest_in_steps,
    configuration_record,
)
from umbermoor.gateway.api.http_api import ApiRequest, ApiResponse, api_call, error_response
from umbermoor.gateway.config.configuration import check_in_steps, decode
from umbermoor.gateway.config.errors import ValidationError
from umbermoor.gateway.effects import CallResult, Status
from umbermoor.gateway.server import events
from umbermoor.gateway.server.call_results import RETRY_LATER, outcome_fields, write_response
from umbermoor.gateway.server.invariants import Invariant, Invariants
from umbermoor.gateway.server.replica_host import ReplicaHost

DISK_FULL_BODY = (
    b'{"error": "the disk is full: what is held stays and is read; a smaller one may be taken"}'
)
JSON_HEADERS = ((b"content-type", b"application/json"),)

Result = TypeVar("Result")


async def run_in_steps(steps: Generator[None, None, Result]) -> Result:
    """Run a computation that yields between its steps, with other tasks running in between."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await asyncio.sleep(0)


class ConfigurationCalls:
    """HTTP handlers for the configuration."""

    def __init__(self, host: ReplicaHost, invariants: Invariants) -> None:
        self.host = host
        self._invariants = invariants
        self._newest_acknowledged = 0  # highest revision acknowledged by this process

    @api_call("POST", "/Config.Replace")
    async def replace(self, request: ApiRequest) -> ApiResponse:
        """Validate and write a configuration; respond once every member of the chain stores it."""
        body = decode(request.body)
        if isinstance(body, ValidationError):
            return error_response(400, str(body))
        error = await run_in_steps(check_in_steps(body))
        if error is not None:
            events.event("validation_failed", kind="configuration", reason=str(error))
            return error_response(400, str(error))
        digest = await run_in_steps(configuration_digest_in_steps(body))
        revision = int(body["revision"], 16)
        record = configuration_record(revision, request.body.decode(), digest)
        result = await self.host.call(
            lambda now, number: self.host.replica.put(now, number, CONFIG_KEY, record)
        )
        if result.status is Status.OK:
            self._newest_acknowledged = max(self._newest_acknowledged, revision)
        self._log(body["revision"], result)
        if result.status is Status.UNAVAILABLE and self.host.store.full:
            return ApiResponse(503, DISK_FULL_BODY, RETRY_LATER.headers)
        return write_response(result)

    @staticmethod
    def _log(revision: str, result: CallResult) -> None:
        events.event(
            "write_accepted" if result.status is Status.OK else "write_not_accepted",
            kind="configuration",
            revision=revision,
            status=result.status.value,
            **outcome_fields(result),
        )

    @api_call("GET", "/Config.Read")
    async def read(self, request: ApiRequest) -> ApiResponse:
        """Return the newest configuration, byte for byte as it was uploaded."""
        acknowledged_before = self._newest_acknowledged
        result = await self.host.call(self.host.replica.read)
        if result.status is not Status.OK:
            return RETRY_LATER
        record: dict[str, Any] | None = result.value.get(CONFIG_KEY)
        if acknowledged_before > (record["revision"] if record else 0):
            self._invariants.violated(Invariant.READ_NEVER_OLDER, acknowledged=acknowledged_before)
            return RETRY_LATER
        if record is None:
            return error_response(404, "no configuration yet")
        return ApiResponse(200, record["text"].encode(), JSON_HEADERS)
