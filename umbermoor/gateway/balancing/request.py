"""The lifecycle of one request, as a state machine without I/O.

The caller reports events, and `next_step` returns what to do next. Two guarantees: a request that
is not idempotent is sent to another instance only if it is proved not to have been executed, and a
client gets a rejection (503) only if that is proved for every instance that the request was sent
to. Retries and hedged requests are limited by a budget, which the caller checks.

`TRANSITIONS` lists the states of a request and the transitions between them. Times are whole
microseconds of the caller's monotonic clock.
"""

from typing import NamedTuple, Protocol

from umbermoor.gateway.balancing.attempt_outcomes import (
    NOT_EXECUTED,
    AttemptOutcome,
    IdentityEnum,
    may_reject,
    may_retry,
)
from umbermoor.gateway.balancing.instance import Instance

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

RETRY_AFTER_SOON_S = 0.05  # an instance may become free immediately
RETRY_AFTER_LATER_S = 0.25  # no instance was chosen: none is listed, or all are overloaded
RESPONSE_MARGIN_US = 15_000  # how long before the deadline the proxy sends its last response
HEDGE_FRACTION = 0.45  # of the remaining time, after which an idempotent request is hedged
MAX_UNSENT_ATTEMPTS = 4  # attempts of which nothing was sent; after more, none is made
MAX_IN_FLIGHT = 2  # a request and its hedge


class RequestState(IdentityEnum):
    """The state of a request in its lifecycle."""

    ADMITTED = "admitted"  # routed; no attempt is in flight, and there is no response
    IN_FLIGHT = "in_flight"  # one or two attempts are in flight
    RESPONDED = "responded"  # an instance's response is ready to be relayed
    FINISHED = "finished"  # its client got a response, or left


class RequestEvent(IdentityEnum):
    """An event that changes the state of a request."""

    ATTEMPT_STARTED = "attempt_started"
    ATTEMPTS_FAILED = "attempts_failed"  # the last one in flight ended without a final response
    RESPONSE = "response"
    FINISHED = "finished"


_ADMITTED = RequestState.ADMITTED
_IN_FLIGHT = RequestState.IN_FLIGHT
_RESPONDED = RequestState.RESPONDED
_FINISHED = RequestState.FINISHED

# A KeyError means that the event cannot occur in that state, so an invariant is violated.
TRANSITIONS: dict[RequestState, dict[RequestEvent, RequestState]] = {
    _ADMITTED: {
        RequestEvent.ATTEMPT_STARTED: _IN_FLIGHT,
        RequestEvent.FINISHED: _FINISHED,
    },
    _IN_FLIGHT: {
        RequestEvent.ATTEMPT_STARTED: _IN_FLIGHT,  # a hedged request
        RequestEvent.ATTEMPTS_FAILED: _ADMITTED,  # for a retry, or for the proxy's own response
        RequestEvent.RESPONSE: _RESPONDED,
        RequestEvent.FINISHED: _FINISHED,
    },
    _RESPONDED: {
        RequestEvent.ATTEMPTS_FAILED: _RESPONDED,  # the other attempt of a hedged request failed
        RequestEvent.RESPONSE: _RESPONDED,
        RequestEvent.FINISHED: _FINISHED,
    },
    _FINISHED: {
        # Attempts that were still in flight may end later.
        RequestEvent.ATTEMPTS_FAILED: _FINISHED,
        RequestEvent.RESPONSE: _FINISHED,
    },
}


class Response(Protocol):
    """A complete response of an instance, as parsed by the proxy's HTTP reader."""

    @property
    def status(self) -> int:
        """The status code."""

    @property
    def headers(self) -> dict[str, str]:
        """The headers, with names in lower case."""

    @property
    def body(self) -> bytes:
        """The body."""


class Respond(NamedTuple):
    """A step: send the proxy's own response.

    Attributes:
        status: The status code.
        retry_after_s: The value of Retry-After in seconds; None to send no such header.
    """

    status: int
    retry_after_s: float | None = None


class Relay(NamedTuple):
    """A step: relay an instance's response unchanged."""

    response: Response


class Wait(NamedTuple):
    """A step: do nothing until the time `until`, in microseconds, or the next event."""

    until: int


Step = Respond | Relay | Wait


