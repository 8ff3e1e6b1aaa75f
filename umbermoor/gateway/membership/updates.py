"""Membership updates that wait to be carried on messages (SWIM, section 4.1)."""

import math
from dataclasses import dataclass

from umbermoor.gateway.membership.messages import Incarnation, MemberState, MemberUpdate

MAX_QUEUED_UPDATES = 512
RETRANSMIT_FACTOR = 3
"""An update is sent this often times the logarithm of the number of members."""


@dataclass(slots=True)
class _QueuedUpdate:
    update: MemberUpdate
    transmissions: int = 0


class UpdateQueue:
    """The latest update of each proxy, sent out a bounded number of times.

    Those sent least often go first.
    """

    def __init__(self) -> None:
        self._queue: dict[str, _QueuedUpdate] = {}

    def enqueue(self, state: MemberState, address: str, incarnation: Incarnation) -> None:
        """Takes the place of an update of the same proxy that still waits."""
        self._queue[address] = _QueuedUpdate(MemberUpdate(state, address, incarnation))
        if len(self._queue) > MAX_QUEUED_UPDATES:
            most_sent = max(self._queue, key=lambda queued: self._queue[queued].transmissions)
            del self._queue[most_sent]

    def take(self, limit: int, members: int) -> list[MemberUpdate]:
        """Up to `limit` updates for one message to one of so many `members`."""
        if not self._queue:
            return []
        max_transmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(members + 2))
        chosen = sorted(self._queue.values(), key=lambda queued: queued.transmissions)[:limit]
        for queued in chosen:
            queued.transmissions += 1
            if queued.transmissions >= max_transmissions:
                del self._queue[queued.update.address]
        return [queued.update for queued in chosen]

    def clear(self) -> None:
        """Drops all that wait."""
        self._queue.clear()
