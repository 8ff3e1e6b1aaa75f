"""The life of one request: inputs say what happened, `step` says what is to be done next. No I/O.

What it guards: a request that may not repeat goes on to another machine only if it is proved not to
have run; a refusal (503) is told only where that is proved of every machine it went to; second
tries have their budget."""

from dataclasses import dataclass, field
from typing import NamedTuple

from umbermoor.gateway.balancing.attempt_outcomes import UNRUN, Fate, may_promise, may_repeat
from umbermoor.gateway.balancing.instances import Plant


class Told(NamedTuple):
    """The final answer, made here."""

    status: int
    retry_after: float | None = None  # s


class Relay(NamedTuple):
    """The machine's answer, as it came."""

    answer: object


class Wait(NamedTuple):
    """Nothing to do before `until` (us), or the next input."""

    until: int


Step = Told | Relay | Wait

RETRY_SOON = 0.05  # s: told to clients where a machine may be free at once
RETRY_LATER = 0.25  # s: where none is listed, or all are jammed
ANSWER_MARGIN = 15_000  # us: our last word leaves so long before the deadline
HEDGE_PART = 0.45  # of the time left after which a safe request that hangs goes to a second machine


@dataclass(slots=True)
class Exchange:
    """One request. Times in us on the host's steady clock."""

    service: str
    safe: bool
    tries: int
    came: int
    due: int  # when its client or its route gives up
    revision: str | None = None  # the build it goes to
    sends: int = 0  # attempts of which bytes may have left
    unsent: int = 0
    out: dict[int, tuple[Plant, int]] = field(
        default_factory=dict
    )  # attempts under way, since when
    tried: set[str] = field(default_factory=set)
    ran: bool = False  # an attempt ended of which it is not proved that it did not run
    spoilt: int = 502
    answer: object = None
    failed: object = None  # a failure that a machine answered whole
    hedge_at: int = 0
    closed: bool = False

    def attempt(self, now: int, number: int, plant: Plant, hedge_after: int) -> None:
        """The host hands it to a machine."""
        self.out[number] = plant, now
        self.tried.add(plant.id)
        self.sends += 1
        self.hedge_at = (
            now + max(hedge_after, round((self.due - now) * HEDGE_PART)) if self.safe else self.due
        )

    def ended(
        self, number: int, fate: Fate, answer: object = None, status: int = 0
    ) -> Plant | None:
        """An attempt ended; a failed status is a whole answer all the same."""
        held = self.out.pop(number, None)
        if held is None:
            return None
        if fate is Fate.WHOLE:
            if status < 500 or not self.safe:
                self.answer = answer
            else:
                self.failed = answer
            self.ran = True
        elif fate in (Fate.UNSENT, Fate.DROPPED):
            self.sends -= 1
            self.unsent += 1
        elif fate not in UNRUN:
            self.ran = True
        return held[0]

    def may_go_on(self, now: int) -> bool:
        """Whether another machine may be asked now."""
        if self.sends >= self.tries or self.unsent > 4 or now >= self.due - ANSWER_MARGIN:
            return False
        if not self.out:
            return may_repeat(self.safe, self.ran)
        return self.safe and len(self.out) < 2 and now >= self.hedge_at

    def rest(self, now: int) -> Step:
        """What is to be done where no machine is asked (now)."""
        if self.answer is not None:
            return Relay(self.answer)
        if self.out:
            if now >= self.due - ANSWER_MARGIN:
                return Told(504)
            hedge = (
                self.hedge_at
                if self.safe and len(self.out) < 2 and self.sends < self.tries
                else self.due
            )
            until = hedge if now < hedge else self.due
            return Wait(min(until, self.due - ANSWER_MARGIN))
        if self.failed is not None:
            return Relay(self.failed)
        if not may_promise(self.ran, len(self.out)):
            return Told(504 if now >= self.due - ANSWER_MARGIN else self.spoilt)
        return Told(503, RETRY_SOON if self.tried else RETRY_LATER)
