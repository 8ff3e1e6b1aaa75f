"""The puts that a head has decided in its view, in bounded room."""

from collections import OrderedDict
from dataclasses import dataclass, field

from umbermoor.gateway.effects import Decision, Outcome

MAX_INCARNATIONS = 32  # callers' processes that are remembered
MAX_WRITES_EACH = 256
FORGOTTEN = -1  # as the sequence number of a decision that is no longer known


@dataclass(slots=True)
class _Caller:
    """The decisions for one process of a caller, by its numbers."""

    decisions: dict[int, tuple[int, Decision]] = field(default_factory=dict)
    forgotten_up_to: int = 0


@dataclass(slots=True)
class DecidedWrites:
    """Remembers decisions, so that a doubled message is no second put and gets the same answer.

    >>> decided = DecidedWrites()
    >>> decided.note(7, 1, 12, Decision(Outcome.UNCHANGED))
    >>> decided.find(7, 1)[0], decided.find(7, 2)
    (12, None)
    """

    _callers: OrderedDict[int, _Caller] = field(default_factory=OrderedDict)

    def find(self, incarnation: int, number: int) -> tuple[int, Decision] | None:
        """After which write a put is done, and its decision without a value.

        None: it was not decided. FORGOTTEN as the write: that can no longer be told.
        """
        caller = self._callers.get(incarnation) or _Caller()
        if number in caller.decisions:
            return caller.decisions[number]
        if number <= caller.forgotten_up_to:
            return FORGOTTEN, Decision(Outcome.STALE)
        return None

    def note(self, incarnation: int, number: int, sequence: int, decision: Decision) -> None:
        """A put was decided when the map's last write was that of `sequence`."""
        caller = self._callers.setdefault(incarnation, _Caller())
        self._callers.move_to_end(incarnation)
        caller.decisions[number] = sequence, decision._replace(value=None)
        if len(caller.decisions) > MAX_WRITES_EACH:
            oldest = min(caller.decisions)
            del caller.decisions[oldest]
            caller.forgotten_up_to = oldest
        if len(self._callers) > MAX_INCARNATIONS:
            self._callers.popitem(last=False)
