"""Reads at the tail, and the quorum rounds that reads and decisions without a write wait for.

The method is the read index of Raft; see `quorum_rounds` for the source, and docs/consistency.md.
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

MAX_WAITING = 256  # calls that may wait for a quorum round


class Reads:
    """Answers calls from the local state once a majority has confirmed that it is the newest."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._rounds = QuorumRounds()

    @property
    def has_room(self) -> bool:
        """Whether one more call may wait for a quorum round."""
        return len(self._rounds) < MAX_WAITING

    def reset(self) -> None:
        """Drop all waiting calls: another view was accepted, and callers must repeat them."""
        self._rounds = QuorumRounds(self._rounds.nonce)

    def void(self) -> None:
        """Discard the round under way, which proves nothing as the process was suspended."""
        self._rounds.void()

    def add(self, call: CallId, question: Question) -> None:
        """Answer the call once a quorum round that begins after this moment has ended."""
        self._rounds.add(call, self._context.now + READ_WAIT_TIMEOUT, question)

    def on_read(self, sender: str, message: ReadRequest) -> None:
        """Handle a read; ignored unless this replica is the serving tail."""
        views = self._context.views
        if message.epoch != views.joined or not views.serving or views.successor is not None:
            return
        if self.has_room:
            self.add(CallId(sender, message.incarnation, message.number), message.version)
        self.begin_round()

    def begin_round(self) -> None:
        """Begin a quorum round if calls wait for one and none is under way."""
        if self._rounds.begin(self._context.rng.getrandbits(48)):
            self._send_questions()
            self._conclude()

    def retry(self) -> None:
        """Expire old calls; ask again in an overdue round, or begin the next one if calls wait."""
        now = self._context.now
        self._rounds.expire(now)
        if self._rounds.is_due(now - RETRY_INTERVAL):
            self._send_questions()
        elif len(self._rounds):
            self.begin_round()

    def _send_questions(self) -> None:
        context = self._context
        self._rounds.note_asked(context.now)
        for name in context.others():
            context.outbox.send(name, Confirm(context.views.joined, self._rounds.nonce))

    def on_confirm(self, sender: str, message: Confirm) -> None:
        """Confirm to a head or tail that no later epoch was promised here, if that is so."""
        context = self._context
        if context.may_vote and context.views.promise <= message.epoch:
            context.outbox.send(sender, Confirmed(message.epoch, message.nonce))

    def on_confirmed(self, sender: str, message: Confirmed) -> None:
        """Count the confirmation of another replica that has promised no later epoch."""
        if message.epoch != self._context.views.joined:
            return
        if self._rounds.confirm(sender, message.nonce):
            self._conclude()

    def _conclude(self) -> None:
        """Answer the calls of the round once a quorum has confirmed it has promised no later epoch.

        These calls came before the round began, so no later view was in force when they came.
        """
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
