"""The proposer of views: collects promises, chooses the chain, and has the chain accept the view.

A view is agreed on as a single decree. A majority of the members that have their disks promise an
epoch that no other member proposes, the state of the highest version among them is taken over, and
the view is active once every member of the new chain has accepted it. Source: Lamport, Paxos Made
Simple (2001), with the whole chain in place of an accepting majority; van Renesse and Schneider,
Chain Replication (2004). The argument is in docs/replication.md. Times are in microseconds.
"""

from umbermoor.gateway.replication.acceptor import Acceptor
from umbermoor.gateway.replication.attempt import Attempt, Promise, Proposals
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.heartbeats import Heartbeats
from umbermoor.gateway.replication.messages import Accepted, NewView, Prepare, Promised, Refused
from umbermoor.gateway.replication.peers import Exclusions
from umbermoor.gateway.replication.replica_set import ReplicaSet
from umbermoor.gateway.replication.timing import (
    ACCEPT_TIMEOUT,
    COLLECT_PROMISES_TIMEOUT,
    EXCLUSION_TIME,
    NEW_VIEW_RETRY,
    PROMISE_GATHER_TIME,
    RETRY_INTERVAL,
)
from umbermoor.gateway.replication.view import View, choose_chain, epoch_after
from umbermoor.gateway.replication.view_activation import ViewActivation
from umbermoor.gateway.replication.view_triggers import ViewTriggers


