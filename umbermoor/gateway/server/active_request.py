"""A request that the proxy is processing, and the deadline for its response."""

import asyncio

from umbermoor.gateway.balancing.request import RequestLifecycle
from umbermoor.gateway.routing.route_table import Route
from umbermoor.gateway.server.client_connection import ClientConnection
from umbermoor.gateway.server.connections import Attempt
from umbermoor.gateway.server.pending_request import PendingRequest
from umbermoor.gateway.units import MILLISECOND, SECOND
from umbermoor.http1.reader import Request

# Subtracted from the time that a client says it will wait: request and response are in transit.
ROUND_TRIP_US = 10 * MILLISECOND
MAX_TIME_REMAINING_DIGITS = 8


class ActiveRequest:
    """A request in progress: its connection, attempts and timer, which its lifecycle does not hold.

    Attributes:
        connection: The client's connection.
        pending: The request's entry in the queue of that connection.
        request: The client's request.
        route: The route that the request matched.
        lifecycle: The state machine that decides the next step.
        attempts: Attempts in flight.
        attempts_made: Number of attempts started so far.
        timer: Fires when the lifecycle's next step is due; None when nothing is scheduled.
    """

    __slots__ = (
        "attempts",
        "attempts_made",
        "connection",
        "lifecycle",
        "pending",
        "request",
        "route",
        "timer",
    )

    def __init__(
        self,
        connection: ClientConnection,
        pending: PendingRequest,
        request: Request,
        route: Route,
        lifecycle: RequestLifecycle,
    ) -> None:
        self.connection = connection
        self.pending = pending
        self.request = request
        self.route = route
        self.lifecycle = lifecycle
        self.attempts: list[Attempt] = []
        self.attempts_made = 0
        self.timer: asyncio.TimerHandle | None = None


def request_deadline(pending: PendingRequest, request: Request, route: Route) -> int:
    """Return the deadline for the response to a request, in microseconds of the clock.

    The route's timeout runs from the moment the request was read completely, the client's from its
    first byte, so both include the time that the request spends queued on its connection.
    """
    deadline = round(pending.read_at * SECOND) + route.timeout_us
    client_waits = request.headers.get("x-time-remaining", "")  # in milliseconds
    if client_waits.isdecimal() and len(client_waits) <= MAX_TIME_REMAINING_DIGITS:
        sent_at = round(pending.first_byte_at * SECOND)
        client_waits_us = int(client_waits) * MILLISECOND - ROUND_TRIP_US
        deadline = min(deadline, sent_at + client_waits_us)
    return deadline
