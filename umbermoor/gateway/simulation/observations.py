"""What the invariants see of a running program, as plain values."""

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
    """A record as a text that is equal for equal records."""
    return json.dumps(record, sort_keys=True)


def replica_started(node: ControllerNode) -> bool:
    """Whether the program runs, and so has its replica."""
    return node.program is not None


def replica_status(node: ControllerNode) -> ReplicaStatus:
    """What the replica of a running controller knows of the chain."""
    return node.running_program.replica.status()


def is_serving(status: ReplicaStatus) -> bool:
    """Whether the replica is in the chain and serves."""
    return status.role in SERVING_ROLES


def committed_version(node: ControllerNode) -> Version:
    """The version up to which a running controller knows the state to be committed."""
    return node.running_program.replica.version


def committed_state(node: ControllerNode) -> dict[str, str]:
    """The records that a running controller knows to be committed, as canonical texts."""
    return {key: canonical(value) for key, value in node.running_program.replica.committed.items()}


RolloutDecisions = list[tuple[str, dict[str, Any]]]  # service and the record to be written


def observe_decisions(node: ControllerNode, observe: Callable[[RolloutDecisions], None]) -> None:
    """Call `observe` with each decision that a controller takes on rollouts, before it is written.

    Does nothing if the program is observed already.
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
    """The revision that a running proxy routes by; 0 for none."""
    routes = proxy.running_program.requests.routes
    return routes.revision if routes is not None else 0


def route_names(proxy: ProxyNode) -> set[str]:
    """The names of the routes that a running proxy has in force."""
    return {route.name for route in proxy.running_program.requests.routes or ()}


def departing_instances(proxy: ProxyNode) -> Iterator[str]:
    """Instances that a running proxy knows to drain or to be gone."""
    for instance_id, entry in proxy.running_program.controllers.subscriber.instances.items():
        if entry.state in (DRAINING, GONE):
            yield instance_id


def lists_instance(proxy: ProxyNode, instance_id: str) -> bool:
    """Whether a running proxy may send requests to an instance."""
    return instance_id in proxy.running_program.instances.by_id


def rollout_records(proxy: ProxyNode) -> Iterator[tuple[str, dict[str, Any]]]:
    """Services and the rollout records that a running proxy follows."""
    for service, rollout in proxy.running_program.rollouts.services.items():
        if rollout.record is not None:
            yield service, rollout.record.document
