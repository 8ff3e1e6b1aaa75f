"""A request of a client connection whose response has not been written yet."""

from typing import TYPE_CHECKING

from umbermoor.http1.reader import Request

if TYPE_CHECKING:
    from umbermoor.gateway.server.active_request import ActiveRequest

ResponseParts = tuple[int, bytes, dict[str, str]]  # status, body, headers


class PendingRequest:
    """A request of a client connection whose response has not been written yet.

    Attributes:
        request: The request; None if it was malformed.
        response: The response, once it is known.
        started: Whether it was passed to the request handler or answered without it.
        active: Its state in the request handler while it is in progress; otherwise None.
        first_byte_at: Time of its first bytes, in seconds of the connection's clock.
        read_at: Time when it was completely read.
        ahead: Number of pending requests before it on its connection at that time.
        left_at: Time when its client left, in seconds of that clock; None while it waits.
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
