"""Membership updates that wait to be piggybacked on messages (SWIM, section 4.1)."""

import math
from dataclasses import dataclass

from umbermoor.gateway.membership.messages import Incarnation, MemberState, MemberUpdate

MAX_QUEUED_UPDATES = 512
RETRANSMIT_FACTOR = 3
"""An update is sent this many times the binary logarithm of the number of members."""


@dataclass(slots=True)
class _QueuedUpdate:
    update: MemberUpdate
    transmissions: int = 0


class UpdateQueue:
    """The latest update on each proxy, each sent a bounded number of times.

    The updates sent least often are sent first.
    """

    def __init__(self) -> None:
        self._queue: dict[str, _QueuedUpdate] = {}

    def enqueue(self, state: MemberState, address: str, incarnation: Incarnation) -> None:
        """Queue an update; it replaces a queued one on the same proxy."""
        self._queue[address] = _QueuedUpdate(MemberUpdate(state, address, incarnation))
        if len(self._queue) > MAX_QUEUED_UPDATES:
            most_sent = max(self._queue, key=lambda queued: self._queue[queued].transmissions)
            del self._queue[most_sent]

    def take(self, limit: int, members: int) -> list[MemberUpdate]:
        """Return up to `limit` updates for one message; `members` is the number of members."""
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
        """Drop all queued updates."""
        self._queue.clear()
