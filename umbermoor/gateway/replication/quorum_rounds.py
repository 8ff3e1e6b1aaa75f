"""Rounds in which a majority is asked whether it has promised a later epoch.

Source: Ongaro and Ousterhout's Raft, section 6.4 of Ongaro's thesis (2014), read index: whoever
answered a round promised no later epoch after the calls had come that it is for, so no later view
was in force when they came. Times are whole microseconds.
"""

from collections.abc import Callable, Collection

from umbermoor.gateway.effects import Decision
from umbermoor.gateway.replication.messages import CallId
from umbermoor.gateway.replication.view import Version

Question = Decision | Version  # a decision to tell; or a read, with the version that its caller has


class QuorumRounds:
    """Calls that wait for a majority, each for a round that began after it; one at a time."""

    __slots__ = "_asked", "_confirmed", "_waiting", "asked_at", "nonce"

    def __init__(self, nonce: int = 0) -> None:
        self._waiting: dict[CallId, tuple[int, Question]] = {}  # until when
        self._asked: tuple[CallId, ...] | None = None  # those that the round under way is for
        self._confirmed: set[str] = set()
        self.nonce = nonce
        self.asked_at = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, call: CallId, until: int, question: Question) -> None:
        """One more call; one that waits already stays as it is."""
        self._waiting.setdefault(call, (until, question))

    def begin(self, nonce: int) -> bool:
        """Whether a round begins now, under that number drawn at random."""
        if self._asked is not None or not self._waiting:
            return False
        self._asked, self._confirmed, self.nonce = tuple(self._waiting), set(), nonce
        return True

    def note_asked(self, now: int) -> None:
        """The others are being asked now."""
        self.asked_at = now

    def is_due(self, before: int) -> bool:
        """Whether the others are to be asked again, as they were last asked before then."""
        return self._asked is not None and self.asked_at <= before

    def confirm(self, sender: str, nonce: int) -> bool:
        """One of the others promised no later epoch; whether that counts for this round."""
        if self._asked is None or nonce != self.nonce:
            return False
        self._confirmed.add(sender)
        return True

    def complete(self, quorum: Callable[[Collection[str]], bool]) -> list[tuple[CallId, Question]]:
        """What may be answered, as enough of the others confirmed; nothing if fewer did."""
        if self._asked is None or not quorum(self._confirmed):
            return []
        asked, self._asked = self._asked, None
        return [
            (call, self._waiting.pop(call)[1]) for call in sorted(asked) if call in self._waiting
        ]

    def expire(self, now: int) -> None:
        """Give up the calls whose time is over."""
        self._waiting = {
            call: waiting for call, waiting in self._waiting.items() if waiting[0] > now
        }

    def void(self) -> None:
        """The round under way counts no more; another is to begin."""
        self._asked = None
