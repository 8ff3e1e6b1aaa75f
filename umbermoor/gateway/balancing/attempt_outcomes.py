"""What an event on a connection to an instance proves of the request on it.

All that is decided of a response is decided here, in one table: `TABLE` is the table of
docs/attempt-outcomes.md, where the reasons stand, and a test compares the two. No I/O.
"""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

# Statuses that promise a client that its request has not been executed and never will be.
REJECTION_STATUSES = frozenset((408, 421, 429, 503))
# Headers that mean nothing where they are there twice.
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
    """An enum whose members hash by identity, which costs a request less than by name."""

    __hash__ = object.__hash__


class AttemptOutcome(IdentityEnum):
    """How an attempt at an instance ended."""

    COMPLETE = "complete"  # a complete response that belongs to it
    REJECTED = "rejected"  # the instance says that it did not execute it: overloaded
    MISDIRECTED = "misdirected"  # another instance has the address: not executed
    CONNECT_FAILED = "connect_failed"  # no connection: never sent
    CANCELLED = "cancelled"  # taken back by this proxy before a byte was sent
    ABANDONED = "abandoned"  # broken off, as its client has left: may have executed
    TRUNCATED = "truncated"  # no complete response: may have executed
    PROTOCOL_ERROR = "protocol_error"  # no response of that instance: may have executed


# Proved not to have been executed, and never to be.
NOT_EXECUTED = frozenset(
    (
        AttemptOutcome.REJECTED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.CANCELLED,
    )
)


class AttemptStage(IdentityEnum):
    """How far an attempt and its connection are.

    This process alone tells: what its kernel took may be anywhere.
    """

    CONNECTING = "connecting"  # nothing was written
    WRITING = "writing"  # head or body half written: a part waits in this process
    WRITTEN = "written"  # the kernel took all of it
    READING = "reading"  # the first byte of a response, its head, or a part of its body
    IDLE = "idle"  # no attempt is on the connection


class ConnectionEvent(IdentityEnum):
    """What happens to an attempt or to a connection."""

    CONNECT_FAILED = "connect_failed"  # refused, reset or timed out before anything was written
    # Connected, and by now the instance may get nothing: draining, gone, its version not allowed.
    NOT_ALLOWED = "not_allowed"
    # The client left, another attempt was answered, or the client must be answered now.
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"  # the client left, and the request may be executed more than once
    DEADLINE_EXCEEDED = "deadline_exceeded"  # the time of its request is over
    RESPONSE = "response"  # complete, with the attempt's id
    REJECTION = "rejection"  # complete, its own, with X-Not-Executed
    MISDIRECTED = "misdirected"  # complete, its own, 421
    UNPROVEN_RESPONSE = "unproven_response"  # complete, and what it says is not proved
    FOREIGN_RESPONSE = "foreign_response"  # complete, with the id of an earlier request
    MALFORMED = "malformed"  # bytes that are no response
    CLOSED = "closed"  # close, half close or reset before a complete response
    UNEXPECTED_DATA = "unexpected_data"  # any byte that nobody waits for


class ConnectionAction(IdentityEnum):
    """What becomes of the connection."""

    KEEP = "keep"  # for another request, where `is_reusable`
    CLOSE = "close"
    ABORT = "abort"  # what waits to be written is not written
    CONTINUE = "continue"


class Verdict(NamedTuple):
    """What an event proves, and what becomes of the connection.

    Attributes:
        outcome: How the attempt ended; None where it goes on, or where there is none.
        action: What becomes of the connection.
    """

    outcome: AttemptOutcome | None
    action: ConnectionAction


_SENT = {
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
_HALF_SENT = {
    event: (
        verdict
        if verdict.action is ConnectionAction.CONTINUE
        else Verdict(verdict.outcome, ConnectionAction.ABORT)
    )
    for event, verdict in _SENT.items()
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
    AttemptStage.WRITING: _HALF_SENT,
    AttemptStage.WRITTEN: _SENT,
    AttemptStage.READING: _SENT,
    AttemptStage.IDLE: {
        ConnectionEvent.UNEXPECTED_DATA: Verdict(None, ConnectionAction.ABORT),
        ConnectionEvent.CLOSED: Verdict(None, ConnectionAction.CLOSE),
    },
}


def decide(stage: AttemptStage, event: ConnectionEvent) -> Verdict:
    """What an event proves at a stage.

    Raises KeyError where the event cannot come at that stage: an invariant is broken.
    """
    return TABLE[stage][event]


def classify(
    status: int,
    headers: Mapping[str, str],
    attempt_id: str,
    only_request: bool,
    framed: bool = True,
) -> ConnectionEvent:
    """What a complete response is to the request with `attempt_id` on its connection.

    Args:
        status: Status of the response.
        headers: Headers of the response, names in lower case.
        attempt_id: The X-Attempt-Id of the request on the connection.
        only_request: Whether the connection has carried no other request.
        framed: Whether a length or chunks say where the response ends, and not the end of the
            connection alone.
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
    """Whether a connection may carry another request behind a complete response.

    Args:
        keep_alive: Whether the instance keeps it open.
        tainted: Whether a response to another request came on it.
        surplus: Whether a byte lies behind the response.
        bodiless: Whether the request was a HEAD: a second response to it that comes late would
            be read as one with a body.
    """
    return keep_alive and not (tainted or surplus or bodiless)


def may_reject(may_have_executed: bool) -> bool:
    """Whether a client may be told one of REJECTION_STATUSES, once each attempt has ended.

    Each must be proved not to have been executed.

    Args:
        may_have_executed: Whether that is not proved of one that ended.
    """
    return not may_have_executed


def may_retry(idempotent: bool, may_have_executed: bool) -> bool:
    """Whether a request with no attempt in flight may go to an instance again."""
    return idempotent or not may_have_executed
