"""The proposer of views: collects promises, decides on the chain, has all of it accept the view.

A view is agreed on as one decree: a majority of the members that have their disks promise an epoch
that nobody else proposes, the state of the highest version among them is taken over, and the view
is active once every member of the new chain has accepted it. Source: Lamport, Paxos Made Simple
(2001), with the whole chain in place of an accepting majority; van Renesse and Schneider, Chain
Replication (2004). The argument: docs/replication.md. Times are microseconds.
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
    COLLECT_PROMISES,
    EXCLUSION,
    GATHER,
    NEW_VIEW_RETRY,
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
        """The attempt under way."""
        return self._proposals.attempt

    @property
    def may_begin(self) -> bool:
        """Whether no attempt is under way, and the pause after the last one is over."""
        return not self.attempt and self._context.now >= self._proposals.not_before

    def consider(self) -> None:
        """Propose a view, if there is a cause that has held for long enough."""
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
        """Begin an attempt at a view.

        Args:
            excluded: who is to be left out of the chain, if it can be without.
            changed_set: the joint set that is to be agreed on with it; None: the set stays.
            newcomer: who must be in the chain, as it is taken in.
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
        """Leave out those, and all that are about to end."""
        context, until = self._context, self._context.now + EXCLUSION
        self._exclusions.expire(context.now)
        for name in excluded:
            self._exclusions.exclude(name, until)
        for name, peer in context.peers.heard(context.now).items():
            if peer.heartbeat.leaving:
                self._exclusions.exclude(name, until)

    # pursuing it

    def pursue(self) -> None:
        """Take the attempt as far as it goes now."""
        attempt, context = self.attempt, self._context
        if not attempt:
            return
        elapsed = context.now - attempt.began
        if context.name not in attempt.replica_set.names:
            self._give_up()  # it learnt that it was taken out: what it holds may be old
        elif context.name not in attempt.promises:  # its own promise is not synced
            if elapsed >= COLLECT_PROMISES:
                self._give_up()
        elif not attempt.chain:
            self._collect(attempt, elapsed)
        elif attempt.accepted.issuperset(attempt.chain):
            self._finish(attempt)
        elif elapsed >= COLLECT_PROMISES + ACCEPT_TIMEOUT:
            self._exclude_silent(attempt)
            self._give_up()
        elif context.now - attempt.sent_at >= NEW_VIEW_RETRY:
            self._send_view(attempt, with_state=True)

    def _give_up(self) -> None:
        self._proposals.give_up(self._context.now, self._context.rng)

    def _collect(self, attempt: Attempt, elapsed: int) -> None:
        context = self._context
        if elapsed >= COLLECT_PROMISES:
            self._give_up()
        elif attempt.replica_set.quorum(attempt.counting()) and self._all_in(attempt, elapsed):
            self._decide(attempt)
        elif context.now - attempt.sent_at >= RETRY_INTERVAL:
            attempt.sent_at = context.now
            prepare = Prepare(attempt.epoch, context.accepted_version)
            for name in attempt.replica_set.names:
                if name != context.name and name not in attempt.promises:
                    context.outbox.send(name, prepare)

    def _all_in(self, attempt: Attempt, elapsed: int) -> bool:
        """Whether all have promised that may be expected to, or have been waited for."""
        if elapsed >= GATHER:
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
        """Those who have not accepted are left out of the next attempts."""
        context = self._context
        for name in attempt.chain:
            if name not in attempt.accepted and name != context.name:
                self._exclusions.exclude(name, context.now + EXCLUSION)

    # deciding on the chain

    def _decide(self, attempt: Attempt) -> None:
        """Enough have promised: decide on the chain and its state."""
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
        """As many as hear each other, with healthy disks; those who stay members first."""
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
                self._exclusions.exclude(name, context.now + EXCLUSION)

    def _send_view(self, attempt: Attempt, with_state: bool) -> None:
        """Ask those who have not accepted; `with_state`: also who should hold the state."""
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
        """Another has promised a higher epoch."""
        if self.attempt and self.attempt.epoch == message.epoch < message.promise:
            self._give_up()

    def on_promised(self, sender: str, message: Promised) -> None:
        """Another has promised the epoch."""
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
            self.pursue()

    def _follow_newest_set(self, attempt: Attempt, message: Promised) -> None:
        """Whose majorities are needed: those of the set of the newest view that any tells of.

        Every view that may have become active was accepted by a majority of the sets that are
        asked, so one of those who promise tells of it: docs/replication.md.
        """
        if not message.accepted_set or not message.proven_set:
            return  # of an earlier revision, in which the set never changes
        epoch, replica_set = message.proven_set.epoch, message.proven_set.replica_set.completed()
        accepted_epoch = message.version[0]
        if accepted_epoch > epoch and not message.disk_lost:
            epoch, replica_set = accepted_epoch, message.accepted_set
        is_joint = replica_set.is_joint
        if epoch < attempt.basis_epoch or (epoch == attempt.basis_epoch and is_joint):
            return
        attempt.follow_set(epoch, replica_set)

    def on_accepted(self, sender: str, message: Accepted) -> None:
        """Another has the view on its disk."""
        attempt = self.attempt
        if attempt and attempt.chain and attempt.epoch == message.epoch:
            attempt.accepted.add(sender)
            self.pursue()
