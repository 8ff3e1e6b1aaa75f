"""Rounds in which a majority is asked whether it has promised a later epoch.

Source: the read index of Raft (Ongaro's thesis, 2014, section 6.4). A member that answers a round
had promised no later epoch when the calls arrived that the round is for, so no later view was in
force at that time. Times are whole microseconds.
"""

from collections.abc import Callable, Collection

from umbermoor.gateway.effects import Decision
from umbermoor.gateway.replication.messages import CallId
from umbermoor.gateway.replication.view import Version

# The decision to report for a put; or, for a read, the version that its caller already has.
Question = Decision | Version


class QuorumRounds:
    """Calls that wait for a majority to confirm.

    Each call waits for a round that began after the call arrived. One round runs at a time.
    """

    __slots__ = "_asked", "_confirmed", "_waiting", "asked_at", "nonce"

    def __init__(self, nonce: int = 0) -> None:
        self._waiting: dict[CallId, tuple[int, Question]] = {}  # with deadlines
        self._asked: tuple[CallId, ...] | None = None  # the calls of the round in progress
        self._confirmed: set[str] = set()
        self.nonce = nonce
        self.asked_at = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, call: CallId, until: int, question: Question) -> None:
        """Add a call; a call that already waits is left unchanged."""
        self._waiting.setdefault(call, (until, question))

    def begin(self, nonce: int) -> bool:
        """Begin a round under the random `nonce` if possible, and return whether it began."""
        if self._asked is not None or not self._waiting:
            return False
        self._asked, self._confirmed, self.nonce = tuple(self._waiting), set(), nonce
        return True

    def note_asked(self, now: int) -> None:
        """Record that the other members are being asked now."""
        self.asked_at = now

    def is_due(self, before: int) -> bool:
        """Whether the others must be asked again, because they were last asked by `before`."""
        return self._asked is not None and self.asked_at <= before

    def confirm(self, sender: str, nonce: int) -> bool:
        """Record that a member promised no later epoch; return whether it counts for this round."""
        if self._asked is None or nonce != self.nonce:
            return False
        self._confirmed.add(sender)
        return True

    def complete(self, quorum: Callable[[Collection[str]], bool]) -> list[tuple[CallId, Question]]:
        """Return the calls to answer if enough other members confirmed the round, else nothing."""
        if self._asked is None or not quorum(self._confirmed):
            return []
        asked, self._asked = self._asked, None
        return [
            (call, self._waiting.pop(call)[1]) for call in sorted(asked) if call in self._waiting
        ]

    def expire(self, now: int) -> None:
        """Drop the calls whose time is over."""
        self._waiting = {
            call: waiting for call, waiting in self._waiting.items() if waiting[0] > now
        }

    def void(self) -> None:
        """Discard the round in progress, so that another one begins."""
        self._asked = None
