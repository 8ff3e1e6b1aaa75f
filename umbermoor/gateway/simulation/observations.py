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
    """Whether the program runs and has got as far as to make its replica."""
    return node.program is not None and hasattr(node.program, "replica")


def replica_status(node: ControllerNode) -> ReplicaStatus:
    """What the replica of a running controller knows of the chain."""
    assert node.program is not None
    return node.program.replica.status()


def is_serving(status: ReplicaStatus) -> bool:
    """Whether the replica is in the chain and serves."""
    return status.role in SERVING_ROLES


def committed_version(node: ControllerNode) -> Version:
    """The version up to which a running controller knows the state to be committed."""
    assert node.program is not None
    return node.program.replica.version


def committed_state(node: ControllerNode) -> dict[str, str]:
    """The records that a running controller knows to be committed, as canonical texts."""
    assert node.program is not None
    return {key: canonical(value) for key, value in node.program.replica.committed.items()}


RolloutDecisions = list[tuple[str, dict[str, Any]]]  # service and the record to be written


def observe_decisions(node: ControllerNode, observe: Callable[[RolloutDecisions], None]) -> None:
    """Call `observe` with each decision that a controller takes on rollouts, before it is written.

    Does nothing if the program is observed already.
    """
    coordinator: Any = node.program.rollouts  # type: ignore[union-attr]
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
    assert proxy.program is not None
    return (
        proxy.program.requests.routes.revision if proxy.program.requests.routes is not None else 0
    )


def route_names(proxy: ProxyNode) -> set[str]:
    """The names of the routes that a running proxy has in force."""
    assert proxy.program is not None
    assert proxy.program.requests.routes is not None
    return {route.name for route in proxy.program.requests.routes}


def departing_instances(proxy: ProxyNode) -> Iterator[str]:
    """Instances that a running proxy knows to drain or to be gone."""
    assert proxy.program is not None
    for instance_id, entry in proxy.program.controllers.subscriber.instances.items():
        if entry.state in (DRAINING, GONE):
            yield instance_id


def lists_instance(proxy: ProxyNode, instance_id: str) -> bool:
    """Whether a running proxy may send requests to an instance."""
    assert proxy.program is not None
    return instance_id in proxy.program.instances.by_id


def rollout_records(proxy: ProxyNode) -> Iterator[tuple[str, dict[str, Any]]]:
    """Services and the rollout records that a running proxy follows."""
    assert proxy.program is not None
    for service, rollout in proxy.program.rollouts.services.items():
        if rollout.record is not None:
            yield service, rollout.record.document
