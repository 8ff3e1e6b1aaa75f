"""The activation of views: a view is active once all members of its chain have accepted it."""

from collections.abc import Callable

from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.replication.replica_set import ReplicaSet
from umbermoor.gateway.replication.view import View


class ViewActivation:
    """Records the newest active view, its replica set, and what it commits."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener whenever a newer view is known to be active."""
        self._listeners.append(listener)

    def activate_accepted(self) -> None:
        """Record that the view accepted last by this replica is active."""
        sets = self._context.sets
        self.activate(self._context.views.accepted, sets.accepted.replica_set)

    def activate(self, view: View, replica_set: ReplicaSet) -> None:
        """Record that the view is active and carries that set, unless a newer one is known."""
        context = self._context
        views, sets = context.views, context.sets
        if view.epoch == views.accepted.epoch:
            replica_set = sets.accepted.replica_set
        if view.epoch <= views.active.epoch or not view.chain:
            return
        if not set(view.chain) <= set(replica_set.names):
            return
        if view.epoch > sets.proven.epoch:
            sets.record_proven(view.epoch, replica_set)
        views.activate(view)
        if views.joined == view.epoch and context.map.version < (view.epoch, 0):
            context.map.activate(view.epoch)
            views.restart_silence_timer(context.now)
        for listener in self._listeners:
            listener()
