"""Which epoch this replica has promised, which view it has accepted, which one is active.

The acceptor's state of Lamport, Paxos Made Simple (2001), with the place in the chain that follows
from it.
"""

from umbermoor.gateway.replication.stored_records import StoredState, promise_record
from umbermoor.gateway.replication.view import NO_VIEW, View
from umbermoor.gateway.replication.write_queue import Callback, WriteQueue


class ViewState:
    """Promise and views. What is not said to be synced is, or will next be, on disk."""

    def __init__(self, own_name: str, disk: WriteQueue, stored: StoredState) -> None:
        self._own_name, self._disk = own_name, disk
        self.promise = stored.promise
        self.promise_synced = stored.promise
        self.accepted = stored.view  # last
        self.joined = 0  # the epoch that was accepted in this incarnation
        self.joined_synced = 0
        self.active = NO_VIEW  # the newest one known to be active
        self.serving_since = 0  # when the view joined was accepted, or came to be active; us

    def give_promise(self, epoch: int, then: Callback) -> None:
        """Promise to accept nothing below that epoch; calls `then` once that is synced."""
        self.promise = epoch
        self._disk.enqueue(promise_record(epoch), "promise", then)

    def promise_is_synced(self, epoch: int) -> None:
        """That promise is on disk."""
        self.promise_synced = max(self.promise_synced, epoch)

    def accept(self, view: View) -> None:
        """Accept that view; the caller writes it down."""
        self.promise = self.joined = view.epoch
        self.accepted = view

    def accept_is_synced(self, epoch: int) -> None:
        """The view of that epoch is on disk."""
        self.promise_synced = max(self.promise_synced, epoch)
        self.joined_synced = epoch

    def activate(self, view: View) -> None:
        """All of its chain have accepted that view."""
        self.active = view

    def restart_silence(self, now: int) -> None:
        """From now on the others of the chain are expected to be heard in the view joined."""
        self.serving_since = now

    @property
    def serving(self) -> bool:
        """Whether the view joined is active, and nothing later was promised."""
        return 0 < self.joined == self.active.epoch == self.promise

    @property
    def chain_index(self) -> int:
        """This replica's place in the chain accepted; 0: head. Raises ValueError outside of it."""
        return self.accepted.chain.index(self._own_name)

    @property
    def predecessor(self) -> str | None:
        """Who is before it in the chain; None: it is the head."""
        return self._neighbour(-1)

    @property
    def successor(self) -> str | None:
        """Who is after it in the chain; None: it is the tail."""
        return self._neighbour(+1)

    def _neighbour(self, step: int) -> str | None:
        place = self.chain_index + step
        chain = self.accepted.chain
        return chain[place] if 0 <= place < len(chain) else None
