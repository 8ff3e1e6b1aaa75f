"""Classifies the events on a connection to an instance by what they prove about the request.

All decisions about responses are in one table: `TABLE` is the table of docs/attempt-outcomes.md,
which gives the reasons, and a test compares the two. No I/O.
"""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

# Statuses that guarantee to a client that its request was not executed and never will be.
REJECTION_STATUSES = frozenset((408, 421, 429, 503))
# Headers that may occur only once; the HTTP reader rejects a message that repeats one.
SINGLE_VALUE_HEADERS = frozenset(
    (
        "host",
        "x-attempt-id",
        "x-server-seal",
        "x-not-executed",
        "x-time-remaining",
        "x-target-instance",
    )
)


class IdentityEnum(Enum):
    """An enum whose members hash by identity, which is cheaper per request than hashing names."""

    __hash__ = object.__hash__


class AttemptOutcome(IdentityEnum):
    """The outcome of an attempt to send a request to an instance."""

    COMPLETE = "complete"  # a complete response that belongs to the attempt
    REJECTED = "rejected"  # the overloaded instance states that it did not execute the request
    MISDIRECTED = "misdirected"  # the address now belongs to another instance: not executed
    CONNECT_FAILED = "connect_failed"  # no connection, so the request was never sent
    CANCELLED = "cancelled"  # cancelled by this proxy before a byte was sent
    ABANDONED = "abandoned"  # aborted because the client left: may have been executed
    TRUNCATED = "truncated"  # no complete response: may have been executed
    PROTOCOL_ERROR = (
        "protocol_error"  # not a valid response of that instance: may have been executed
    )


# Outcomes that prove that the request was not executed and never will be.
NOT_EXECUTED = frozenset(
    (
        AttemptOutcome.REJECTED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.CANCELLED,
    )
)


class AttemptStage(IdentityEnum):
    """The progress of an attempt and its connection, as this process sees it.

    Bytes that the kernel accepted may or may not have reached the instance.
    """

    CONNECTING = "connecting"  # nothing was written
    WRITING = "writing"  # head or body partly written: the rest is buffered in this process
    WRITTEN = "written"  # the kernel accepted the whole request
    READING = "reading"  # at least the first byte of a response has arrived
    IDLE = "idle"  # no attempt is on the connection


class ConnectionEvent(IdentityEnum):
    """An event on an attempt or on a connection."""

    CONNECT_FAILED = "connect_failed"  # refused, reset or timed out before anything was written
    # Connected, but the instance may not be sent requests any more: it is draining or gone, or its
    # version is not allowed.
    NOT_ALLOWED = "not_allowed"
    # The client left, another attempt was answered, or the client must be answered now.
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"  # the client left, and the request is idempotent
    DEADLINE_EXCEEDED = "deadline_exceeded"  # the deadline of the request has passed
    RESPONSE = "response"  # complete, with the attempt's id
    REJECTION = "rejection"  # complete, belongs to the attempt, has X-Not-Executed
    MISDIRECTED = "misdirected"  # complete, belongs to the attempt, status 421
    # Complete, but without the required proof of its origin or of its completeness.
    UNPROVEN_RESPONSE = "unproven_response"
    FOREIGN_RESPONSE = "foreign_response"  # complete, with the id of an earlier request
    MALFORMED = "malformed"  # bytes that are not a valid response
    CLOSED = "closed"  # close, half close or reset before a complete response
    UNEXPECTED_DATA = "unexpected_data"  # a byte that no attempt is waiting for


class ConnectionAction(IdentityEnum):
    """What the proxy does with the connection."""

    KEEP = "keep"  # keep for another request if `is_reusable` allows it
    CLOSE = "close"
    ABORT = "abort"  # discard what has not been written yet
    CONTINUE = "continue"


class Verdict(NamedTuple):
    """What an event proves about the attempt, and what to do with the connection.

    Attributes:
        outcome: The outcome of the attempt; None if it continues or if there is no attempt.
        action: What to do with the connection.
    """

    outcome: AttemptOutcome | None
    action: ConnectionAction


