"""Views: who is in the chain, under which epoch.

Source: van Renesse and Schneider, Chain Replication (2004); views in place of its master, agreed
on as in Lamport, Paxos Made Simple (2001).
"""

import random
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from umbermoor.gateway.replication.replica_set import MAX_MEMBERS

EPOCHS_PER_ROUND = 256 * MAX_MEMBERS  # of them, each member may draw 256

Version = tuple[int, int]  # epoch, and sequence number of the last write within it


class View(NamedTuple):
    """A configuration of the chain; of two views the one of the higher epoch is in force."""

    epoch: int
    chain: tuple[str, ...]  # from head to tail


NO_VIEW = View(0, ())


def epoch_after(epoch: int, rank: int, rng: random.Random) -> int:
    """An epoch above `epoch` that no member of another rank proposes.

    A part drawn at random makes sure that this member does not propose it again if its disk is
    lost meanwhile.

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
    """Of the candidates, as many as all hear each other, the first ones preferred.

    All of them, if those are not enough.

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
