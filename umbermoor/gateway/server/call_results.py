"""Maps results of the replica to HTTP responses and to fields of the log."""

from typing import Any

from umbermoor.gateway.api.http_api import ApiResponse, error_response
from umbermoor.gateway.effects import CallResult, Decision, Status

RETRY_LATER = ApiResponse(503, b"", ((b"retry-after", b"0.2"),))
HTTP_STATUS = {
    Status.OK: 200,
    Status.UNAVAILABLE: 503,
    Status.CONFLICT: 409,
    Status.INVALID: 422,
    Status.NOT_FOUND: 404,
}


def write_response(result: CallResult) -> ApiResponse:
    """Return the HTTP response to a write request."""
    if result.status is Status.OK:
        return ApiResponse(200)
    if result.status is Status.UNAVAILABLE:
        return RETRY_LATER
    reason = result.value.reason if isinstance(result.value, Decision) else result.status.value
    return error_response(HTTP_STATUS[result.status], reason)


def outcome_fields(result: CallResult) -> dict[str, Any]:
    """Return the log fields for the head's decision on a write; empty if there was no decision."""
    if isinstance(result.value, Decision):
        return {"outcome": result.value.outcome.value}
    return {}
