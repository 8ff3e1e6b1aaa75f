"""Reads at the tail, and the quorum rounds that they and repeated decisions wait for.

Source: read index, see `quorum_rounds`; docs/consistency.md.
"""

from collections.abc import Collection

from umbermoor.gateway.effects import Decision
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.messages import (
    CallId,
    Confirm,
    Confirmed,
    ReadReply,
    ReadRequest,
)
from umbermoor.gateway.replication.put_replies import send_decision
from umbermoor.gateway.replication.quorum_rounds import Question, QuorumRounds
from umbermoor.gateway.replication.timing import READ_WAIT_TIMEOUT, RETRY_INTERVAL
from umbermoor.gateway.replication.view import Version

MAX_WAITING = 256  # calls that wait for a round


class Reads:
    """Answers what is known here once a majority has confirmed that it is the newest."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._rounds = QuorumRounds()

    @property
    def has_room(self) -> bool:
        """Whether one more call may wait."""
        return len(self._rounds) < MAX_WAITING

    def reset(self) -> None:
        """Another view was accepted: what waits is its callers' to repeat."""
        self._rounds = QuorumRounds(self._rounds.nonce)

    def void(self) -> None:
        """The process stood still: the round under way proves nothing."""
        self._rounds.void()

    def add(self, call: CallId, question: Question) -> None:
        """Answer that once a round that is still to begin has ended."""
        self._rounds.add(call, self._context.now + READ_WAIT_TIMEOUT, question)

    def on_read(self, sender: str, message: ReadRequest) -> None:
        """A read came to the tail."""
        views = self._context.views
        if message.epoch != views.joined or not views.serving or views.successor is not None:
            return
        if self.has_room:
            self.add(CallId(sender, message.incarnation, message.number), message.version)
        self.begin_round()

    def begin_round(self) -> None:
        """Ask a majority, if something waits for that and none is being asked."""
        if self._rounds.begin(self._context.rng.getrandbits(48)):
            self._ask()
            self._conclude()

    def retry(self) -> None:
        """Ask again those who have not answered, or begin the next round."""
        now = self._context.now
        self._rounds.expire(now)
        if self._rounds.is_due(now - RETRY_INTERVAL):
            self._ask()
        elif len(self._rounds):
            self.begin_round()

    def _ask(self) -> None:
        context = self._context
        self._rounds.note_asked(context.now)
        for name in context.others():
            context.outbox.send(name, Confirm(context.views.joined, self._rounds.nonce))

    def on_confirm(self, sender: str, message: Confirm) -> None:
        """A head or tail asks whether a later epoch was promised here."""
        context = self._context
        if context.may_vote and context.views.promise <= message.epoch:
            context.outbox.send(sender, Confirmed(message.epoch, message.nonce))

    def on_confirmed(self, sender: str, message: Confirmed) -> None:
        """One of the others has promised no later epoch."""
        if message.epoch != self._context.views.joined:
            return
        if self._rounds.confirm(sender, message.nonce):
            self._conclude()

    def _conclude(self) -> None:
        """Answer what came before a quorum told that no later epoch was promised."""
        if not self._context.views.serving:
            return
        for call, question in self._rounds.complete(self._is_quorum):
            if isinstance(question, Decision):
                send_decision(self._context, call, question)
            else:
                self._reply(call, question)
        self.begin_round()

    def _is_quorum(self, confirmed: Collection[str]) -> bool:
        return self._context.sets.current.quorum({self._context.name, *confirmed})

    def _reply(self, call: CallId, callers_version: Version) -> None:
        version = self._context.map.version
        state = None if callers_version == version else dict(self._context.map.committed)
        reply = ReadReply(call.incarnation, call.number, version, state)
        self._context.outbox.send(call.origin, reply)
