"""Changes of the replica set, ordered by an operator or begun for a departed member.

A chain member begins the replacement of a departed member by itself: the head at once, each later
one after a longer delay.

Source: joint consensus, see `replica_set`. The reasons for refusals are in docs/replication.md.
Times are in microseconds.
"""

from typing import NamedTuple

from umbermoor.gateway.effects import CallResult, Status
from umbermoor.gateway.replication.change_plan import (
    ChangePlan,
    plan_change,
    zone_with_new_majority,
)
from umbermoor.gateway.replication.codec import is_name
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.heartbeats import Heartbeats
from umbermoor.gateway.replication.learners import known_zones, ready_learners
from umbermoor.gateway.replication.succession import Succession, find_successions
from umbermoor.gateway.replication.timing import CHANGE_TIMEOUT, SUCCESSION_STAGGER
from umbermoor.gateway.replication.view_change import ViewChange


class _Change(NamedTuple):
    """A change in progress."""

    request_id: int | None  # None: begun by this replica itself
    until: int
    add: str
    remove: str


class RefusedSuccession(NamedTuple):
    """A succession that was refused because it would leave too few members."""

    succession: Succession
    reason: str


class Reconfiguration:
    """Runs changes of the replica set, one at a time."""

    def __init__(self, context: Context, view_change: ViewChange, heartbeats: Heartbeats) -> None:
        self._context, self._view_change, self._heartbeats = context, view_change, heartbeats
        self._change: _Change | None = None
        self._due_succession: Succession | None = None
        self._due_since = 0
        self.begun_succession: Succession | None = None  # the last succession that was begun here
        self.refused_succession: RefusedSuccession | None = None  # a due succession that is refused

    def change(self, request_id: int, add: str, remove: str, dry_run: bool) -> None:
        """Begin a change of the replica set: add, remove or replace a member."""
        context = self._context
        if not context.views.serving:
            reason = "this member is not in the chain"
            self._finish(request_id, Status.UNAVAILABLE, reason)
        elif self._is_done(add, remove):
            self._finish(request_id, Status.OK, self._current_plan())
        elif (plan := self.plan(add, remove)).refusal or dry_run:
            self._contact_newcomer(add)
            status = Status.CONFLICT if plan.refusal else Status.OK
            self._finish(request_id, status, plan)
        elif self._change:
            self._finish(request_id, Status.CONFLICT, "another change is under way")
        else:
            self._change = _Change(request_id, context.now + CHANGE_TIMEOUT, add, remove)
            self.tick()

    def _finish(self, request_id: int | None, status: Status, answer: ChangePlan | str) -> None:
        """Answer the call, if the change has one, with the plan or the reason."""
        if request_id is None:
            return
        value = {"why": answer} if isinstance(answer, str) else answer.to_json()
        self._context.outbox.finish(CallResult(request_id, status, value))

    def _contact_newcomer(self, newcomer: str) -> None:
        """Send a heartbeat to a newcomer that is not heard, so that it learns about the system.

        It may have no other way to learn about it, because all of its seeds may be gone.
        """
        context = self._context
        if not newcomer or not is_name(newcomer):
            return
        if newcomer not in (*context.sets.names, *context.learners.heard(context.now)):
            self._heartbeats.send(newcomer)

    # plans

    def plan(self, add: str, remove: str) -> ChangePlan:
        """Return what a change would leave, and the reason if it would be refused."""
        context = self._context
        present = context.sets.current
        plan = plan_change(
            present,
            context.views.active.chain,
            ready_learners(context),
            add,
            remove,
            context.identity.tolerated_losses,
        )
        if not plan.refusal:
            plan = plan._replace(refusal=self._refuse_zone(plan))
        if not plan.refusal and (incompatible := self._find_incompatible_member(remove)):
            refusal = f"{incompatible} runs a revision that knows no changes of the members"
            plan = plan._replace(refusal=refusal)
        return plan

    def _refuse_zone(self, plan: ChangePlan) -> str:
        present = self._context.sets.current.members
        zone = zone_with_new_majority(present, plan.members, known_zones(self._context))
        return f"would leave a majority in zone {zone}, where none is now" if zone else ""

    def _find_incompatible_member(self, remove: str) -> str:
        """Return a member last heard to run a revision without membership changes; "": none.

        This includes members that are away: once back, such a member would make no promises to a
        majority that it does not know. A member that is away may itself be removed, because too few
        of the members that it knows would still listen to it.
        """
        context = self._context
        for name in context.sets.names:
            is_away = name not in context.views.active.chain
            peer = context.peers.get(name)
            is_removed = is_away and name == remove
            if peer and peer.heartbeat.set_number is None and not is_removed:
                return name
        return ""

    def _is_done(self, add: str, remove: str) -> bool:
        members = self._context.sets.current.members
        is_added = not add or add in members
        is_removed = not remove or remove not in members
        return bool(add or remove) and is_added and is_removed

    def _current_plan(self) -> ChangePlan:
        return self.plan("", "")._replace(refusal="")

    # the change in progress

    def tick(self) -> None:
        """Advance the change in progress, or begin the succession of a departed member."""
        if not self._change and not self._view_change.attempt:
            self._begin_succession()
        change = self._change
        if not change:
            return
        context = self._context
        is_proven = context.sets.proven.epoch >= context.views.accepted.epoch
        if self._is_done(change.add, change.remove) and is_proven:
            self._end_change(change, Status.OK, self._current_plan())
        elif context.now >= change.until:
            reason = "not agreed in time; it may come to be"
            self._end_change(change, Status.UNAVAILABLE, reason)
        elif self._may_propose():
            self._propose(change)

    def _may_propose(self) -> bool:
        context = self._context
        is_healthy = context.disk.healthy(context.now)
        return self._view_change.may_begin and context.views.serving and is_healthy

    def _propose(self, change: _Change) -> None:
        plan = self.plan(change.add, change.remove)
        if plan.refusal:
            self._end_change(change, Status.CONFLICT, plan)
            return
        joint = self._context.sets.current.changed(change.add, change.remove)
        self._view_change.propose(changed_set=joint, newcomer=change.add)

    def _end_change(self, change: _Change, status: Status, answer: ChangePlan | str) -> None:
        self._finish(change.request_id, status, answer)
        self._change = None

    # succession

    def _begin_succession(self) -> None:
        """Begin the first succession that is due and would not be refused.

        The head begins it at once. Each member further down the chain waits longer. If a succession
        is then still due there, that member knows more than those before it, such as the departed
        member's zone.
        """
        context = self._context
        due = self._find_due_succession()
        if due != self._due_succession:
            self._due_succession, self._due_since = due, context.now
        if due is None:
            return
        delay = context.views.chain_index * SUCCESSION_STAGGER
        if context.now - self._due_since >= delay:
            self.begun_succession = due
            until = context.now + CHANGE_TIMEOUT
            self._change = _Change(None, until, due.newcomer, due.member)

    def _find_due_succession(self) -> Succession | None:
        self.refused_succession = None
        for succession in find_successions(self._context):
            refusal = self.plan(*succession).refusal
            if not refusal:
                return succession
            self.refused_succession = RefusedSuccession(succession, refusal)
        return None
