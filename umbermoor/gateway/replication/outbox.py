"""The effects that a replica requests from its host, in order, and its messages to itself."""

from collections import deque

from umbermoor.gateway.effects import CallResult, Effect, Send
from umbermoor.gateway.replication.codec import encode
from umbermoor.gateway.replication.messages import Message


class Outbox:
    """Effects that wait for the host. Messages are encoded when they are added."""

    __slots__ = ("_effects", "_local", "_own_name")

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._effects: list[Effect] = []
        self._local: deque[Message] = deque()

    def send(self, to: str, message: Message) -> None:
        """Send a message. A message to this replica itself is handled after the current input."""
        if to == self._own_name:
            self._local.append(message)
        else:
            self._effects.append(Send(to, encode(message)))

    def add(self, effect: Effect) -> None:
        """Add an effect other than a message or a call's result."""
        self._effects.append(effect)

    def finish(self, result: CallResult) -> None:
        """Add the result of a call that this replica's host made."""
        self._effects.append(result)

    def next_local(self) -> Message | None:
        """Remove and return the next message to this replica itself, if any."""
        return self._local.popleft() if self._local else None

    def take(self) -> list[Effect]:
        """Remove and return all effects added so far."""
        effects, self._effects = self._effects, []
        return effects
