"""Acknowledged departures of instances: on the disks of a quorum, and soon.

Guards against the fault of docs/incidents/review-1-drain.md: a leave was acknowledged from memory,
and forgotten when all controllers were killed.
"""

from collections import Counter
from unittest.mock import patch

import pytest

from umbermoor.gateway.discovery.registry import GONE
from umbermoor.gateway.server.registry_snapshot import INSTANCES_KEY, decode_snapshot
from umbermoor.gateway.simulation.control_world import ControlWorld
from umbermoor.gateway.simulation.instances import SimulatedInstance
from umbermoor.gateway.simulation.schedule import parse
from umbermoor.gateway.simulation.virtual_disk import VirtualDisk
from umbermoor.gateway.units import SECOND

DAY = "day seed={seed} members=3 fronts=1 bear=1 long=12000\n"
CONTROLLERS = 3
LEAVE = "5000 leave pick=600 stay=3000 how=leave\n"


class HoldingWorld(ControlWorld):
    """Counts, when a leave is acknowledged, the disks on which the instance is gone."""

    holders = 0

    def _begin_operation(self) -> None:
        super()._begin_operation()
        self.instances.after_next_leave(self._count_holders)

    def _count_holders(self) -> None:
        left = next(one for one in self.instances.all if one.leave_acknowledged_at is not None)
        stored = [
            {record.id: record.state for record in decode_snapshot(disk.records[INSTANCES_KEY])}
            for disk in (node.host.disk for node in self.controllers.values())
        ]
        self.holders = sum(states.get(left.id) == GONE for states in stored)


def play(steps: str, seed: int) -> tuple[HoldingWorld, SimulatedInstance]:
    """Play a day; return its world and the instance that left first."""
    world = HoldingWorld(parse(DAY.format(seed=seed) + steps))
    world.run()
    return world, next(one for one in world.instances.all if one.left_at is not None)


def waited_s(instance: SimulatedInstance) -> float:
    """Return the seconds from the first leave to its acknowledgement."""
    assert instance.left_at is not None and instance.leave_acknowledged_at is not None
    return (instance.leave_acknowledged_at - instance.left_at) / SECOND


@pytest.mark.parametrize("seed", range(4))
def test_an_acknowledged_leave_is_on_the_disks_of_a_quorum(seed):
    world, instance = play(LEAVE, seed)
    assert world.holders >= 2
    assert waited_s(instance) < 1


@pytest.mark.parametrize("member", range(3))
@pytest.mark.parametrize("fault", ["disk_hangs", "disk_refuses", "disk_slow"])
def test_a_leave_is_acknowledged_within_a_second_while_one_disk_fails(member, fault):
    for seed in range(3):  # each draws another controller to call
        world, instance = play(f"4800 {fault} on={member} span=6000\n{LEAVE}", seed)
        assert world.holders >= 2
        assert waited_s(instance) < 1


def test_a_leave_is_not_acknowledged_while_no_quorum_can_store_it():
    hangs = "4900 disk_hangs on=0 span=3000\n4900 disk_hangs on=1 span=3000\n"
    world, instance = play(hangs + LEAVE, seed=1)
    assert world.holders >= 2
    assert waited_s(instance) > 2.5


def test_heartbeats_of_a_draining_instance_write_the_snapshot_once_at_each_controller():
    writes: Counter[int] = Counter()
    write = VirtualDisk.write

    def count(disk: VirtualDisk, puts: dict[str, bytes | None]) -> bool:
        writes[id(disk)] += INSTANCES_KEY in puts
        return write(disk, puts)

    with patch.object(VirtualDisk, "write", count):
        play("5000 leave pick=1 stay=0 how=leave\n", seed=1)
        without_heartbeats = sum(writes.values())
        writes.clear()
        play("5000 leave pick=1 stay=12000\n", seed=1)  # some eight heartbeats while it drains
    assert sum(writes.values()) <= without_heartbeats + CONTROLLERS
