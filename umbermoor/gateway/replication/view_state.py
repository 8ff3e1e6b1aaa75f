"""The epoch that this replica has promised, the view it has accepted, and the active view.

This is the acceptor's state of Lamport, Paxos Made Simple (2001), and the position in the chain
that follows from it.
"""

from umbermoor.gateway.replication.stored_records import StoredState, promise_record
from umbermoor.gateway.replication.view import NO_VIEW, View
from umbermoor.gateway.replication.write_queue import Callback, WriteQueue


class ViewState:
    """The promise and the views.

    `promise` and `accepted` are on disk or in a write that is queued; the fields with `synced` in
    their names hold what is certainly on disk. `joined`, `active` and `serving_since` are in
    memory only.
    """

    def __init__(self, own_name: str, disk: WriteQueue, stored: StoredState) -> None:
        self._own_name, self._disk = own_name, disk
        self.promise = stored.promise
        self.promise_synced = stored.promise
        self.accepted = stored.view  # the view accepted last
        self.joined = 0  # the epoch accepted last in this incarnation
        self.joined_synced = 0
        self.active = NO_VIEW  # the newest one known to be active
        self.serving_since = 0  # when the joined view was accepted or became active; us

    def give_promise(self, epoch: int, then: Callback) -> None:
        """Promise to accept no view below that epoch; call `then` once the promise is synced."""
        self.promise = epoch
        self._disk.enqueue(promise_record(epoch), "promise", then)

    def promise_is_synced(self, epoch: int) -> None:
        """Record that the promise of that epoch is synced."""
        self.promise_synced = max(self.promise_synced, epoch)

    def accept(self, view: View) -> None:
        """Accept the view; the caller writes it to disk."""
        self.promise = self.joined = view.epoch
        self.accepted = view

    def accept_is_synced(self, epoch: int) -> None:
        """Record that the accepted view of that epoch is synced."""
        self.promise_synced = max(self.promise_synced, epoch)
        self.joined_synced = epoch

    def activate(self, view: View) -> None:
        """Record that all members of the view's chain have accepted it."""
        self.active = view

    def restart_silence_timer(self, now: int) -> None:
        """Expect the other chain members to be heard in the joined view from now on."""
        self.serving_since = now

    @property
    def serving(self) -> bool:
        """Whether the joined view is active, and no later epoch was promised."""
        return 0 < self.joined == self.active.epoch == self.promise

    @property
    def chain_index(self) -> int:
        """The index of this replica in the accepted chain; the head has index 0.

        Raises:
            ValueError: this replica is not in the chain.
        """
        return self.accepted.chain.index(self._own_name)

    @property
    def predecessor(self) -> str | None:
        """The replica before this one in the chain, or None at the head."""
        return self._neighbour(-1)

    @property
    def successor(self) -> str | None:
        """The replica after this one in the chain, or None at the tail."""
        return self._neighbour(+1)

    def _neighbour(self, step: int) -> str | None:
        index = self.chain_index + step
        chain = self.accepted.chain
        return chain[index] if 0 <= index < len(chain) else None
