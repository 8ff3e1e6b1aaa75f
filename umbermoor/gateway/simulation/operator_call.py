"""A call of an operator, retried at random controllers until it gets a conclusive answer."""

from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.virtual_network import Respond
from umbermoor.gateway.units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

ANSWER_TIMEOUT = SECOND  # after which another controller is called
TIMEOUT_PER_KILOBYTE = 1
DEADLINE = 30 * SECOND
SHORTEST_BACKOFF, LONGEST_BACKOFF = 50 * MILLISECOND, SECOND
MOST_DOUBLINGS = 6
ANSWERS_LOST = 2  # maximum per call
# Number of other 4xx answers after which such an answer counts as conclusive
INCONCLUSIVE_ANSWERS = 3
FINAL_REJECTIONS = (400, 409, 412, 413, 422)
RETRYABLE_REJECTIONS = (408, 429)


class OperatorCall:
    """One call with its retries; `on_answer` is called once, with the conclusive answer."""

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
        """Start the call.

        Args:
            world: the control world.
            method: HTTP method.
            path: request path.
            body: request body.
            on_answer: callback for the conclusive answer.
            first: controller that is called first; a random one by default.
            deadline: microseconds from now after which there are no more retries.
            answers_may_be_lost: whether the network may lose conclusive answers.
        """
        self._world = world
        self._method, self._path, self._body = method, path, body
        self._on_answer = on_answer
        self._until = world.time.now + deadline
        self._answers_may_be_lost = answers_may_be_lost
        self._attempt = 0  # number of the attempt whose answer is awaited
        self._inconclusive = 0
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
        self._attempt += 1  # an answer to the previous attempt is now ignored
        doublings = min(MOST_DOUBLINGS, self._attempt // 2)
        backoff = min(LONGEST_BACKOFF, SHORTEST_BACKOFF << doublings)
        self._world.time.after(backoff, self._try)

    def _answered(self, attempt: int, status: int, body: bytes) -> None:
        if self._over or attempt != self._attempt or self._answer_lost():
            return
        if self._is_conclusive(status):
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

    def _is_conclusive(self, status: int) -> bool:
        """Whether an answer is final: a success, or a rejection that a retry cannot change."""
        if 200 <= status < 300 or status in FINAL_REJECTIONS:
            return True
        if 400 <= status < 500 and status not in RETRYABLE_REJECTIONS:
            self._inconclusive += 1
            return self._inconclusive >= INCONCLUSIVE_ANSWERS
        return False
