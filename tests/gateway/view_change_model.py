"""A small abstract model of the agreement on views and replica sets, explored exhaustively.

There are three members 0, 1, 2 and a newcomer 3. Each proposal has an epoch of its own and a
membership change, and any machine may propose it. The steps are: a proposal begins; a machine
promises; a proposal's view is sent, with any chain that its sets allow; a machine accepts; a
proposer learns that its view is active; a machine tells another that a view is active; a disk is
lost; a machine whose disk was lost learns what was promised. Messages may be delayed without limit,
and a machine that has ended is one that takes no steps. The model takes for granted that the
promise of a disk that was lost later no longer counts; in the protocol that rests on time
(DISK_LOSS_QUARANTINE is longer than COLLECT_PROMISES_TIMEOUT).

Invariants: of two active views, the later one is based on the earlier one, so that acknowledged
writes are kept; and either the two views have the same sets, or the old set of the later view is
the new set of the earlier one.
"""

from collections.abc import Iterator
from typing import NamedTuple

MACHINE_COUNT = 4
INITIAL_MEMBERS = 0b0111
SUBSETS = tuple(range(1 << MACHINE_COUNT))
Sets = tuple[int, int]  # old and new set, as bit masks


class Rules(NamedTuple):
    """Rules of the agreement, each of which a test may break."""

    counts_learners: bool = False  # promises of machines that are to be filled count
    needs_new_majority_only: bool = False  # a change needs no majority of the old set
    ignores_newer_sets: bool = False  # a change goes on although a promise reports a newer set
    changes_unproven_view: bool = (
        False  # the next change may begin on a view that is not known to be active
    )
    fills_without_query: bool = (
        False  # a machine without its disk accepts a view before it learns what was promised
    )
    fills_from_other_set: bool = (
        False  # such a machine accepts a view that follows another set than the one it queried
    )


CORRECT_RULES = Rules()


class MembershipChange(NamedTuple):
    add: int = -1
    remove: int = -1


class Machine(NamedTuple):
    promised: int
    accepted_epoch: int  # epoch of the view accepted last; -1: none
    proven: int  # epoch of the latest view known to be active
    disk_lost: bool
    promise_floor: int  # if the disk was lost: no lost promise is higher; -1: not known


class CollectingProposal(NamedTuple):
    proposer: int
    known_epoch: int
    before: Sets
    sets: Sets
    is_change: bool
    promises: tuple[
        tuple[int, bool, int, int], ...
    ]  # machine, disk lost, accepted epoch, proven epoch


class SentView(NamedTuple):
    proposer: int
    base: int
    sets: Sets
    chain: int
    accepted: int
    active: bool


State = tuple[
    tuple[Machine, ...], tuple[CollectingProposal | SentView | None, ...], int
]  # machines, proposals, and how many more disks may be lost


def majority(subset: int, members: int) -> bool:
    return 2 * (subset & members).bit_count() > members.bit_count()


def quorum(subset: int, sets: Sets) -> bool:
    return majority(subset, sets[0]) and majority(subset, sets[1])