class ViewChange:
    """Proposes views, one attempt at a time."""

    def __init__(
        self,
        context: Context,
        acceptor: Acceptor,
        heartbeats: Heartbeats,
        triggers: ViewTriggers,
        activation: ViewActivation,
        proposals: Proposals,
        exclusions: Exclusions,
    ) -> None:
        self._context, self._acceptor, self._heartbeats = context, acceptor, heartbeats
        self._triggers, self._activation = triggers, activation
        self._proposals, self._exclusions = proposals, exclusions

    @property
    def attempt(self) -> Attempt | None:
        """The attempt in progress, if any."""
        return self._proposals.attempt

    @property
    def may_begin(self) -> bool:
        """Whether no attempt is in progress and the pause after the last one is over."""
        return not self.attempt and self._context.now >= self._proposals.not_before

    def propose_if_due(self) -> None:
        """Propose a view if a trigger has held for long enough."""
        context = self._context
        if (
            not context.is_usable
            or not context.lifecycle.membership_synced
            or not context.views.promise
        ):
            return
        if not self.may_begin:
            return
        trigger = self._triggers.check()
        if trigger:
            self.propose(trigger.excluded)

    # beginning an attempt

    def propose(
        self,
        excluded: frozenset[str] = frozenset(),
        changed_set: ReplicaSet | None = None,
        newcomer: str = "",
    ) -> None:
        """Begin an attempt to agree on a view.

        Args:
            excluded: members to leave out of the chain if it is large enough without them.
            changed_set: the joint set to agree on with the view; None: the set stays as it is.
            newcomer: a new member, which must be in the chain; "": none.
        """
        context, sets, views = self._context, self._context.sets, self._context.views
        self._triggers.reset()
        epoch = self._next_epoch()
        self._exclude(excluded)
        attempt = Attempt(
            epoch=epoch,
            began=context.now,
            excluded=self._exclusions.names(),
            replica_set=changed_set or sets.current,
            basis=sets.current,
            basis_epoch=max(views.accepted.epoch, sets.proven.epoch),
            is_change=changed_set is not None,
            newcomer=newcomer,
        )
        self._proposals.begin(attempt)
        self._acceptor.give_promise(epoch, context.name, context.accepted_version)

    def _next_epoch(self) -> int:
        context = self._context
        highest = max(
            context.views.promise,
            context.peers.highest_promise(),
            context.learners.highest_promise(),
        )
        return epoch_after(highest, context.sets.current.rank(context.name), context.rng)

    def _exclude(self, excluded: frozenset[str]) -> None:
        """Exclude the given members, and all that are about to end."""
        context, until = self._context, self._context.now + EXCLUSION_TIME
        self._exclusions.expire(context.now)
        for name in excluded:
            self._exclusions.exclude(name, until)
        for name, peer in context.peers.heard(context.now).items():
            if peer.heartbeat.leaving:
                self._exclusions.exclude(name, until)

    # advancing the attempt

    def advance_attempt(self) -> None:
        """Advance the attempt as far as possible now."""
        attempt, context = self.attempt, self._context
        if not attempt:
            return
        elapsed = context.now - attempt.began
        if context.name not in attempt.replica_set.names:
            self._give_up()  # it was removed meanwhile, so its state may be old
        elif context.name not in attempt.promises:  # its own promise is not synced yet
            if elapsed >= COLLECT_PROMISES_TIMEOUT:
                self._give_up()
        elif not attempt.chain:
            self._collect(attempt, elapsed)
        elif attempt.accepted.issuperset(attempt.chain):
            self._finish(attempt)
        elif elapsed >= COLLECT_PROMISES_TIMEOUT + ACCEPT_TIMEOUT:
            self._exclude_silent(attempt)
            self._give_up()
        elif context.now - attempt.sent_at >= NEW_VIEW_RETRY:
            self._send_view(attempt, with_state=True)

    def _give_up(self) -> None:
        self._proposals.give_up(self._context.now, self._context.rng)

    def _collect(self, attempt: Attempt, elapsed: int) -> None:
        context = self._context
        if elapsed >= COLLECT_PROMISES_TIMEOUT:
            self._give_up()
        elif attempt.replica_set.quorum(attempt.counting_members()) and self._has_expected_promises(
            attempt, elapsed
        ):
            self._decide(attempt)
        elif context.now - attempt.sent_at >= RETRY_INTERVAL:
            attempt.sent_at = context.now
            prepare = Prepare(attempt.epoch, context.accepted_version)
            for name in attempt.replica_set.names:
                if name != context.name and name not in attempt.promises:
                    context.outbox.send(name, prepare)

    def _has_expected_promises(self, attempt: Attempt, elapsed: int) -> bool:
        """Whether all replicas that can promise have done so, or were waited for long enough."""
        if elapsed >= PROMISE_GATHER_TIME:
            return True
        if attempt.newcomer and attempt.newcomer not in attempt.promises:
            return False
        return all(
            name in attempt.promises or not peer.heartbeat.disk_healthy or not peer.can_join
            for name, peer in self._context.peers.heard(self._context.now).items()
            if name not in attempt.excluded
        )

    def _finish(self, attempt: Attempt) -> None:
        self._proposals.end()
        self._activation.activate(View(attempt.epoch, attempt.chain), attempt.replica_set)
        self._heartbeats.send_all(attempt.replica_set.names)

    def _exclude_silent(self, attempt: Attempt) -> None:
        """Exclude the chain members that have not accepted from the next attempts."""
        context = self._context
        for name in attempt.chain:
            if name not in attempt.accepted and name != context.name:
                self._exclusions.exclude(name, context.now + EXCLUSION_TIME)

    # deciding on the chain

    def _decide(self, attempt: Attempt) -> None:
        """Decide on the chain and its state, after enough members have promised."""
        chosen = self._choose(attempt)
        is_enough = attempt.replica_set.quorum(chosen)
        if not is_enough or (attempt.newcomer and attempt.newcomer not in chosen):
            self._give_up()
            return
        self._exclude_unpromised(attempt)
        newest = attempt.newest_promise()
        attempt.base_version = newest.version
        own_state = newest.state is None
        attempt.state = dict(self._context.map.values) if own_state else newest.state or {}
        attempt.chain = tuple(name for name in attempt.replica_set.names if name in chosen)
        self._send_view(attempt, with_state=False)

    def _choose(self, attempt: Attempt) -> tuple[str, ...]:
        """Choose as many members as hear each other and have healthy disks.

        Members that leave with the change are considered only if the others are too few.
        """
        context, replica_set = self._context, attempt.replica_set
        preferred = (context.name, *context.views.active.chain, *replica_set.names)
        order = [name for name in dict.fromkeys(preferred) if name in attempt.promises]
        unhealthy = {
            name
            for name, peer in context.peers.heard(context.now).items()
            if not peer.heartbeat.disk_healthy
        }
        excluded = attempt.excluded | unhealthy
        quorum, in_contact = replica_set.quorum, attempt.in_contact
        staying = [name for name in order if name in replica_set.members]
        chosen = choose_chain(staying, excluded, quorum, in_contact)
        if not quorum(chosen) and not attempt.is_change:
            chosen = choose_chain(order, excluded, quorum, in_contact)
        return chosen

    def _exclude_unpromised(self, attempt: Attempt) -> None:
        context = self._context
        for name, peer in context.peers.heard(context.now).items():
            is_able = peer.heartbeat.disk_healthy and not peer.heartbeat.disk_lost
            if name not in attempt.promises and is_able:
                self._exclusions.exclude(name, context.now + EXCLUSION_TIME)

    def _send_view(self, attempt: Attempt, with_state: bool) -> None:
        """Send the view to the chain members that have not accepted it.

        With `with_state`, the state is also sent to members that should hold it already.
        """
        attempt.sent_at = self._context.now
        for name in attempt.chain:
            if name in attempt.accepted:
                continue
            promise = attempt.promises[name]
            has_state = not promise.disk_lost and promise.version == attempt.base_version
            new_view = NewView(
                epoch=attempt.epoch,
                chain=attempt.chain,
                members=attempt.replica_set.names,
                replica_set=attempt.replica_set,
                base_version=attempt.base_version,
                state=None if has_state and not with_state else attempt.state,
            )
            self._context.outbox.send(name, new_view)

    # replies

    def on_refused(self, sender: str, message: Refused) -> None:
        """Handle a refusal by a replica that has promised a higher epoch."""
        if self.attempt and self.attempt.epoch == message.epoch < message.promise:
            self._give_up()

    def on_promised(self, sender: str, message: Promised) -> None:
        """Handle a promise of the attempt's epoch."""
        attempt = self.attempt
        if not attempt or attempt.epoch != message.epoch or attempt.chain:
            return
        promise = Promise(
            message.disk_lost, message.version, message.state, frozenset(message.hears)
        )
        self._follow_newest_set(attempt, message)
        needs_no_state = promise.version <= self._context.accepted_version
        if promise.disk_lost or promise.state is not None or needs_no_state:
            attempt.promises.setdefault(sender, promise)
            self.advance_attempt()

    def _follow_newest_set(self, attempt: Attempt, message: Promised) -> None:
        """Require majorities of the replica set of the newest view that any promise reports.

        Every view that may have become active was accepted by a majority of the sets that are
        asked, so it is reported by at least one replica that sends a promise: docs/replication.md.
        """
        if not message.accepted_set or not message.proven_set:
            return  # from an earlier revision, in which the set never changes
        epoch, replica_set = message.proven_set.epoch, message.proven_set.replica_set.completed()
        accepted_epoch = message.version[0]
        if accepted_epoch > epoch and not message.disk_lost:
            epoch, replica_set = accepted_epoch, message.accepted_set
        is_joint = replica_set.is_joint
        if epoch < attempt.basis_epoch or (epoch == attempt.basis_epoch and is_joint):
            return
        attempt.follow_set(epoch, replica_set)

    def on_accepted(self, sender: str, message: Accepted) -> None:
        """Handle the report that another replica has synced the view."""
        attempt = self.attempt
        if attempt and attempt.chain and attempt.epoch == message.epoch:
            attempt.accepted.add(sender)
            self.advance_attempt()
