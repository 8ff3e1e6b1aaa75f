"""The life of a request at a proxy, in its order.

    accepted   `handle`            read whole by a client connection, and its turn
    routed     `handle`            by host and path; 404 without a route, 503 without any routes
    admitted   `_admit`            earns a part of a retry, and gets its deadline
    attempts   `_advance`          1..n: the first, retries, a hedge; `_try_attempt` chooses a
                                   version, then an instance, and sends
               `_attempt_ended`    what the instance's response, or its lack, teaches the balancing
    response   `_carry_out`        the instance's, or this proxy's own
    finished   `_finish`           also `client_left`

Which of these comes next is decided in `balancing.request.RequestLifecycle`, whose states and
transitions are one table; this carries it out on sockets and timers.
"""

import asyncio
from collections.abc import Callable
from random import Random

from umbermoor.gateway.balancing.attempt_outcomes import (
    NOT_EXECUTED,
    AttemptOutcome,
    ConnectionEvent,
)
from umbermoor.gateway.balancing.instance import Instance
from umbermoor.gateway.balancing.instances import Instances
from umbermoor.gateway.balancing.request import (
    RESPONSE_MARGIN_US,
    UNAVAILABLE,
    Relay,
    RequestLifecycle,
    RequestState,
    Respond,
    Step,
    Wait,
)
from umbermoor.gateway.balancing.retry_budget import RetryBudgets
from umbermoor.gateway.rollout.observer import RolloutObserver
from umbermoor.gateway.routing.route_table import Route, RouteTable
from umbermoor.gateway.server.active_request import ActiveRequest, deadline_of
from umbermoor.gateway.server.client_connection import ClientConnection
from umbermoor.gateway.server.connections import Attempt, ConnectionPool
from umbermoor.gateway.server.departures import DepartureCounter
from umbermoor.gateway.server.http_messages import request_bytes
from umbermoor.gateway.server.invariants import Invariants
from umbermoor.gateway.server.pending_request import PendingRequest
from umbermoor.gateway.units import MILLISECOND, SECOND
from umbermoor.http1.reader import Request, Response

BAD_REQUEST = 400
NOT_FOUND = 404

NO_ROUTES_RETRY_AFTER = {"retry-after": "0.3"}
# After the deadline, a response at the last moment may still be on its way.
ATTEMPT_GRACE_S = 0.1
HEDGE_AFTER_SERVICE_TIMES = 4
DEFAULT_SERVICE_TIME_US = 100_000.0  # for hedging, before the first response of a service


