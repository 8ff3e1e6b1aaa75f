"""The head of the chain: decides conditional writes and orders the accepted ones.

A write that changes nothing is answered only once the writes that its decision depends on are
committed, and a majority has confirmed that no later view is in force: docs/consistency.md.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from umbermoor.gateway.effects import Decision, JsonValue, Outcome
from umbermoor.gateway.replication.chain import Chain
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.decided_writes import DecidedWrites
from umbermoor.gateway.replication.messages import CallId, Entry, PutRefused, PutRequest
from umbermoor.gateway.replication.put_replies import send_decision
from umbermoor.gateway.replication.reads import Reads

MAX_UNCOMMITTED = 64  # the head takes no further write while so many are not yet committed

# Decides the outcome of a put from the map at the head, the key, the value put, and the epoch.
Decider = Callable[[Mapping[str, JsonValue], str, JsonValue, int], Decision]


class _UnansweredDecision(NamedTuple):
    """The decision on a put that changes nothing, not answered yet."""

    sequence: int  # the write that must be committed first
    call: CallId
    decision: Decision


class Head:
    """Decides each put once, even if its message arrives twice."""

    def __init__(self, context: Context, chain: Chain, reads: Reads, decide: Decider) -> None:
        self._context, self._chain, self._reads, self._decide = context, chain, reads, decide
        self._decided = DecidedWrites()
        self._unanswered: list[_UnansweredDecision] = []
        chain.subscribe(self._confirm_committed)

    def reset(self) -> None:
        """Forget all decisions: another view was accepted, and callers must repeat their calls."""
        self._decided = DecidedWrites()
        self._unanswered = []

    def on_put(self, sender: str, message: PutRequest) -> None:
        """Handle a conditional write.

        A put that was decided before gets the same answer. A put is refused, so that the next head
        may take it, if this head has promised a later epoch. It is dropped, for the caller to send
        again, while too many writes are under way or the view does not serve.
        """
        views = self._context.views
        if not message.epoch or message.epoch != views.joined or views.chain_index != 0:
            return
        call = CallId(sender, message.incarnation, message.number)
        earlier = self._decided.find(message.incarnation, message.number)
        if earlier is not None:
            self._answer_again(call, *earlier)
        elif views.promise != message.epoch:
            refused = PutRefused(message.epoch, message.incarnation, message.number)
            self._context.outbox.send(sender, refused)
        elif views.serving and self._has_room():
            self._decide_first_time(call, message)

    def _has_room(self) -> bool:
        return self._chain.uncommitted < MAX_UNCOMMITTED and len(self._unanswered) < MAX_UNCOMMITTED

    def _answer_again(self, call: CallId, sequence: int, decision: Decision) -> None:
        if decision.outcome is not Outcome.ACCEPTED:
            self._answer_when_confirmed(sequence, call, decision)
        elif 0 <= sequence <= self._context.committed_sequence:
            send_decision(self._context, call, decision)

    def _decide_first_time(self, call: CallId, message: PutRequest) -> None:
        values = self._context.map.values
        decision = self._decide(values, message.key, message.value, message.epoch)
        is_accepted = decision.outcome is Outcome.ACCEPTED
        if is_accepted:
            self._chain.append([Entry(message.key, decision.value, call)])
        sequence = self._context.map.last_sequence
        self._decided.remember(call.incarnation, call.number, sequence, decision)
        if not is_accepted:
            self._answer_when_confirmed(sequence, call, decision)

    def _answer_when_confirmed(self, sequence: int, call: CallId, decision: Decision) -> None:
        """Answer once write `sequence` is committed and a majority has confirmed the view.

        Gives no answer if the decision is forgotten (`sequence` is negative) or no call may wait.
        """
        is_waiting = any(waiting.call == call for waiting in self._unanswered)
        if sequence >= 0 and self._reads.has_room and not is_waiting:
            self._unanswered.append(_UnansweredDecision(sequence, call, decision))
            self._confirm_committed()

    def _confirm_committed(self) -> None:
        """Queue a quorum round for the waiting decisions whose write is committed."""
        committed = self._context.committed_sequence
        for waiting in self._unanswered:
            if waiting.sequence <= committed:
                self._reads.add(waiting.call, waiting.decision)
        self._unanswered = [waiting for waiting in self._unanswered if waiting.sequence > committed]
        self._reads.begin_round()
