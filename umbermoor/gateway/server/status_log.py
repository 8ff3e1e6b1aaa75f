"""Logs changes of the replica set and the view, and successions, as seen by this replica."""

from umbermoor.gateway.replication.reconfiguration import RefusedSuccession
from umbermoor.gateway.replication.replica import Replica
from umbermoor.gateway.replication.status import ReplicaStatus
from umbermoor.gateway.replication.succession import Succession
from umbermoor.gateway.server import events


class StatusLog:
    """Logs changes by comparing the status with the last one logged."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._logged_set: tuple[object, ...] | None = None
        self._logged_view: tuple[object, ...] | None = None
        self._logged_begun: Succession | None = None
        self._logged_refused: RefusedSuccession | None = None

    def tick(self) -> None:
        """Log what has changed since the last call."""
        status = self._replica.status()
        self._log_set(status)
        self._log_view(status)
        self._log_successions()

    def _log_successions(self) -> None:
        reconfiguration = self._replica.reconfiguration
        begun, refused = reconfiguration.begun_succession, reconfiguration.refused_succession
        if begun and begun != self._logged_begun:
            events.event("succession_begun", member=begun.member, newcomer=begun.newcomer)
        if refused and refused != self._logged_refused:
            member, newcomer = refused.succession.member, refused.succession.newcomer
            events.event(
                "succession_refused", member=member, newcomer=newcomer, reason=refused.reason
            )
        self._logged_begun, self._logged_refused = begun, refused

    def _log_set(self, status: ReplicaStatus) -> None:
        current = status.set_number, status.degraded
        if current != self._logged_set:
            self._logged_set = current
            events.event(
                "replica_set_changed",
                number=status.set_number,
                members=",".join(status.members) or "none",
                degraded=status.degraded,
            )

    def _log_view(self, status: ReplicaStatus) -> None:
        connected = self._replica.connected
        current = status.epoch, status.chain, status.role, connected
        if current != self._logged_view:
            self._logged_view = current
            events.event(
                "view_changed",
                epoch=status.epoch,
                chain=",".join(status.chain) or "none",
                role=status.role.value,
                connected=connected,
            )
