"""The life of one request: inputs say what happened, `next_step` says what is to be done. No I/O.

What it guards: a request that is not idempotent goes on to another instance only where it is proved
not to have been executed; a client gets a rejection (503) only where that is proved of every
instance it went to. Retries and hedged requests have their budget, which the caller asks.

The states of a request and its way through them are `TRANSITIONS`. Times are whole microseconds of
the caller's steady clock.
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

RETRY_AFTER_SOON_S = 0.05  # where an instance may be free at once
RETRY_AFTER_LATER_S = 0.25  # where none is listed, or all are overloaded
RESPONSE_MARGIN_US = 15_000  # the last response of this proxy leaves so long before the deadline
HEDGE_FRACTION = 0.45  # of the time left, after which a slow idempotent request is hedged
MAX_UNSENT_ATTEMPTS = 4  # attempts of which nothing was sent, that are made up for
MAX_IN_FLIGHT = 2  # a request and its hedge


class RequestState(IdentityEnum):
    """Where a request is in its life."""

    ADMITTED = "admitted"  # routed; no attempt is in flight, and none has responded
    IN_FLIGHT = "in_flight"  # an attempt is in flight, or two
    RESPONDED = "responded"  # an instance's response is to be relayed
    FINISHED = "finished"  # its client was answered, or left


class RequestEvent(IdentityEnum):
    """What moves a request on."""

    ATTEMPT_STARTED = "attempt_started"
    ATTEMPTS_FAILED = "attempts_failed"  # the last one in flight ended without a final response
    RESPONSE = "response"
    FINISHED = "finished"


_ADMITTED = RequestState.ADMITTED
_IN_FLIGHT = RequestState.IN_FLIGHT
_RESPONDED = RequestState.RESPONDED
_FINISHED = RequestState.FINISHED

# KeyError: that event cannot come in that state, an invariant is broken.
TRANSITIONS: dict[RequestState, dict[RequestEvent, RequestState]] = {
    _ADMITTED: {
        RequestEvent.ATTEMPT_STARTED: _IN_FLIGHT,
        RequestEvent.FINISHED: _FINISHED,
    },
    _IN_FLIGHT: {
        RequestEvent.ATTEMPT_STARTED: _IN_FLIGHT,  # a hedge
        RequestEvent.ATTEMPTS_FAILED: _ADMITTED,  # for a retry, or for the proxy's own response
        RequestEvent.RESPONSE: _RESPONDED,
        RequestEvent.FINISHED: _FINISHED,
    },
    _RESPONDED: {
        RequestEvent.ATTEMPTS_FAILED: _RESPONDED,  # the hedge, later
        RequestEvent.RESPONSE: _RESPONDED,
        RequestEvent.FINISHED: _FINISHED,
    },
    _FINISHED: {
        # Attempts that were in flight then may end later.
        RequestEvent.ATTEMPTS_FAILED: _FINISHED,
        RequestEvent.RESPONSE: _FINISHED,
    },
}


class Response(Protocol):
    """A complete response of an instance, as the proxy's HTTP reader gives it."""

    @property
    def status(self) -> int:
        """Its status."""

    @property
    def headers(self) -> dict[str, str]:
        """Its headers, names in lower case."""

    @property
    def body(self) -> bytes:
        """Its body."""


class Respond(NamedTuple):
    """The proxy's own response.

    Attributes:
        status: Its status.
        retry_after_s: What its Retry-After says, in seconds; None where it has none.
    """

    status: int
    retry_after_s: float | None = None


class Relay(NamedTuple):
    """The instance's response, as it came."""

    response: Response


class Wait(NamedTuple):
    """Nothing is to be done before `until`, in microseconds, or the next input."""

    until: int


Step = Respond | Relay | Wait


class RequestLifecycle:
    """One request.

    Attributes:
        service: The service that it goes to.
        idempotent: Whether it may be executed more than once.
        max_attempts: Most attempts of which bytes may have left.
        deadline: When its client or its route gives up.
        state: Where it is in its life.
        in_flight: Attempts in flight, by number: where, and since when.
        tried: Ids of the instances that it went to.
        response: The response to relay, once there is one.
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
        self._error_response: Response | None = None  # complete, of an idempotent request
        self._attempts_sent = 0
        self._attempts_unsent = 0
        self._may_have_executed = False  # not proved otherwise of an attempt that ended
        self._hedge_at = 0

    def is_retry(self) -> bool:
        """Whether the next attempt costs a token of the retry budget."""
        return self._attempts_sent > 0

    def may_attempt(self, now: int) -> bool:
        """Whether another instance may be asked now: first, as a retry or as a hedge."""
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
        """The caller sends it to an instance; a hedge is due after `hedge_after_us` at least."""
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
        """No budget or no instance is left for another attempt while one is in flight."""
        self._hedge_at = self.deadline

    def attempt_ended(
        self, number: int, outcome: AttemptOutcome, response: Response | None = None
    ) -> Instance | None:
        """An attempt ended; returns where it was, None where it had ended before.

        A complete response with an error status may be made up for by a retry where the request is
        idempotent; else it is the response to relay.
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
        """No instance is asked any more; what is in flight may still bring a response."""
        self.max_attempts = 0

    def bound_deadline(self, deadline: int) -> None:
        """Has it end by `deadline` at the latest, in microseconds."""
        self.deadline = min(self.deadline, deadline)

    def finish(self) -> None:
        """Its client was answered, or left."""
        self.state = TRANSITIONS[self.state][RequestEvent.FINISHED]

    def next_step(self, now: int) -> Step:
        """What is to be done where no instance is asked now."""
        if self.response is not None:
            return Relay(self.response)
        last_moment = self.deadline - RESPONSE_MARGIN_US
        if self.in_flight:
            return self._wait(now, last_moment)
        if self._error_response is not None:
            return Relay(self._error_response)
        if not may_reject(self._may_have_executed):
            return Respond(GATEWAY_TIMEOUT if now >= last_moment else BAD_GATEWAY)
        return Respond(UNAVAILABLE, RETRY_AFTER_SOON_S if self.tried else RETRY_AFTER_LATER_S)

    def _wait(self, now: int, last_moment: int) -> Step:
        if now >= last_moment:
            return Respond(GATEWAY_TIMEOUT)
        may_hedge = (
            self.idempotent
            and len(self.in_flight) < MAX_IN_FLIGHT
            and self._attempts_sent < self.max_attempts
        )
        if may_hedge and now < self._hedge_at:
            return Wait(min(self._hedge_at, last_moment))
        return Wait(last_moment)
