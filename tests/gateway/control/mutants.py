"""Mutants of the control plane: programs with one defect, and the invariants that detect it.

This is mutation testing of the simulation: an invariant that no mutant violates may check nothing.
`first_violation` runs schedules with a mutant until one of its invariants is violated.
"""

import asyncio
import json
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from pathlib import Path
from typing import Any, NamedTuple
from unittest.mock import patch

from umbermoor.gateway.api.http_api import ApiResponse, api_call, error_response
from umbermoor.gateway.balancing.instances import Instances
from umbermoor.gateway.discovery.registry import (
    DRAINING,
    GONE,
    InstanceRecord,
    InstanceRegistry,
)
from umbermoor.gateway.distribution.subscriber import Subscriber
from umbermoor.gateway.replication.replica_set import ReplicaSet
from umbermoor.gateway.rollout.coordinator import RolloutCoordinator
from umbermoor.gateway.server import configuration_calls
from umbermoor.gateway.server.configuration_calls import ConfigurationCalls
from umbermoor.gateway.server.controller_link import ControllerLink
from umbermoor.gateway.server.instance_replication import InstanceReplication
from umbermoor.gateway.server.replica_host import ReplicaHost
from umbermoor.gateway.simulation.control_world import ControlWorld
from umbermoor.gateway.simulation.schedule import Schedule, parse
from umbermoor.gateway.simulation.violations import Invariant, InvariantViolation
from umbermoor.gateway.simulation.virtual_disk import VirtualDisk

DAYS = Path(__file__).parent / "days"  # schedules that once violated an invariant
MUTANT_DAYS = DAYS / "mutants"  # a schedule for each mutant that detects it

_replace, _take_configuration, _receive_update, _update = (
    ConfigurationCalls.replace,
    ControllerLink.take_configuration,
    Subscriber.receive_update,
    Instances.update,
)
_tick = RolloutCoordinator.tick

Patch = Callable[[], AbstractContextManager[Any]]


class Mutant(NamedTuple):
    """A defect patched into the programs, and the invariants of which it violates one."""

    patch: Patch
    invariants: set[Invariant]


# Configurations


def _handler(run: Any) -> Any:
    return patch.object(ConfigurationCalls, "replace", api_call("POST", "/Config.Replace")(run))


async def _reject_repetition(self: ConfigurationCalls, ask: Any) -> ApiResponse:
    committed = self.host.replica.committed.get("config")
    if committed is not None and committed["text"].encode() == ask.body:
        return error_response(409, "held already")
    return await _replace(self, ask)


async def _acknowledge_early(self: ConfigurationCalls, ask: Any) -> ApiResponse:
    answer = await _replace(self, ask)
    return ApiResponse(200) if answer.status == 503 else answer


async def _never_accept(self: ConfigurationCalls, ask: Any) -> ApiResponse:
    return await _replace(self, ask) if b"00000001" in ask.body else error_response(503, "not now")


async def _rewrite_content(self: ConfigurationCalls, ask: Any) -> ApiResponse:
    try:
        body = json.dumps(json.loads(ask.body), sort_keys=True).encode()
    except ValueError:
        body = ask.body
    return await _replace(self, ask._replace(body=body))


def _check_nothing(body: Any) -> Any:
    return None
    yield


# Proxies


def _take_any_configuration(self: ControllerLink, message: dict[str, Any]) -> None:
    self._requests.routes = None
    _take_configuration(self, message)


def _accept_any_update(self: Subscriber, now: int, name: str, message: dict[str, Any]) -> Any:
    """Treat an update of a controller that is behind as the newest."""
    update = _receive_update(self, now, name, message)
    if update is None or message["revision"] >= self.revision:
        return update
    self.revision, self.newest_revision = message["revision"] - 1, message["revision"]
    return update._replace(wants_body=True)


def _take_configuration_late(self: ControllerLink, message: dict[str, Any]) -> None:
    asyncio.get_running_loop().call_later(4, _take_configuration, self, message)


def _keep_draining(self: Instances, now: int, entries: Any) -> Any:
    """Keep using instances that drain."""
    return _update(self, now, [entry for entry in entries if entry.state != DRAINING])


def _hold_departures_in_memory(
    self: InstanceReplication, record: InstanceRecord, callback: Callable[[], None]
) -> None:
    """Acknowledge departures before they are on disk."""
    callback()


def _forget_departed(self: InstanceRegistry) -> list[list[Any]]:
    """Leave the instances that are gone out of the snapshot."""
    return [record.to_wire() for record in self.records.values() if record.state != GONE]


def _accept_stale_configurations() -> AbstractContextManager[Any]:
    return _all(
        patch.object(ControllerLink, "take_configuration", _take_any_configuration),
        patch.object(Subscriber, "receive_update", _accept_any_update),
    )


# Rollouts and replication


def _never_revert(self: RolloutCoordinator, now: int) -> Any:
    return [
        (service, record) for service, record in _tick(self, now) if record["state"] != "reverted"
    ]


def _minority_quorum() -> Any:
    return patch.object(
        ReplicaSet, "quorum", lambda self, who: 2 * len(set(who)) >= len(self.new) - 1
    )


