"""The operator API for rollouts: /Rollouts.Begin and /Rollouts.Read."""

from typing import NamedTuple

from umbermoor.gateway.api.http_api import (
    ApiRequest,
    ApiResponse,
    api_call,
    error_response,
    json_response,
)
from umbermoor.gateway.discovery.registry import READY, SILENT, InstanceRegistry
from umbermoor.gateway.effects import CallResult, Outcome, Status
from umbermoor.gateway.rollout.admission import decide_begin, order_request
from umbermoor.gateway.rollout.records import MAX_SECONDS, ROLLOUT_KEY_PREFIX, is_valid_ramp
from umbermoor.gateway.server import events
from umbermoor.gateway.server.call_results import (
    HTTP_STATUS,
    RETRY_LATER,
    outcome_fields,
    write_response,
)
from umbermoor.gateway.server.replica_host import ReplicaHost

MAX_SERVICE_LENGTH = 200  # characters
MAX_KEY_LENGTH = 64  # characters


class BeginRequest(NamedTuple):
    """A valid request body of /Rollouts.Begin."""

    service: str
    target: str  # the version to roll out
    ramp_s: float
    key: str  # distinguishes this order from an earlier one with the same target

    @classmethod
    def decode(cls, request: ApiRequest) -> "BeginRequest | ApiResponse":
        """Return the decoded request, or an error response if its body is invalid."""
        try:
            body = request.json()
            service, target, ramp_s = body["service"], body["target"], body["rampS"]
            key = body.get("key", "")
        except (ValueError, RecursionError, TypeError, KeyError, AttributeError) as error:
            text = f"a roll-out names service, target and rampS: {error}"
            return error_response(400, text)
        is_service = isinstance(service, str) and 0 < len(service) <= MAX_SERVICE_LENGTH
        if not is_service or not isinstance(target, str):
            return error_response(400, "service, target: not texts")
        if not isinstance(key, str) or len(key) > MAX_KEY_LENGTH:
            return error_response(400, f"key: not a text of {MAX_KEY_LENGTH} characters at most")
        if not target:
            return error_response(422, "target: empty")
        if not is_valid_ramp(ramp_s):
            return error_response(422, f"rampS: not a number above 0, {MAX_SECONDS:.0f} at most")
        return cls(service, target, ramp_s, key)


class RolloutCalls:
    """HTTP handlers for rollouts."""

    def __init__(self, registry: InstanceRegistry, host: ReplicaHost) -> None:
        self._registry, self._host = registry, host

    @api_call("POST", "/Rollouts.Begin")
    async def begin(self, request: ApiRequest) -> ApiResponse:
        """Start the rollout of another version of a service."""
        begin_request = BeginRequest.decode(request)
        if isinstance(begin_request, ApiResponse):
            return begin_request
        replica, key = self._host.replica, ROLLOUT_KEY_PREFIX + begin_request.service
        order = order_request(
            begin_request.target,
            begin_request.ramp_s,
            self._present_versions(begin_request.service),
            begin_request.key,
        )
        # A head that runs an earlier release does not evaluate `begin`: it accepts the record sent
        # with it if that is newer than its own. Therefore the record sent is the result of applying
        # the order to this member's copy, or the copy itself if the order changes nothing.
        current = replica.committed.get(key)
        decision = decide_begin(current, order, lambda: True)
        if decision.outcome is Outcome.CONFLICT and not replica.head_decides:
            if not self._host.is_connected():
                return RETRY_LATER
            return error_response(HTTP_STATUS[Status.CONFLICT], decision.reason)
        value = (decision.value or current) | {"begin": order}
        result = await self._host.call(lambda now, number: replica.put(now, number, key, value))
        self._log(begin_request, result)
        return write_response(result)

    def _present_versions(self, service: str) -> list[str]:
        versions = {
            record.revision
            for record in self._registry.records.values()
            if record.service == service and record.state in (READY, SILENT)
        }
        return sorted(versions)

    @staticmethod
    def _log(begin_request: BeginRequest, result: CallResult) -> None:
        events.event(
            "rollout_requested",
            service=begin_request.service,
            target=begin_request.target,
            ramp_s=begin_request.ramp_s,
            status=result.status.value,
            **outcome_fields(result),
        )

    @api_call("GET", "/Rollouts.Read/")
    async def read(self, request: ApiRequest) -> ApiResponse:
        """Return the state and target of the rollout of a service."""
        result = await self._host.call(self._host.replica.read)
        if result.status is not Status.OK:
            return RETRY_LATER
        record = result.value.get(ROLLOUT_KEY_PREFIX + request.name)
        if record is None:
            return error_response(404, f"no roll-out of {request.name}")
        return json_response(200, {"state": record["state"], "target": record["target"]})
