"""A request of a client's connection whose response has not left."""

from typing import TYPE_CHECKING

from umbermoor.http1.reader import Request

if TYPE_CHECKING:
    from umbermoor.gateway.server.active_request import ActiveRequest

ResponseParts = tuple[int, bytes, dict[str, str]]  # status, body, headers


class PendingRequest:
    """A request of a connection whose response has not left.

    Attributes:
        request: The request; None where it was malformed.
        response: Its response, once there is one.
        started: Whether it was handed to the request handler.
        active: Its state there, as long as it is worked at.
        first_byte_at: When its first bytes came, in seconds of the clock of its connection.
        read_at: When it was read whole.
        ahead: How many requests of its connection had no response then.
        left_at: When its client left, in seconds of that clock; None as long as it waits.
    """

    __slots__ = (
        "active",
        "ahead",
        "first_byte_at",
        "left_at",
        "read_at",
        "request",
        "response",
        "started",
    )

    def __init__(
        self,
        request: Request | None,
        response: ResponseParts | None = None,
        first_byte_at: float = 0.0,
        read_at: float = 0.0,
        ahead: int = 0,
    ) -> None:
        self.request = request
        self.response = response
        self.started = response is not None
        self.active: ActiveRequest | None = None
        self.first_byte_at = first_byte_at
        self.read_at = read_at
        self.ahead = ahead
        self.left_at: float | None = None