@contextmanager
def _lying_disk() -> Iterator[None]:
    """Report writes as synced, but lose the last one with the power."""
    write, process_ended = VirtualDisk.write, VirtualDisk.process_ended
    before: dict[int, dict[str, bytes]] = {}

    def write_unsynced(self: VirtualDisk, puts: dict[str, bytes | None]) -> bool:
        before[id(self)] = dict(self.records)
        return write(self, puts)

    def lose_unsynced(self: VirtualDisk, power_lost: bool) -> None:
        process_ended(self, power_lost)
        if power_lost and id(self) in before:
            self.records = before.pop(id(self))

    with (
        patch.object(VirtualDisk, "write", write_unsynced),
        patch.object(VirtualDisk, "process_ended", lose_unsynced),
    ):
        yield


@contextmanager
def _all(*patches: AbstractContextManager[Any]) -> Iterator[None]:
    with ExitStack() as stack:
        for context in patches:
            stack.enter_context(context)
        yield


MUTANTS: dict[str, Mutant] = {
    "a repeated order is rejected": Mutant(
        lambda: _handler(_reject_repetition), {Invariant.ORDER_REJECTED}
    ),
    "orders are acknowledged before they are stored": Mutant(
        lambda: _handler(_acknowledge_early),
        {
            Invariant.STALE_READ,
            Invariant.NOT_CONVERGED,
            Invariant.ACKNOWLEDGED_LOST,
            Invariant.NOT_RECOVERED,
            Invariant.NOT_STARTED,
        },
    ),
    "some orders are never accepted": Mutant(
        lambda: _handler(_never_accept), {Invariant.NOT_ACKNOWLEDGED}
    ),
    "a configuration is stored with other content": Mutant(
        lambda: _handler(_rewrite_content), {Invariant.UNKNOWN_CONTENT, Invariant.NOT_RECOVERED}
    ),
    "configurations are not validated": Mutant(
        lambda: patch.object(configuration_calls, "check_in_steps", _check_nothing),
        {Invariant.INVALID_ACCEPTED},
    ),
    "a proxy accepts stale configurations": Mutant(
        _accept_stale_configurations, {Invariant.PROXY_WENT_BACK}
    ),
    "a proxy applies configurations late": Mutant(
        lambda: patch.object(ControllerLink, "take_configuration", _take_configuration_late),
        {Invariant.NOT_CONVERGED, Invariant.NOT_STARTED},
    ),
    "draining instances stay in use": Mutant(
        lambda: patch.object(Instances, "update", _keep_draining),
        {Invariant.DRAINING_USED, Invariant.PROXY_WENT_BACK},
    ),
    "departures are acknowledged from memory": Mutant(
        lambda: patch.object(InstanceReplication, "when_held", _hold_departures_in_memory),
        {Invariant.DRAINING_USED},
    ),
    "departed instances are not stored": Mutant(
        lambda: patch.object(InstanceRegistry, "snapshot", _forget_departed),
        {Invariant.DRAINING_USED},
    ),
    "a bad version is not reverted": Mutant(
        lambda: patch.object(RolloutCoordinator, "tick", _never_revert),
        {Invariant.ROLLOUT_EXPOSURE},
    ),
    "one member of three is a quorum": Mutant(
        _minority_quorum,
        {
            Invariant.STATE_DIVERGED,
            Invariant.STALE_READ,
            Invariant.STATE_WENT_BACK,
            Invariant.ACKNOWLEDGED_LOST,
            Invariant.NOT_RECOVERED,
            Invariant.NOT_CONVERGED,
        },
    ),
    "disks lie about a sync": Mutant(
        _lying_disk,
        {
            Invariant.STALE_READ,
            Invariant.ACKNOWLEDGED_LOST,
            Invariant.STATE_WENT_BACK,
            Invariant.STATE_DIVERGED,
            Invariant.NOT_RECOVERED,
            Invariant.NOT_CONVERGED,
            Invariant.PROCESS_EXITED,
        },
    ),
    "a proxy is ready without a quorum": Mutant(
        lambda: patch.object(Subscriber, "confirmed_since", lambda self, when: True),
        {Invariant.READY_WHILE_STALE},
    ),
    "every member decides on rollouts": Mutant(
        lambda: patch.object(ReplicaHost, "head", lambda self: self.replica.name),
        {Invariant.STALE_LEADER},
    ),
}


def mutant_schedules() -> dict[str, Schedule]:
    """Return the schedule that detects each mutant; the first line of its text names the mutant."""
    texts = [path.read_text() for path in sorted(MUTANT_DAYS.glob("*.day"))]
    return {text[2:].split(":")[0]: parse(text) for text in texts}


def regression_schedules() -> list[Schedule]:
    """Return the schedules in which the programs once violated an invariant."""
    return [parse(path.read_text()) for path in sorted(DAYS.glob("*.day"))]


def first_violation(
    name: str, schedules: Iterable[Schedule]
) -> tuple[Schedule, InvariantViolation] | None:
    """Return the first schedule in which a mutant violates one of its invariants, or None."""
    mutant = MUTANTS[name]
    for schedule in schedules:
        with mutant.patch():
            try:
                ControlWorld(schedule).run()
            except InvariantViolation as violation:
                if violation.invariant in mutant.invariants:
                    return schedule, violation
    return None