class RequestHandler:
    """Carries each request from its client to an instance and back.

    Attributes:
        routes: The routes in force; None before the first configuration.
        pool: Connections to instances, set by the proxy that builds both.
        active: Requests that are worked at.
        outcome_counts: Attempts by how they ended.
        status_counts: Responses by status.
        departures: What is done for requests whose clients have left.
        drain_deadline: By when each request must be answered because the process ends, in
            microseconds; None as long as it does not end.
    """

    def __init__(
        self,
        instances: Instances,
        rollouts: RolloutObserver,
        retry_budgets: RetryBudgets,
        invariants: Invariants,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self.instances = instances
        self.rollouts = rollouts
        self.retry_budgets = retry_budgets
        self.clock = clock
        self.random = random.random
        self.pool: ConnectionPool
        self.routes: RouteTable | None = None
        self.active: set[ActiveRequest] = set()
        self.outcome_counts = dict.fromkeys(AttemptOutcome, 0)
        self.status_counts: dict[int, int] = {}
        self.departures = DepartureCounter(invariants)
        self.drain_deadline: int | None = None

    def now(self) -> int:
        """Microseconds of the steady clock."""
        return round(self.clock() * SECOND)

    # Accepted and routed

    def handle(
        self, connection: ClientConnection, pending: PendingRequest, request: Request
    ) -> None:
        """Takes a request that was read whole, when it is its turn."""
        if self.routes is None:
            connection.respond(pending, UNAVAILABLE, b"", NO_ROUTES_RETRY_AFTER)
            return
        headers = request.headers
        route = self.routes.find(headers.get("host", ""), request.target)
        if route is None:
            connection.respond(pending, NOT_FOUND, b"", {})
            return
        if not headers.get("x-attempt-id"):  # no response could be known as its own
            connection.respond(pending, BAD_REQUEST, b"", {})
            return
        self._admit(connection, pending, request, route)

    def is_idempotent(self, request: Request) -> bool:
        """Whether requests behind it on its connection need not wait for its response."""
        if self.routes is None:
            return True
        route = self.routes.find(request.headers.get("host", ""), request.target)
        return route is None or route.idempotent

    # Admitted

    def _admit(
        self,
        connection: ClientConnection,
        pending: PendingRequest,
        request: Request,
        route: Route,
    ) -> None:
        now = self.now()
        service = route.service_for(self.random())
        deadline = deadline_of(pending, request, route)
        lifecycle = RequestLifecycle(service, route.idempotent, route.max_attempts, deadline)
        if self.drain_deadline is not None:
            lifecycle.bound_deadline(self.drain_deadline)
        active = ActiveRequest(connection, pending, request, route, lifecycle)
        pending.active = active
        self.active.add(active)
        self.retry_budgets.for_service(service).request_arrived(now)
        self.rollouts.request_received(now, service)
        self._advance(active, now)

    def begin_drain(self, deadline: int) -> None:
        """Has each request answered by `deadline`, in microseconds: the process ends after it."""
        self.drain_deadline = deadline
        now = self.now()
        for active in list(self.active):
            active.lifecycle.bound_deadline(deadline)
            self._advance(active, now)

    # Attempts

    def _advance(self, active: ActiveRequest, now: int) -> None:
        """Makes the attempts that may be made now, then what the lifecycle wants next."""
        lifecycle = active.lifecycle
        while lifecycle.may_attempt(now) and self._try_attempt(active, now):
            pass
        if active.attempts and now >= lifecycle.deadline - RESPONSE_MARGIN_US:
            self._cancel_unsent(active)
            if lifecycle.state is RequestState.FINISHED:
                return
        self._carry_out(active, lifecycle.next_step(now), now)

    def _try_attempt(self, active: ActiveRequest, now: int) -> bool:
        """Sends the request to an instance, where budget and instances allow it."""
        lifecycle = active.lifecycle
        is_retry = lifecycle.is_retry()
        budget = self.retry_budgets.for_service(lifecycle.service) if is_retry else None
        if budget is not None and budget.available(now) < 1:
            lifecycle.give_up_hedging()
            return False
        instance = self._choose_instance(lifecycle, is_retry, now)
        if instance is None or (instance.id in lifecycle.tried and lifecycle.in_flight):
            lifecycle.give_up_hedging()
            return False
        if budget is not None:
            budget.try_spend(now)
        self._send(active, instance, now)
        return True

    def _choose_instance(
        self, lifecycle: RequestLifecycle, is_retry: bool, now: int
    ) -> Instance | None:
        """Chooses the version by the rollout's share, then the instance within it."""
        rollouts, service, random = self.rollouts, lifecycle.service, self.random
        revision = rollouts.choose_version(now, service, random(), is_retry)
        if revision is None:
            return None
        choose, tried = self.instances.choose, lifecycle.tried
        max_wait_us = lifecycle.deadline - now
        if revision == rollouts.target(service):
            only = rollouts.trial_instances(now, service)
            instance = choose(now, service, revision, only, tried, random, max_wait_us)
            if instance is not None or not only:
                return instance
        return choose(now, service, revision, (), tried, random, max_wait_us)

    def _send(self, active: ActiveRequest, instance: Instance, now: int) -> None:
        lifecycle, request = active.lifecycle, active.request
        needs_new_connection = instance.id in lifecycle.tried
        mean_us = self.instances.service_time_us(lifecycle.service, DEFAULT_SERVICE_TIME_US)
        hedge_after_us = HEDGE_AFTER_SERVICE_TIMES * mean_us * instance.relative_service_time
        active.attempts_made += 1
        number = active.attempts_made
        lifecycle.attempt_started(now, number, instance, round(hedge_after_us))
        instance.attempt_started(now)
        self.rollouts.attempt_sent(now, lifecycle.service, instance.entry.revision)
        time_left_ms = max(1, (lifecycle.deadline - now) // MILLISECOND)
        attempt = Attempt(
            active,
            number,
            instance,
            now,
            request.headers["x-attempt-id"],
            request_bytes(request, instance.id, time_left_ms),
            request.method == "HEAD",
            needs_new_connection,
            self._attempt_ended,
        )
        active.attempts.append(attempt)
        self.departures.attempt_begun(active.pending)
        self.pool.send(instance, attempt, lifecycle.idempotent)

    def may_send(self, instance: Instance) -> bool:
        """The gate right before a request is written on a new connection."""
        entry = instance.entry
        return self.instances.is_listed(instance) and self.rollouts.may_send(
            self.now(), entry.service, entry.revision
        )

    def _attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, response: Response | None
    ) -> None:
        now, active = self.now(), attempt.request
        active.attempts.remove(attempt)
        self._learn(attempt, outcome, response, now)
        self.outcome_counts[outcome] += 1
        idempotent = active.lifecycle.idempotent
        self.departures.attempt_ended(active.pending, idempotent, self.clock(), outcome)
        active.lifecycle.attempt_ended(attempt.number, outcome, response)
        if active.lifecycle.state is not RequestState.FINISHED:
            self._advance(active, now)

    def _learn(
        self, attempt: Attempt, outcome: AttemptOutcome, response: Response | None, now: int
    ) -> None:
        """Takes an attempt's end into the estimates of its instance, and into the rollout."""
        instance = attempt.instance
        duration_us = now - attempt.sent_at
        instance.attempt_ended()
        if outcome is AttemptOutcome.ABANDONED:
            self._learn_abandoned(attempt, duration_us, now)
            return
        status = 0
        if response is not None:
            status = response.status
            if load := response.headers.get("x-load-level"):
                instance.load_reported(now, load)
        failed = outcome is not AttemptOutcome.COMPLETE or status >= 500
        if not failed:
            self.instances.responded(now, instance, duration_us)
        elif outcome is AttemptOutcome.COMPLETE:
            instance.last_response_at = now
        elif outcome is AttemptOutcome.REJECTED:
            instance.rejected(now)
        elif outcome is AttemptOutcome.MISDIRECTED:
            self.instances.misdirected(instance)
            self.pool.close_idle(instance)
        elif outcome is not AttemptOutcome.CANCELLED:
            instance.ejection.failure(now, outcome is AttemptOutcome.CONNECT_FAILED)
        self.rollouts.attempt_ended(
            now,
            instance.entry.service,
            instance.entry.revision,
            instance.id,
            instance.listed_at,
            duration_us <= attempt.request.route.latency_target_us,
            failed,
            attempt.number > 1 or outcome in NOT_EXECUTED,
        )

    def _learn_abandoned(self, attempt: Attempt, waited_us: int, now: int) -> None:
        """Takes over what the wait for a response that was given up tells: that it was longer."""
        instance = attempt.instance
        self.instances.abandoned(instance, waited_us)
        self.rollouts.attempt_abandoned(
            now,
            instance.entry.service,
            instance.entry.revision,
            instance.id,
            instance.listed_at,
            waited_us <= attempt.request.route.latency_target_us,
            attempt.number > 1,
        )

    def _cancel_unsent(self, active: ActiveRequest) -> None:
        """Ends the attempts of which nothing was written: they are proved not to be executed."""
        for attempt in list(active.attempts):
            attempt.handle(ConnectionEvent.CANCELLED)

    def _give_up(self, active: ActiveRequest) -> None:
        """The time of a finished request is over: its attempts end."""
        for attempt in list(active.attempts):
            attempt.handle(ConnectionEvent.DEADLINE_EXCEEDED)

    # Response

    def _carry_out(self, active: ActiveRequest, step: Step, now: int) -> None:
        if active.timer is not None:
            active.timer.cancel()
            active.timer = None
        if isinstance(step, Wait):
            delay_s = max(0, step.until - now) / SECOND
            active.timer = asyncio.get_running_loop().call_later(delay_s, self._wake, active)
        elif isinstance(step, Relay):
            response = step.response
            self._finish(active, response.status, response.body, response.headers)
        elif isinstance(step, Respond):
            headers = {}
            if step.retry_after_s is not None:
                headers["retry-after"] = f"{step.retry_after_s:g}"
            self._finish(active, step.status, b"", headers)

    def _wake(self, active: ActiveRequest) -> None:
        self._advance(active, self.now())

    # Finished

    def _finish(
        self, active: ActiveRequest, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        self._end(active)
        self.status_counts[status] = self.status_counts.get(status, 0) + 1
        active.connection.respond(active.pending, status, body, headers)

    def client_left(self, pending: PendingRequest) -> None:
        """Its client has left: nothing more is sent for it, and what may be repeated ends.

        An attempt that may not be repeated goes on where it was sent: broken off, it would be left
        half done, and nobody could tell.
        """
        active = pending.active
        if active is None:
            return
        self._end(active)
        if active.lifecycle.idempotent:
            for attempt in list(active.attempts):
                attempt.handle(ConnectionEvent.ABANDONED)

    def client_ended(self, pending: PendingRequest) -> None:
        """Its client sends nothing more: it has left, as far as anything tells.

        Only a response to what may not be repeated and has been sent is still waited for, as a
        client that merely ended its sending could not ask for it again.
        """
        active = pending.active
        if active is None:
            return
        if active.lifecycle.idempotent:
            self.client_left(pending)
            return
        active.lifecycle.stop_attempts()
        self._cancel_unsent(active)

    def _end(self, active: ActiveRequest) -> None:
        """Ends a request.

        Attempts in flight may go on until its time is over, and no longer: from an instance that
        vanished nothing comes, not even an end.
        """
        active.lifecycle.finish()
        if active.timer is not None:
            active.timer.cancel()
        active.pending.active = None
        self.active.discard(active)
        if active.attempts:
            self._cancel_unsent(active)
        if active.attempts:
            left_s = max(0, active.lifecycle.deadline - self.now()) / SECOND
            loop = asyncio.get_running_loop()
            loop.call_later(left_s + ATTEMPT_GRACE_S, self._give_up, active)

    # Counts

    def counts(self) -> dict[str, int]:
        """Attempts by outcome and responses by status, those that there were."""
        outcomes = {outcome.value: count for outcome, count in self.outcome_counts.items() if count}
        statuses = {f"status_{status}": count for status, count in self.status_counts.items()}
        return outcomes | statuses
