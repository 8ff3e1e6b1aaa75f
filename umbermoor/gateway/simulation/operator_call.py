"""A call of an operator: repeated at any controller until it has a clear answer."""

from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.virtual_network import Respond
from umbermoor.gateway.units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

ANSWER_TIMEOUT = SECOND  # until the call is made at another controller
TIMEOUT_PER_KILOBYTE = 1
DEADLINE = 30 * SECOND
SHORTEST_BACKOFF, LONGEST_BACKOFF = 50 * MILLISECOND, SECOND
MOST_DOUBLINGS = 6
ANSWERS_LOST = 2  # of one call, at most
UNCLEAR_ANSWERS = 3  # other answers of the range 400 to 499 after which they count as clear
CLEAR_REJECTIONS = (400, 409, 412, 413, 422)
RETRYABLE_REJECTIONS = (408, 429)


class OperatorCall:
    """One call, with its retries; `on_answer` gets the status and body of a clear answer, once."""

    def __init__(
        self,
        world: "ControlWorld",
        method: str,
        path: str,
        body: bytes,
        on_answer: Respond,
        *,
        first: str = "",
        deadline: int = DEADLINE,
        answers_may_be_lost: bool = True,
    ) -> None:
        """Start it now.

        Args:
            world: where it happens.
            method: of HTTP.
            path: of the call.
            body: of the request.
            on_answer: gets the clear answer.
            first: the controller that is asked first; any unless given.
            deadline: microseconds from now after which it is not tried again.
            answers_may_be_lost: whether clear answers may be lost on the way.
        """
        self._world = world
        self._method, self._path, self._body = method, path, body
        self._on_answer = on_answer
        self._until = world.time.now + deadline
        self._answers_may_be_lost = answers_may_be_lost
        self._attempt = 0  # the number of the attempt whose answer counts
        self._unclear = 0
        self._lost = 0
        self._over = False
        self._try(first)

    def _try(self, controller: str = "") -> None:
        world = self._world
        if self._over or world.time.now > self._until:
            self._over = True
            return
        self._attempt += 1
        attempt = self._attempt
        target = controller or world.rng.choice(list(world.controllers))
        node = world.controllers[target]
        world.network.call(
            world.operator_ip,
            target,
            lambda process, respond: node.handle(
                self._method, self._path, self._body, process, respond
            ),
            lambda status, body: self._answered(attempt, status, body),
        )
        timeout = ANSWER_TIMEOUT + TIMEOUT_PER_KILOBYTE * (len(self._body) // 1000)
        world.time.after(timeout, lambda: self._timed_out(attempt))

    def _timed_out(self, attempt: int) -> None:
        if attempt == self._attempt and not self._over:
            self._retry()

    def _retry(self) -> None:
        self._attempt += 1  # an answer to the last attempt comes too late
        doublings = min(MOST_DOUBLINGS, self._attempt // 2)
        backoff = min(LONGEST_BACKOFF, SHORTEST_BACKOFF << doublings)
        self._world.time.after(backoff, self._try)

    def _answered(self, attempt: int, status: int, body: bytes) -> None:
        if self._over or attempt != self._attempt or self._answer_lost():
            return
        if self._is_clear(status):
            self._over = True
            self._on_answer(status, body)
        else:
            self._retry()

    def _answer_lost(self) -> bool:
        world = self._world
        if not self._answers_may_be_lost or self._lost >= ANSWERS_LOST or not world.answer_loss:
            return False
        if world.rng.random() >= world.answer_loss:
            return False
        self._lost += 1
        return True

    def _is_clear(self, status: int) -> bool:
        """Whether an answer is final: a success, or a rejection that a retry cannot change."""
        if 200 <= status < 300 or status in CLEAR_REJECTIONS:
            return True
        if 400 <= status < 500 and status not in RETRYABLE_REJECTIONS:
            self._unclear += 1
            return self._unclear >= UNCLEAR_ANSWERS
        return False
