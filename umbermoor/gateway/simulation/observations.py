"""Internal state of running programs as plain values, for the invariants."""

import json
from collections.abc import Callable, Iterator
from typing import Any

from umbermoor.gateway.discovery.registry import DRAINING, GONE
from umbermoor.gateway.replication.status import ReplicaStatus, Role
from umbermoor.gateway.replication.view import Version
from umbermoor.gateway.simulation.nodes import ControllerNode, ProxyNode

NO_VERSION: Version = (0, 0)
SERVING_ROLES = (Role.HEAD, Role.MIDDLE, Role.TAIL)


def canonical(record: Any) -> str:
    """Return a text that is equal for equal records."""
    return json.dumps(record, sort_keys=True)


def replica_started(node: ControllerNode) -> bool:
    """Whether the controller's program, and with it the replica, is running."""
    return node.program is not None


def replica_status(node: ControllerNode) -> ReplicaStatus:
    """Return the status of a running controller's replica."""
    return node.running_program.replica.status()


def is_serving(status: ReplicaStatus) -> bool:
    """Whether the replica is in the chain and serves."""
    return status.role in SERVING_ROLES


def committed_version(node: ControllerNode) -> Version:
    """Return the newest version that a running controller knows to be committed."""
    return node.running_program.replica.version


def committed_state(node: ControllerNode) -> dict[str, str]:
    """Return the records that a running controller knows to be committed, as canonical texts."""
    return {key: canonical(value) for key, value in node.running_program.replica.committed.items()}


RolloutDecisions = list[tuple[str, dict[str, Any]]]  # services and records to be written


def observe_decisions(node: ControllerNode, observe: Callable[[RolloutDecisions], None]) -> None:
    """Have `observe` called with each rollout decision of a controller before it is written.

    Does nothing if the program is already observed.
    """
    coordinator: Any = node.running_program.rollouts
    if "tick" in coordinator.__dict__:
        return
    tick = coordinator.tick

    def observed_tick(now: int) -> RolloutDecisions:
        decisions = tick(now)
        observe(decisions)
        return decisions

    coordinator.tick = observed_tick


def configuration_in_force(proxy: ProxyNode) -> int:
    """Return the revision of the configuration in force at a running proxy, or 0 for none."""
    routes = proxy.running_program.requests.routes
    return routes.revision if routes is not None else 0


def route_names(proxy: ProxyNode) -> set[str]:
    """Return the names of the routes in force at a running proxy."""
    return {route.name for route in proxy.running_program.requests.routes or ()}


def departing_instances(proxy: ProxyNode) -> Iterator[str]:
    """Yield the ids of the instances that a running proxy knows to be draining or gone."""
    for instance_id, entry in proxy.running_program.controllers.subscriber.instances.items():
        if entry.state in (DRAINING, GONE):
            yield instance_id


def lists_instance(proxy: ProxyNode, instance_id: str) -> bool:
    """Whether a running proxy may send requests to an instance."""
    return instance_id in proxy.running_program.instances.by_id


def rollout_records(proxy: ProxyNode) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield services with the rollout records that a running proxy applies to them."""
    for service, rollout in proxy.running_program.rollouts.services.items():
        if rollout.record is not None:
            yield service, rollout.record.document
