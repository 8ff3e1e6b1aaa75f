"""The head's part: it decides conditional writes, and orders those that it accepts.

A write that changes nothing is answered once the writes that its decision stands upon are
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

MAX_UNCOMMITTED = 64  # writes on their way that a head takes

# Decides what a put comes to: of the map at the head, the key, what is put, the epoch.
Decider = Callable[[Mapping[str, JsonValue], str, JsonValue, int], Decision]


class _Waiting(NamedTuple):
    """A decision that changes nothing."""

    sequence: int  # of the write that must be committed first
    call: CallId
    decision: Decision


class Head:
    """Decides each put once, also where its message comes twice."""

    def __init__(self, context: Context, chain: Chain, reads: Reads, decide: Decider) -> None:
        self._context, self._chain, self._reads, self._decide = context, chain, reads, decide
        self._decided = DecidedWrites()
        self._waiting: list[_Waiting] = []
        chain.subscribe(self._ask_for_waiting)

    def reset(self) -> None:
        """Another view was accepted: what was decided is its callers' to repeat."""
        self._decided = DecidedWrites()
        self._waiting = []

    def on_put(self, sender: str, message: PutRequest) -> None:
        """A conditional write came."""
        views = self._context.views
        if not message.epoch or message.epoch != views.joined or views.chain_index != 0:
            return
        call = CallId(sender, message.incarnation, message.number)
        earlier = self._decided.find(message.incarnation, message.number)
        if earlier is not None:
            self._repeat(call, *earlier)
        elif views.promise != message.epoch:
            refused = PutRefused(message.epoch, message.incarnation, message.number)
            self._context.outbox.send(sender, refused)
        elif views.serving and self._has_room():
            self._decide_anew(call, message)

    def _has_room(self) -> bool:
        return self._chain.uncommitted < MAX_UNCOMMITTED and len(self._waiting) < MAX_UNCOMMITTED

    def _repeat(self, call: CallId, sequence: int, decision: Decision) -> None:
        if decision.outcome is not Outcome.ACCEPTED:
            self._wait(sequence, call, decision)
        elif 0 <= sequence <= self._context.committed_sequence:
            send_decision(self._context, call, decision)

    def _decide_anew(self, call: CallId, message: PutRequest) -> None:
        values = self._context.map.values
        decision = self._decide(values, message.key, message.value, message.epoch)
        is_accepted = decision.outcome is Outcome.ACCEPTED
        if is_accepted:
            self._chain.append([Entry(message.key, decision.value, call)])
        sequence = self._context.map.last_sequence
        self._decided.note(call.incarnation, call.number, sequence, decision)
        if not is_accepted:
            self._wait(sequence, call, decision)

    def _wait(self, sequence: int, call: CallId, decision: Decision) -> None:
        """Answer once that write is committed, and a majority has been asked."""
        is_waiting = any(waiting.call == call for waiting in self._waiting)
        if sequence >= 0 and self._reads.has_room and not is_waiting:
            self._waiting.append(_Waiting(sequence, call, decision))
            self._ask_for_waiting()

    def _ask_for_waiting(self) -> None:
        """Those whose write is committed: a majority is asked."""
        committed = self._context.committed_sequence
        for waiting in self._waiting:
            if waiting.sequence <= committed:
                self._reads.add(waiting.call, waiting.decision)
        self._waiting = [waiting for waiting in self._waiting if waiting.sequence > committed]
        self._reads.begin_round()
