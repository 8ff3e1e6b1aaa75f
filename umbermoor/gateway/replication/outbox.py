"""What a replica has its host do, in order; messages to itself do not leave it."""

from collections import deque

from umbermoor.gateway.effects import CallResult, Effect, Send
from umbermoor.gateway.replication.codec import encode
from umbermoor.gateway.replication.messages import Message


class Outbox:
    """Effects that wait for the host. Messages are encoded here, at the edge."""

    __slots__ = ("_effects", "_local", "_own_name")

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._effects: list[Effect] = []
        self._local: deque[Message] = deque()

    def send(self, to: str, message: Message) -> None:
        """Send it, or have it handled here after the present input."""
        if to == self._own_name:
            self._local.append(message)
        else:
            self._effects.append(Send(to, encode(message)))

    def add(self, effect: Effect) -> None:
        """Any other effect."""
        self._effects.append(effect)

    def finish(self, result: CallResult) -> None:
        """The end of a call of this replica's host."""
        self._effects.append(result)

    def next_local(self) -> Message | None:
        """The next message to itself."""
        return self._local.popleft() if self._local else None

    def take(self) -> list[Effect]:
        """All effects so far."""
        effects, self._effects = self._effects, []
        return effects
