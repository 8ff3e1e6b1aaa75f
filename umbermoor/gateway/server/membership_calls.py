"""The operator API for the replica set: /Members and /Members.Change."""

from typing import NamedTuple

from umbermoor.gateway.api.http_api import (
    ApiRequest,
    ApiResponse,
    api_call,
    error_response,
    json_response,
)
from umbermoor.gateway.effects import Status
from umbermoor.gateway.server import events
from umbermoor.gateway.server.call_results import HTTP_STATUS, RETRY_LATER
from umbermoor.gateway.server.replica_host import ReplicaHost

CHANGE_TIMEOUT_S = 4.5
MAX_ADDRESS_LENGTH = 64  # characters


class ChangeRequest(NamedTuple):
    """A valid request body of /Members.Change."""

    add: str  # the member to add; "" for none
    remove: str  # the member to remove; "" for none
    dry_run: bool

    @classmethod
    def decode(cls, request: ApiRequest) -> "ChangeRequest | ApiResponse":
        """Return the decoded request, or an error response if its body is invalid."""
        try:
            body = request.json()
            add, remove = body.get("add", ""), body.get("remove", "")
            dry_run = body.get("dry", False)
        except (ValueError, RecursionError, AttributeError) as error:
            text = f"a change of the members is JSON with add, remove, dry: {error}"
            return error_response(400, text)
        is_valid = (
            isinstance(add, str)
            and isinstance(remove, str)
            and isinstance(dry_run, bool)
            and len(add) <= MAX_ADDRESS_LENGTH
            and len(remove) <= MAX_ADDRESS_LENGTH
            and (add or remove)
        )
        if not is_valid:
            text = "add, remove: IP addresses, one at least; dry: true or false"
            return error_response(400, text)
        return cls(add, remove, dry_run)


class MembershipCalls:
    """HTTP handlers for the replica set."""

    def __init__(self, host: ReplicaHost, tolerated_losses: int) -> None:
        self._host, self._tolerated_losses = host, tolerated_losses

    @api_call("GET", "/Members")
    async def read(self, request: ApiRequest) -> ApiResponse:
        """Return the members, the chain, and the learners that could become members."""
        replica, status = self._host.replica, self._host.replica.status()
        ready = replica.learners()
        return json_response(
            200,
            {
                "set": status.set_number,
                "members": list(status.members),
                "chain": list(status.chain),
                "learners": {name: name in ready for name in status.learners},
                "thin": status.degraded,
                "bear": self._tolerated_losses,
                "connected": replica.connected,
            },
        )

    @api_call("POST", "/Members.Change")
    async def change(self, request: ApiRequest) -> ApiResponse:
        """Add, remove or replace a member; a dry run only reports what the result would be."""
        change_request = ChangeRequest.decode(request)
        if isinstance(change_request, ApiResponse):
            return change_request
        result = await self._host.call(
            lambda now, number: self._host.replica.change(now, number, *change_request),
            CHANGE_TIMEOUT_S,
        )
        details = result.value or {}
        events.event(
            "replica_set_change_requested",
            add=change_request.add or "none",
            remove=change_request.remove or "none",
            dry_run=change_request.dry_run,
            status=result.status.value,
            number=details.get("number", ""),
            reason=details.get("why", ""),
        )
        if result.status is Status.UNAVAILABLE:
            return RETRY_LATER
        if details.get("why"):
            details = {**details, "error": details["why"]}
        return json_response(HTTP_STATUS[result.status], details)
