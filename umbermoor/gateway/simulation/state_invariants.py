"""Invariants of the replicated state: one state per version, and no regressions.

The states that controllers report as committed are compared by version.
"""

import json
from typing import TYPE_CHECKING, Any

from umbermoor.gateway.api.decisions import CONFIG_KEY
from umbermoor.gateway.replication.view import Version
from umbermoor.gateway.rollout.records import ROLLOUT_KEY_PREFIX, supersedes
from umbermoor.gateway.simulation import observations
from umbermoor.gateway.simulation.observations import NO_VERSION, RolloutDecisions
from umbermoor.gateway.simulation.order_invariants import RUNNING
from umbermoor.gateway.simulation.violations import Invariant
from umbermoor.gateway.units import SECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld
    from umbermoor.gateway.simulation.nodes import ControllerNode

State = dict[str, str]  # canonical records by key
REPLACED_FOR = SECOND // 2  # a controller replaced as head for longer may not advance rollouts
VERSIONS_KEPT = 400
SETTLED = "settled"


class RolloutRecords:
    """All rollout records seen anywhere: each step must have one record, each order one end."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self._by_step: dict[tuple[str, int, int], str] = {}  # service, order, serial
        self._final_states: dict[tuple[str, int], str] = {}  # by service and order

    def seen(self, service: str, record: dict[str, Any]) -> None:
        """Check and record a rollout record seen at a controller or a proxy."""
        order, state = record["order"], record["state"]
        if state == RUNNING:  # a final record may have the serial of the order's last step
            self._step_seen(service, record)
        elif self._final_states.setdefault((service, order), state) != state:
            self._world.fail(
                Invariant.STATE_DIVERGED, f"{service}, order {order}, ended in two ways"
            )

    def _step_seen(self, service: str, record: dict[str, Any]) -> None:
        key = (service, record["order"], record["serial"])
        text = observations.canonical(record)
        first = self._by_step.setdefault(key, text)
        if first != text:
            self._world.fail(Invariant.STATE_DIVERGED, f"two records of {key}: {first} and {text}")


class StateInvariants:
    """Checks of the replicated state as the controllers report it."""

    def __init__(self, world: "ControlWorld", records: RolloutRecords) -> None:
        self.versions: dict[Version, State] = {}
        self.rollouts_seen: set[tuple[str, str]] = set()  # service and target
        self._world = world
        self._records = records
        self._seen: dict[str, tuple[int, Version]] = {}  # by controller: incarnation, version
        self._head = ""
        self._head_since = 0
        # By service and record: the deciding controller, and whether it had been replaced as head
        self._decided: dict[tuple[str, str], tuple[str, bool]] = {}

    def check(self) -> None:
        """Check all running controllers."""
        self._observe_head()
        for ip, node in self._world.controllers.items():
            if observations.replica_started(node):
                self._check_controller(ip, node)

    def _check_controller(self, ip: str, node: "ControllerNode") -> None:
        observations.observe_decisions(node, lambda decisions: self._decide(ip, decisions))
        version = observations.committed_version(node)
        incarnation, seen = self._seen.get(ip, (0, NO_VERSION))
        if incarnation == node.incarnation and version < seen:
            self._world.fail(Invariant.STATE_WENT_BACK, f"{ip} went back from {seen} to {version}")
        if (incarnation, seen) == (node.incarnation, version):
            return
        self._seen[ip] = node.incarnation, version
        if version != NO_VERSION:
            self._state_seen(version, observations.committed_state(node))

    # Decisions on rollouts

    def _decide(self, ip: str, decisions: RolloutDecisions) -> None:
        for service, record in decisions:
            key = service, observations.canonical(record)
            self._decided[key] = ip, self._replaced(ip)

    def _replaced(self, ip: str) -> bool:
        """Whether another controller has been the head for longer than REPLACED_FOR."""
        self._observe_head()
        head_for = self._world.time.now - self._head_since
        return self._head not in ("", ip) and head_for > REPLACED_FOR

    def _observe_head(self) -> None:
        """Record the head of the newest serving chain."""
        nodes = filter(observations.replica_started, self._world.controllers.values())
        serving = [
            status
            for status in map(observations.replica_status, nodes)
            if observations.is_serving(status)
        ]
        newest = max(serving, key=lambda status: status.epoch, default=None)
        if newest is not None and newest.chain[0] != self._head:
            self._head, self._head_since = newest.chain[0], self._world.time.now

    # States by version

    def _state_seen(self, version: Version, state: State) -> None:
        if version in self.versions:
            if self.versions[version] != state:
                self._world.fail(Invariant.STATE_DIVERGED, f"two states of version {version}")
            return
        below = max((other for other in self.versions if other < version), default=None)
        above = min((other for other in self.versions if other > version), default=None)
        self.versions[version] = state
        self._records_seen(state)
        if len(self.versions) > VERSIONS_KEPT:
            del self.versions[min(self.versions)]
        for older, newer_version in ((below, version), (version, above)):
            if older is not None and newer_version is not None:
                self._check_follows(older, newer_version)

    def _records_seen(self, state: State) -> None:
        for key, text in state.items():
            record = json.loads(text)
            if key == CONFIG_KEY:
                revision, body = record["revision"], record["text"].encode()
                orders = self._world.invariants.orders
                orders.content_in_force(revision, body, "is in the replicated state")
            elif key.startswith(ROLLOUT_KEY_PREFIX):
                self.rollouts_seen.add((key[len(ROLLOUT_KEY_PREFIX) :], record["target"]))

    def _check_follows(self, before: Version, after: Version) -> None:
        """Check that the state of a later version is a valid successor of an earlier one."""
        old, new = self.versions.get(before, {}), self.versions[after]
        for key, text in old.items():
            if text == new.get(key):
                continue
            if key not in new:
                self._world.fail(
                    Invariant.ACKNOWLEDGED_LOST,
                    f"{key} is missing at {after}, but was present at {before}",
                )
            old_record, new_record = json.loads(text), json.loads(new[key])
            if key == CONFIG_KEY and new_record["revision"] <= old_record["revision"]:
                self._world.fail(
                    Invariant.STATE_WENT_BACK,
                    f"configuration {new_record['revision']} at {after}, "
                    f"{old_record['revision']} at {before}",
                )
            if key.startswith(ROLLOUT_KEY_PREFIX):
                if not supersedes(new_record, old_record):
                    self._world.fail(
                        Invariant.STATE_WENT_BACK,
                        f"{key} went from {old_record} at {before} to {new_record} at {after}",
                    )
                self._check_rollout_step(
                    key[len(ROLLOUT_KEY_PREFIX) :], old_record, new_record, new[key]
                )

    def _check_rollout_step(
        self, service: str, old: dict[str, Any], new: dict[str, Any], text: str
    ) -> None:
        self._records.seen(service, new)
        decider, replaced = self._decided.get((service, text), ("", False))
        forward = new["order"] == old["order"] and new["stage"] > old["stage"]
        if replaced and (forward or new["state"] == SETTLED):
            self._world.fail(
                Invariant.STALE_LEADER,
                f"{service} went on to {new}, decided by {decider}, which had been replaced",
            )
