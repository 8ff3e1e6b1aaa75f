"""Views: the members and the order of the chain, under an epoch.

Source: van Renesse and Schneider, Chain Replication (2004). Its master is replaced by views that
are agreed on as in Lamport, Paxos Made Simple (2001).
"""

import random
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from umbermoor.gateway.replication.replica_set import MAX_MEMBERS

EPOCHS_PER_ROUND = 256 * MAX_MEMBERS  # 256 epochs for each rank

Version = tuple[int, int]  # epoch, and sequence number of the last write in it


class View(NamedTuple):
    """A configuration of the chain; of two views, the one with the higher epoch is in force."""

    epoch: int
    chain: tuple[str, ...]  # from head to tail


NO_VIEW = View(0, ())


def epoch_after(epoch: int, rank: int, rng: random.Random) -> int:
    """Return an epoch above `epoch` that no member of another rank proposes.

    A random part makes it unlikely that this member proposes the same epoch again after its disk
    was lost.

    >>> rng = random.Random(1)
    >>> epoch_after(0, 2, rng) // EPOCHS_PER_ROUND
    1
    >>> epoch_after(5 * EPOCHS_PER_ROUND + 77, 2, rng) // EPOCHS_PER_ROUND
    6
    """
    round_start = (epoch // EPOCHS_PER_ROUND + 1) * EPOCHS_PER_ROUND
    return round_start + rng.randrange(256) * MAX_MEMBERS + rank


def choose_chain(
    candidates: Iterable[str],
    excluded: Collection[str],
    is_enough: Callable[[Collection[str]], bool],
    in_contact: Callable[[str, str], bool],
) -> tuple[str, ...]:
    """Choose as many candidates as all hear each other, preferring the first ones.

    If those are not enough, all candidates are chosen, including the excluded ones.

    >>> two = lambda chosen: len(chosen) >= 2
    >>> choose_chain("abc", "", two, lambda first, second: {first, second} != {"a", "b"})
    ('a', 'c')
    >>> choose_chain("abc", "c", two, lambda first, second: True)
    ('a', 'b')
    >>> choose_chain("ab", "b", two, lambda first, second: True)
    ('a', 'b')
    """
    ordered = tuple(candidates)
    chosen: list[str] = []
    for candidate in ordered:
        if candidate in excluded:
            continue
        if all(in_contact(candidate, member) for member in chosen):
            chosen.append(candidate)
    return tuple(chosen) if is_enough(chosen) else ordered