_VERDICTS_WRITTEN = {
    ConnectionEvent.CANCELLED: Verdict(None, ConnectionAction.CONTINUE),
    ConnectionEvent.ABANDONED: Verdict(AttemptOutcome.ABANDONED, ConnectionAction.ABORT),
    ConnectionEvent.DEADLINE_EXCEEDED: Verdict(AttemptOutcome.TRUNCATED, ConnectionAction.ABORT),
    ConnectionEvent.RESPONSE: Verdict(AttemptOutcome.COMPLETE, ConnectionAction.KEEP),
    ConnectionEvent.REJECTION: Verdict(AttemptOutcome.REJECTED, ConnectionAction.KEEP),
    ConnectionEvent.MISDIRECTED: Verdict(AttemptOutcome.MISDIRECTED, ConnectionAction.CLOSE),
    ConnectionEvent.UNPROVEN_RESPONSE: Verdict(
        AttemptOutcome.PROTOCOL_ERROR, ConnectionAction.CLOSE
    ),
    ConnectionEvent.FOREIGN_RESPONSE: Verdict(None, ConnectionAction.CONTINUE),
    ConnectionEvent.MALFORMED: Verdict(AttemptOutcome.PROTOCOL_ERROR, ConnectionAction.ABORT),
    ConnectionEvent.CLOSED: Verdict(AttemptOutcome.TRUNCATED, ConnectionAction.ABORT),
}
_VERDICTS_PARTLY_WRITTEN = {
    event: (
        verdict
        if verdict.action is ConnectionAction.CONTINUE
        else Verdict(verdict.outcome, ConnectionAction.ABORT)
    )
    for event, verdict in _VERDICTS_WRITTEN.items()
}
TABLE: dict[AttemptStage, dict[ConnectionEvent, Verdict]] = {
    AttemptStage.CONNECTING: {
        ConnectionEvent.CONNECT_FAILED: Verdict(
            AttemptOutcome.CONNECT_FAILED, ConnectionAction.ABORT
        ),
        ConnectionEvent.NOT_ALLOWED: Verdict(AttemptOutcome.CANCELLED, ConnectionAction.CLOSE),
        ConnectionEvent.CANCELLED: Verdict(AttemptOutcome.CANCELLED, ConnectionAction.CLOSE),
        ConnectionEvent.ABANDONED: Verdict(AttemptOutcome.CANCELLED, ConnectionAction.CLOSE),
        ConnectionEvent.DEADLINE_EXCEEDED: Verdict(
            AttemptOutcome.CANCELLED, ConnectionAction.CLOSE
        ),
        ConnectionEvent.UNEXPECTED_DATA: Verdict(
            AttemptOutcome.CONNECT_FAILED, ConnectionAction.ABORT
        ),
        ConnectionEvent.CLOSED: Verdict(AttemptOutcome.CONNECT_FAILED, ConnectionAction.ABORT),
    },
    AttemptStage.WRITING: _VERDICTS_PARTLY_WRITTEN,
    AttemptStage.WRITTEN: _VERDICTS_WRITTEN,
    AttemptStage.READING: _VERDICTS_WRITTEN,
    AttemptStage.IDLE: {
        ConnectionEvent.UNEXPECTED_DATA: Verdict(None, ConnectionAction.ABORT),
        ConnectionEvent.CLOSED: Verdict(None, ConnectionAction.CLOSE),
    },
}


def decide(stage: AttemptStage, event: ConnectionEvent) -> Verdict:
    """Return what an event proves at a stage.

    Raises:
        KeyError: The event cannot occur at that stage, so an invariant is violated.
    """
    return TABLE[stage][event]


def classify(
    status: int,
    headers: Mapping[str, str],
    attempt_id: str,
    only_request: bool,
    framed: bool = True,
) -> ConnectionEvent:
    """Classify a complete response to the request with `attempt_id` on its connection.

    Args:
        status: Status of the response.
        headers: Headers of the response, with names in lower case.
        attempt_id: The X-Attempt-Id of the request on the connection.
        only_request: Whether the connection has carried no other request.
        framed: Whether the response is delimited by a length or by chunked encoding, not only by
            the end of the connection.
    """
    response_id = headers.get("x-attempt-id")
    if response_id != attempt_id and (response_id is not None or not only_request):
        if response_id is None:
            return ConnectionEvent.UNPROVEN_RESPONSE
        return ConnectionEvent.FOREIGN_RESPONSE
    if status == 421:
        return ConnectionEvent.MISDIRECTED
    if "x-not-executed" in headers:
        return ConnectionEvent.REJECTION if status >= 400 else ConnectionEvent.UNPROVEN_RESPONSE
    if (
        response_id is None
        or not framed
        or status in REJECTION_STATUSES
        or "content-encoding" in headers
        or (200 <= status < 300 and "x-server-seal" not in headers)
    ):
        return ConnectionEvent.UNPROVEN_RESPONSE
    return ConnectionEvent.RESPONSE


def is_reusable(keep_alive: bool, tainted: bool, surplus: bool, bodiless: bool) -> bool:
    """Whether a connection may carry another request after a complete response.

    Args:
        keep_alive: Whether the instance keeps the connection open.
        tainted: Whether a response to another request arrived on it.
        surplus: Whether bytes follow the response.
        bodiless: Whether the request was a HEAD request: a late second response to it would be
            parsed as a response with a body.
    """
    return keep_alive and not (tainted or surplus or bodiless)


def may_reject(may_have_executed: bool) -> bool:
    """Whether a client may receive one of REJECTION_STATUSES once all attempts have ended.

    It may only if every attempt is proved not to have been executed.

    Args:
        may_have_executed: Whether that proof is missing for any attempt.
    """
    return not may_have_executed


def may_retry(idempotent: bool, may_have_executed: bool) -> bool:
    """Whether a request with no attempt in flight may be sent to an instance again."""
    return idempotent or not may_have_executed
