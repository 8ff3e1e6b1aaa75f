"""Proofs of contact: that a majority is reached both ways, and promised no epoch above the one that
is acted under.

Two kinds. A round within a call: whoever answered it promised no later epoch after the call had
come, so no later view was in force when the call came. A lease: every ping tells which ping of the
addressed came last; that one was sent before the answer, so what the answer says of promises holds
of its sending, and what is known of it grows old from there. The lease compares times of one clock
in one process alone; a process that saw its own clock leap forgets all.

Times are whole microseconds of a clock that never goes back in a life.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Any

LEASE = 900_000  # so long after it was sent, a ping that was answered proves contact
GAP = 500_000  # a longer time between two inputs: frozen, or starved of its processor
SENT = 64  # pings of one's own remembered

Key = tuple[str, int, int]  # who asks, its life and its number there


@dataclass(slots=True)
class Contact:
    """Which of the others proved that they hear this member, and as of when.

    >>> contact = Contact()
    >>> contact.sent(1000, 1)
    >>> contact.heard(200_000, "b", {"echo": [7, 1], "promise": 5, "blank": False}, 7)
    >>> contact.proven(200_000, 5, "bc"), contact.proven(200_000, 4, "bc"), contact.proven(902_000, 5, "bc")
    (frozenset({'b'}), frozenset(), frozenset())
    """

    _sent: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=SENT))  # beat, when
    _proofs: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # as of when, the epoch promised (-1: blank)

    def sent(self, now: int, beat: int) -> None:
        """This member pings now, under that number."""
        self._sent.append((beat, now))

    def heard(self, now: int, who: str, ping: dict[str, Any], life: int) -> None:
        """A ping that is newer than the last of that member's; `life` is this member's own."""
        if "echo" not in ping:  # of an earlier revision: that it is heard is all that there is
            at: int | None = now
        else:
            theirs, beat = ping["echo"]
            at = (
                next((when for one, when in self._sent if one == beat), None)
                if theirs == life
                else None
            )
        if at is not None:
            self._proofs[who] = at, -1 if ping["blank"] else ping["promise"]

    def proven(self, now: int, epoch: int, others: Iterable[str]) -> frozenset[str]:
        """Which of the others proved within the lease that they promised nothing above `epoch`."""
        proofs = ((who, *self._proofs.get(who, (now - LEASE, -1))) for who in others)
        return frozenset(
            who for who, at, promise in proofs if now - at < LEASE and 0 < promise <= epoch
        )

    def void(self) -> None:
        """Nothing from before counts any more, nor an answer to a ping from before."""
        self._sent.clear()
        self._proofs.clear()


class Rounds:
    """Calls that wait for a majority's word, each for a round that began after it came; one round
    at a time."""

    __slots__ = "_asked", "_heard", "_open", "asked_at", "nonce"

    def __init__(self, nonce: int = 0) -> None:
        self._open: dict[Key, tuple[int, Any]] = {}  # until when, what is to be told
        self._asked: tuple[Key, ...] | None = None  # those that the round under way is for
        self._heard: set[str] = set()
        self.nonce, self.asked_at = nonce, 0

    def __len__(self) -> int:
        return len(self._open)

    def add(self, key: Key, until: int, item: Any) -> None:
        """One more call; one that waits already stays as it is."""
        self._open.setdefault(key, (until, item))

    def begin(self, nonce: int) -> bool:
        """Whether a round begins now, under that number drawn at random."""
        if self._asked is not None or not self._open:
            return False
        self._asked, self._heard, self.nonce = tuple(self._open), set(), nonce
        return True

    def due(self, before: int) -> bool:
        """Whether those that have not answered are to be asked again, as they were last asked
        before then."""
        return self._asked is not None and self.asked_at <= before

    def confirmed(self, sender: str, nonce: int) -> bool:
        """One of the others promised no later epoch; whether that counts for the round under
        way."""
        if self._asked is None or nonce != self.nonce:
            return False
        self._heard.add(sender)
        return True

    def end(self, quorum: Callable[[Collection[str]], bool]) -> list[tuple[Key, Any]]:
        """What may be told, as enough of the others answered; nothing if fewer did."""
        if self._asked is None or not quorum(self._heard):
            return []
        asked, self._asked = self._asked, None
        return [(key, self._open.pop(key)[1]) for key in sorted(asked) if key in self._open]

    def expire(self, now: int) -> None:
        self._open = {key: held for key, held in self._open.items() if held[0] > now}

    def void(self) -> None:
        """The round under way counts no more; another is to begin."""
        self._asked = None
