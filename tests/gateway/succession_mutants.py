"""Mutants of the succession, each without one of its conditions, and tests that detect them.

A test raises AssertionError or InvariantViolation if the replica set is not what it should be.
"""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any, NamedTuple
from unittest.mock import patch

from tests.gateway.platform_replacements import ReplacingPlatform, play
from umbermoor.gateway.replication import reconfiguration, replica, succession
from umbermoor.gateway.replication.context import Context
from umbermoor.gateway.units import MILLISECOND

_find_successions, _departed = succession.find_successions, succession._departed_members


class Mutant(NamedTuple):
    """A patch that removes a condition, and the test that detects it."""

    patch: Callable[[], AbstractContextManager[Any]]
    run_test: Callable[[], None]


def _remains_member(
    zone_of: int, away_ms: int, may_succeed: bool = True, members: int = 3
) -> Callable[[], None]:
    """Return a test in which a member that is away beside a newcomer must remain a member."""

    def check() -> None:
        world = ReplacingPlatform(0, members)
        world.spares_may_succeed = may_succeed
        world.newcomer(world.first[zone_of])
        world.wait(3)
        world.stop(world.first[0])
        world.run(away_ms * MILLISECOND)
        world.start(world.first[0])
        world.wait(6)
        assert world.members() == world.first, world.members()

    return check


def _is_removed_before_it_ends() -> None:
    world = ReplacingPlatform(0, 3)
    old = world.member(0)
    world.newcomer(old)
    world.wait(6)
    world.terminate(old)
    assert world.run(2000 * MILLISECOND, lambda: world.machines[old].member is None)
    assert old not in world.members(), world.members()


def _at_the_head_only(context: Context) -> Any:
    is_head = context.views.serving and not context.views.chain_index
    return _find_successions(context) if is_head else []


def _only_single_departures(context: Context) -> list[str]:
    departed = _departed(context)
    return departed if len(departed) == 1 else []


def _successors_of_any_zone(context: Context, member: str) -> Any:
    return succession.ready_learners(context)


def _successors_without_quorum_mark(context: Context, member: str) -> Any:
    zones = succession.known_zones(context)
    return [
        name for name in succession.ready_learners(context) if zones.get(name) == zones.get(member)
    ]


def _patched(module: Any, name: str, value: Any) -> Callable[[], AbstractContextManager[Any]]:
    return lambda: patch.object(module, name, value)


def _replacement(order: str, members: int, seed: int) -> Callable[[], None]:
    return lambda: play(order, members, seed)


MUTANTS: dict[str, Mutant] = {
    "a short silence is enough": Mutant(
        _patched(succession, "SUCCESSION_TIMEOUT", 0), _remains_member(zone_of=0, away_ms=1500)
    ),
    "a successor may run in any zone": Mutant(
        _patched(succession, "_ready_successors", _successors_of_any_zone),
        _remains_member(zone_of=2, away_ms=4000, members=5),
    ),
    "a successor needs no quorum mark": Mutant(
        _patched(succession, "_ready_successors", _successors_without_quorum_mark),
        _remains_member(zone_of=0, away_ms=4000, may_succeed=False),
    ),
    "only a single departure is handled": Mutant(
        _patched(succession, "_departed_members", _only_single_departures),
        _replacement("two lost at once", 5, 1),
    ),
    "only the head begins a succession": Mutant(
        _patched(reconfiguration, "find_successions", _at_the_head_only),
        _replacement("two lost at once", 5, 0),
    ),
    "a member that left is waited for": Mutant(
        _patched(succession, "_has_left", lambda context, name: False), _is_removed_before_it_ends
    ),
    "a leaving member does not wait": Mutant(
        _patched(replica, "has_ready_successor", lambda context: False), _is_removed_before_it_ends
    ),
}