class RequestLifecycle:
    """The state of one request.

    Attributes:
        service: The service that it is for.
        idempotent: Whether it may be executed more than once.
        max_attempts: The limit on attempts, without those of which no byte was sent.
        deadline: When the client or the route times out.
        state: Its state in its lifecycle.
        in_flight: The instances of the attempts in flight, by attempt number.
        tried: Ids of the instances that it was sent to.
        response: The response to relay; None as long as there is none.
    """

    __slots__ = (
        "_attempts_sent",
        "_attempts_unsent",
        "_error_response",
        "_hedge_at",
        "_may_have_executed",
        "deadline",
        "idempotent",
        "in_flight",
        "max_attempts",
        "response",
        "service",
        "state",
        "tried",
    )

    def __init__(self, service: str, idempotent: bool, max_attempts: int, deadline: int) -> None:
        self.service = service
        self.idempotent = idempotent
        self.max_attempts = max_attempts
        self.deadline = deadline
        self.state = _ADMITTED
        self.in_flight: dict[int, Instance] = {}
        self.tried: set[str] = set()
        self.response: Response | None = None
        self._error_response: Response | None = None  # the last 5xx of an idempotent request
        self._attempts_sent = 0
        self._attempts_unsent = 0
        self._may_have_executed = False  # an ended attempt is not proved unexecuted
        self._hedge_at = 0

    def is_retry(self) -> bool:
        """Whether the next attempt takes a token from the retry budget."""
        return self._attempts_sent > 0

    def may_attempt(self, now: int) -> bool:
        """Whether a first attempt, a retry or a hedged request may be sent now."""
        state = self.state
        if state is _RESPONDED or state is _FINISHED:
            return False
        if (
            self._attempts_sent >= self.max_attempts
            or self._attempts_unsent > MAX_UNSENT_ATTEMPTS
            or now >= self.deadline - RESPONSE_MARGIN_US
        ):
            return False
        if state is _ADMITTED:
            return may_retry(self.idempotent, self._may_have_executed)
        return self.idempotent and len(self.in_flight) < MAX_IN_FLIGHT and now >= self._hedge_at

    def attempt_started(
        self, now: int, number: int, instance: Instance, hedge_after_us: int
    ) -> None:
        """Record that the request is being sent to an instance.

        Args:
            now: The present time.
            number: The number of the attempt.
            instance: The instance that it is sent to.
            hedge_after_us: The shortest time until a hedged request, in microseconds.
        """
        self.state = TRANSITIONS[self.state][RequestEvent.ATTEMPT_STARTED]
        self.in_flight[number] = instance
        self.tried.add(instance.id)
        self._attempts_sent += 1
        if self.idempotent:
            time_left = self.deadline - now
            self._hedge_at = now + max(hedge_after_us, round(time_left * HEDGE_FRACTION))
        else:
            self._hedge_at = self.deadline

    def give_up_hedging(self) -> None:
        """Send no hedged request, because no budget or no instance is left for another attempt."""
        self._hedge_at = self.deadline

    def attempt_ended(
        self, number: int, outcome: AttemptOutcome, response: Response | None = None
    ) -> Instance | None:
        """Record that an attempt ended.

        A complete response with a 5xx status is kept back for a retry if the request is idempotent;
        any other complete response is the one to relay.

        Returns:
            The instance of the attempt, or None if its end was already recorded.
        """
        instance = self.in_flight.pop(number, None)
        if instance is None:
            return None
        event = RequestEvent.ATTEMPTS_FAILED
        if outcome is AttemptOutcome.COMPLETE and response is not None:
            self._may_have_executed = True
            if response.status < 500 or not self.idempotent:
                self.response = response
                event = RequestEvent.RESPONSE
            else:
                self._error_response = response
        elif outcome is AttemptOutcome.CONNECT_FAILED or outcome is AttemptOutcome.CANCELLED:
            self._attempts_sent -= 1
            self._attempts_unsent += 1
        elif outcome not in NOT_EXECUTED:
            self._may_have_executed = True
        if event is RequestEvent.RESPONSE or not self.in_flight:
            self.state = TRANSITIONS[self.state][event]
        return instance

    def stop_attempts(self) -> None:
        """Send no further attempts; those in flight may still bring a response."""
        self.max_attempts = 0

    def bound_deadline(self, deadline: int) -> None:
        """Shorten the deadline to `deadline`, in microseconds, if that is earlier."""
        self.deadline = min(self.deadline, deadline)

    def finish(self) -> None:
        """Record that the client got a response, or left."""
        self.state = TRANSITIONS[self.state][RequestEvent.FINISHED]

    def next_step(self, now: int) -> Step:
        """Return the step to take when no attempt is sent now."""
        if self.response is not None:
            return Relay(self.response)
        respond_by = self.deadline - RESPONSE_MARGIN_US
        if self.in_flight:
            return self._wait(now, respond_by)
        if self._error_response is not None:
            return Relay(self._error_response)
        if not may_reject(self._may_have_executed):
            return Respond(GATEWAY_TIMEOUT if now >= respond_by else BAD_GATEWAY)
        return Respond(UNAVAILABLE, RETRY_AFTER_SOON_S if self.tried else RETRY_AFTER_LATER_S)

    def _wait(self, now: int, respond_by: int) -> Step:
        if now >= respond_by:
            return Respond(GATEWAY_TIMEOUT)
        may_hedge = (
            self.idempotent
            and len(self.in_flight) < MAX_IN_FLIGHT
            and self._attempts_sent < self.max_attempts
        )
        if may_hedge and now < self._hedge_at:
            return Wait(min(self._hedge_at, respond_by))
        return Wait(respond_by)