def intersects_all_majorities(subset: int, sets: Sets) -> bool:
    return all(
        (subset & members).bit_count() > members.bit_count() - (members.bit_count() // 2 + 1)
        for members in sets
    )


# Machine 3 has replaced machine 0, which does not know it. Machine 0 is to replace machine 1, and a
# later view of machines 1 and 3 is active. Then machine 3 lost its disk, and knows only the first
# set.
DISK_LOST_BEHIND_A_LATER_VIEW: State = (
    (
        Machine(0, 0, 0, False, 0),
        Machine(3, 3, 1, False, 0),
        Machine(1, 1, 1, False, 0),
        Machine(0, -1, 0, True, -1),
    ),
    (
        SentView(2, 0, (0b0111, 0b1110), 0b1110, 0b1110, True),
        CollectingProposal(1, 1, (0b1110, 0b1110), (0b1110, 0b1101), True, ((1, False, 1, 1),)),
        SentView(3, 1, (0b1110, 0b1110), 0b1010, 0b1010, False),
    ),
    0,
)


class SafetyViolation(AssertionError):
    pass


class StateSpace:
    """All states that can follow from some proposals; they have the epochs from 1 on."""

    def __init__(
        self,
        changes: tuple[MembershipChange, ...],
        losses: int,
        rules: Rules = CORRECT_RULES,
        start: State | None = None,
    ) -> None:
        self.changes, self.rules = changes, rules
        machines = tuple(Machine(0, 0, 0, False, 0) for _ in range(3)) + (
            Machine(0, -1, 0, True, 0),
        )
        self.start: State = start or (machines, (None,) * len(changes), losses)

    def sets(self, state: State, epoch: int) -> Sets:
        if epoch <= 0:
            return INITIAL_MEMBERS, INITIAL_MEMBERS
        view = state[1][epoch - 1]
        assert isinstance(view, SentView)
        return view.sets

    def known_sets(self, state: State, machine: Machine) -> Sets:
        if machine.proven >= machine.accepted_epoch:
            new = self.sets(state, machine.proven)[1]
            return new, new
        return self.sets(state, machine.accepted_epoch)

    def steps(self, state: State) -> Iterator[State]:
        machines, views, losses = state
        for index, view in enumerate(views):
            epoch = index + 1
            if view is None:
                yield from self._begin(state, index)
            elif isinstance(view, CollectingProposal):
                for number, machine in enumerate(machines):
                    if all(promise[0] != number for promise in view.promises):
                        if (
                            machine.disk_lost
                            and machine.promise_floor >= 0
                            and epoch > machine.promise_floor
                        ):
                            yield self._replace_view(
                                state, index, _with_promise(view, number, machine)
                            )
                        elif not machine.disk_lost and epoch > machine.promised:
                            yield self._replace_view(
                                state,
                                index,
                                _with_promise(view, number, machine),
                                number,
                                machine._replace(promised=epoch),
                            )
                yield from self._send_view(state, index, view)
            else:
                for number, machine in enumerate(machines):
                    bit = 1 << number
                    if not view.chain & bit or view.accepted & bit:
                        continue
                    may_fill = not machine.disk_lost or self._may_fill(state, machine, epoch, view)
                    if epoch >= machine.promised and epoch > machine.accepted_epoch and may_fill:
                        accepted_view = view._replace(accepted=view.accepted | bit)
                        yield self._replace_view(
                            state,
                            index,
                            accepted_view,
                            number,
                            Machine(epoch, epoch, machine.proven, False, 0),
                        )
                if view.accepted == view.chain and not view.active:
                    self._check_active(state, epoch)
                    machine = machines[view.proposer]
                    yield self._replace_view(
                        state,
                        index,
                        view._replace(active=True),
                        view.proposer,
                        self._learn_active(state, machine, max(machine.proven, epoch)),
                    )
        for number, machine in enumerate(machines):
            for other in machines:
                if other.proven > machine.proven:
                    yield self._replace_machine(
                        state, number, self._learn_active(state, machine, other.proven)
                    )
            if machine.disk_lost and machine.promise_floor < 0:
                known = self.known_sets(state, machine._replace(accepted_epoch=-1))
                answering = sum(
                    1 << place
                    for place, other in enumerate(machines)
                    if not other.disk_lost and place != number
                )
                for subset in SUBSETS:
                    if subset & ~answering == 0 and intersects_all_majorities(subset, known):
                        floor = max(
                            other.promised
                            for place, other in enumerate(machines)
                            if subset >> place & 1
                        )
                        yield self._replace_machine(
                            state, number, machine._replace(promise_floor=floor)
                        )
            if losses and not machine.disk_lost:
                without_promises = tuple(
                    view._replace(
                        promises=tuple(promise for promise in view.promises if promise[0] != number)
                    )
                    if isinstance(view, CollectingProposal)
                    else view
                    for view in views
                )
                remaining = [*machines]
                remaining[number] = Machine(0, -1, 0, True, -1)
                kept_views = tuple(
                    None
                    if isinstance(view, CollectingProposal) and view.proposer == number
                    else view
                    for view in without_promises
                )
                yield tuple(remaining), kept_views, losses - 1

    def _learn_active(self, state: State, machine: Machine, proven: int) -> Machine:
        """Return the machine once it knows that the view is active.

        If the set changed, what the machine learnt about promises in the earlier set is void.
        """
        changed = self.sets(state, proven)[1] != self.sets(state, machine.proven)[1]
        floor = -1 if machine.disk_lost and changed else machine.promise_floor
        return machine._replace(proven=proven, promise_floor=floor)

    def _may_fill(self, state: State, machine: Machine, epoch: int, view: SentView) -> bool:
        """Whether a machine whose disk was lost may accept a view.

        It must have queried the set that the view follows, and no promise there may reach the
        view's epoch.
        """
        if self.rules.fills_without_query:
            return True
        queried = self.known_sets(state, machine._replace(accepted_epoch=-1))[1]
        is_followed = queried == view.sets[0] or self.rules.fills_from_other_set
        return 0 <= machine.promise_floor < epoch and is_followed

    def _begin(self, state: State, index: int) -> Iterator[State]:
        epoch, change = index + 1, self.changes[index]
        is_change = change != MembershipChange()
        for number, machine in enumerate(state[0]):
            sets = self.known_sets(state, machine)
            if (
                machine.disk_lost
                or epoch <= machine.promised
                or not (sets[0] | sets[1]) >> number & 1
            ):
                continue
            proposed = sets
            if is_change:
                serving = machine.accepted_epoch == machine.proven == machine.promised
                if not serving and not (
                    self.rules.changes_unproven_view and machine.accepted_epoch == machine.promised
                ):
                    continue
                new = sets[1]
                if (change.add >= 0 and new >> change.add & 1) or (
                    change.remove >= 0 and not new >> change.remove & 1
                ):
                    continue
                after = new | (1 << change.add if change.add >= 0 else 0)
                proposed = new, after & ~(1 << change.remove if change.remove >= 0 else 0)
            begun = CollectingProposal(
                number,
                max(machine.accepted_epoch, machine.proven),
                sets,
                proposed,
                is_change,
                (),
            )
            yield self._replace_view(
                state,
                index,
                _with_promise(begun, number, machine),
                number,
                machine._replace(promised=epoch),
            )

    def _send_view(self, state: State, index: int, view: CollectingProposal) -> Iterator[State]:
        known_epoch, sets = view.known_epoch, view.before
        for _, disk_lost, accepted_epoch, proven in sorted(
            view.promises, key=lambda promise: max(promise[2], promise[3])
        ):
            newest = accepted_epoch if accepted_epoch > proven and not disk_lost else proven
            if newest < known_epoch:
                continue
            newest_sets = self.sets(state, newest)
            if newest == proven:
                newest_sets = newest_sets[1], newest_sets[1]
            elif newest == known_epoch:
                continue
            known_epoch, sets = newest, newest_sets
        is_change = view.is_change and (sets == view.before or self.rules.ignores_newer_sets)
        if is_change:
            sets = view.sets
        asked = (sets[1], sets[1]) if is_change and self.rules.needs_new_majority_only else sets
        counting = [
            promise
            for promise in view.promises
            if (not promise[1] or self.rules.counts_learners)
            and (sets[0] | sets[1]) >> promise[0] & 1
        ]
        if not quorum(sum(1 << promise[0] for promise in counting), asked):
            return
        base = max(promise[2] for promise in counting)
        if base < 0:
            return
        promised = sum(1 << promise[0] for promise in view.promises)
        change = self.changes[index]
        for chain in SUBSETS:
            if chain & ~promised or chain & ~(sets[0] | sets[1]) or not quorum(chain, asked):
                continue
            if is_change and (
                chain & ~sets[1] or (change.add >= 0 and not chain >> change.add & 1)
            ):
                continue
            yield self._replace_view(
                state, index, SentView(view.proposer, base, sets, chain, 0, False)
            )

    def _check_active(self, state: State, epoch: int) -> None:
        """Check the invariants when the view of that epoch becomes active."""
        active = [
            other
            for other, view in enumerate(state[1], 1)
            if isinstance(view, SentView) and view.active
        ]
        active = sorted({0, epoch, *active})
        for earlier, later in zip(active, active[1:]):
            if earlier and earlier not in self._ancestors(state, later):
                raise SafetyViolation(f"view {later} is not based on view {earlier}: {state}")
            before, after = self.sets(state, earlier), self.sets(state, later)
            if after[0] != before[1] and after != before:
                raise SafetyViolation(
                    f"the sets {after} of view {later} follow {before} of view {earlier}: {state}"
                )

    def _ancestors(self, state: State, epoch: int) -> set[int]:
        ancestors = set()
        while epoch > 0:
            ancestors.add(epoch)
            epoch = state[1][epoch - 1].base
        return ancestors

    def _replace_view(
        self,
        state: State,
        index: int,
        view: CollectingProposal | SentView,
        number: int = -1,
        machine: Machine | None = None,
    ) -> State:
        views = [*state[1]]
        views[index] = view
        machines = state[0]
        if machine is not None:
            machines = (*machines[:number], machine, *machines[number + 1 :])
        return machines, tuple(views), state[2]

    def _replace_machine(self, state: State, number: int, machine: Machine) -> State:
        return (*state[0][:number], machine, *state[0][number + 1 :]), state[1], state[2]

    def explore(self, max_states: int = 1 << 40) -> tuple[int, bool]:
        """Return how many states there are, and whether all were visited.

        Raises:
            SafetyViolation: a state breaks an invariant.
        """
        seen = {self.start}
        pending = [self.start]
        while pending:
            for state in self.steps(pending.pop()):
                if state not in seen:
                    if len(seen) >= max_states:
                        return len(seen), False
                    seen.add(state)
                    pending.append(state)
        return len(seen), True


def _with_promise(view: CollectingProposal, number: int, machine: Machine) -> CollectingProposal:
    promise = (number, machine.disk_lost, machine.accepted_epoch, machine.proven)
    return view._replace(promises=tuple(sorted((*view.promises, promise))))
