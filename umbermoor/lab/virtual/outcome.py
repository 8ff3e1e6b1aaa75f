"""The outcome of a run as plain data: what `umbermoor lab day --json` writes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from umbermoor.lab.audit import Ledger, by_rule
from umbermoor.lab.day import SECOND
from umbermoor.lab.machine import Machine
from umbermoor.lab.release import ReleaseState
from umbermoor.lab.virtual.clock import START

if TYPE_CHECKING:
    from umbermoor.lab.fleet import Fleet
    from umbermoor.lab.virtual.front import VirtualFront

MAX_BREACHES_SHOWN = 20


def fleet_outcome(fleet: Fleet) -> dict[str, Any]:
    """Return the figures of a run, with the keys of the JSON output in their order there."""
    machines = fleet.backend.machines
    work = sum(machine.work_done for machine in machines.values()) / SECOND
    return {
        "day": fleet.day.name,
        "seed": fleet.day.seed,
        "body": "virtual",
        **fleet.measure.figures(),
        "series": fleet.measure.series(),
        "stages": [_stage_row(at, state) for at, state in fleet.backend.release.history],
        "audit": _audit_figures(fleet.ledger),
        "machines": {name: _machine_figures(machine) for name, machine in machines.items()},
        "fronts": {front.name: _front_figures(front) for front in fleet.fronts},
        "work_s": round(work, 3),
        "events": fleet.events,
    }


def _seconds(at: int) -> float:
    return round((at - START) / SECOND, 3)


def _stage_row(at: int, state: ReleaseState) -> list[Any]:
    phase, cap = state.phase.name.lower(), round(state.cap, 4)
    return [_seconds(at), state.build, state.stage, phase, cap]


def _audit_figures(ledger: Ledger) -> dict[str, Any]:
    breaches = ledger.breaches
    return {
        "breaches": len(breaches),
        "by_rule": {str(rule): count for rule, count in by_rule(breaches).items()},
        "first": [
            [breach.rule, breach.description, breach.query, breach.machine, _seconds(breach.at)]
            for breach in breaches[:MAX_BREACHES_SHOWN]
        ],
        "counts": dict(sorted(ledger.counts.items())),
    }


def _machine_figures(machine: Machine) -> dict[str, Any]:
    return {
        "build": machine.build,
        "group": machine.group.name,
        "begun": machine.jobs_started,
        "work_s": round(machine.work_done / SECOND, 3),
        "fallen": machine.collapsed,
    }


def _front_figures(front: VirtualFront) -> dict[str, Any]:
    return {
        "opened": front.connections_opened,
        "descriptors": front.peak_descriptors,
        "busy_s": round(front.busy_us / SECOND, 3),
    }
