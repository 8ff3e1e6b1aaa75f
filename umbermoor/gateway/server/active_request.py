"""A request that is worked at, and by when it must be answered."""

import asyncio

from umbermoor.gateway.balancing.request import RequestLifecycle
from umbermoor.gateway.routing.route_table import Route
from umbermoor.gateway.server.client_connection import ClientConnection
from umbermoor.gateway.server.connections import Attempt
from umbermoor.gateway.server.pending_request import PendingRequest
from umbermoor.gateway.units import MILLISECOND, SECOND
from umbermoor.http1.reader import Request

# Taken off the time that a client says it waits, for the way there and back.
ROUND_TRIP_US = 10 * MILLISECOND
MAX_TIME_REMAINING_DIGITS = 8


class ActiveRequest:
    """A request that is worked at: what its lifecycle does not hold.

    Attributes:
        connection: Its client's connection.
        pending: Its place there.
        request: What was asked.
        route: The route that it took.
        lifecycle: Its state, and what comes next.
        attempts: Attempts in flight.
        attempts_made: How many were made.
        timer: Wakes it when something is due.
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


def deadline_of(pending: PendingRequest, request: Request, route: Route) -> int:
    """By when a request must be answered, in microseconds of the clock.

    The route's time runs from when it was read whole, and its client's from its first byte: what it
    waits for its turn is part of both.
    """
    deadline = round(pending.read_at * SECOND) + route.timeout_us
    client_waits = request.headers.get("x-time-remaining", "")  # in milliseconds
    if client_waits.isdecimal() and len(client_waits) <= MAX_TIME_REMAINING_DIGITS:
        sent_at = round(pending.first_byte_at * SECOND)
        client_waits_us = int(client_waits) * MILLISECOND - ROUND_TRIP_US
        deadline = min(deadline, sent_at + client_waits_us)
    return deadline
