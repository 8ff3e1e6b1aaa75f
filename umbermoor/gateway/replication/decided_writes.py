"""The puts that the head has decided in its view, in bounded memory."""

from collections import OrderedDict
from dataclasses import dataclass, field

from umbermoor.gateway.effects import Decision, Outcome

MAX_INCARNATIONS = 32  # processes of callers whose decisions are remembered
MAX_DECISIONS_PER_INCARNATION = 256  # remembered decisions for one process
FORGOTTEN = -1  # sequence number given for a decision that is no longer remembered


@dataclass(slots=True)
class _CallerDecisions:
    """The decisions for one process of a caller, by the numbers of its calls."""

    decisions: dict[int, tuple[int, Decision]] = field(default_factory=dict)
    forgotten_up_to: int = 0  # highest call number whose decision was dropped


@dataclass(slots=True)
class DecidedWrites:
    """Remembers decisions, so that a duplicated message is answered alike and not applied twice.

    >>> decided = DecidedWrites()
    >>> decided.remember(7, 1, 12, Decision(Outcome.UNCHANGED))
    >>> decided.find(7, 1)[0], decided.find(7, 2)
    (12, None)
    """

    _by_incarnation: OrderedDict[int, _CallerDecisions] = field(default_factory=OrderedDict)

    def find(self, incarnation: int, number: int) -> tuple[int, Decision] | None:
        """Find the decision on a put.

        Returns:
            The sequence number of the write after which the put can be answered, and the decision
            without its value. The number is FORGOTTEN if the decision is no longer remembered.
            None if the put was not decided.
        """
        caller = self._by_incarnation.get(incarnation) or _CallerDecisions()
        if number in caller.decisions:
            return caller.decisions[number]
        if number <= caller.forgotten_up_to:
            return FORGOTTEN, Decision(Outcome.STALE)
        return None

    def remember(self, incarnation: int, number: int, sequence: int, decision: Decision) -> None:
        """Remember a decision made when the last write of the map had number `sequence`."""
        caller = self._by_incarnation.setdefault(incarnation, _CallerDecisions())
        self._by_incarnation.move_to_end(incarnation)
        caller.decisions[number] = sequence, decision._replace(value=None)
        if len(caller.decisions) > MAX_DECISIONS_PER_INCARNATION:
            oldest = min(caller.decisions)
            del caller.decisions[oldest]
            caller.forgotten_up_to = oldest
        if len(self._by_incarnation) > MAX_INCARNATIONS:
            self._by_incarnation.popitem(last=False)
