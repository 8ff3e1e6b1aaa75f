"""Status of a controller for operators: /Status and /Instances. Not part of the protocol.

Their deprecated names, /Story and /Machines, remain for one more release with their earlier keys.
"""

from collections.abc import Callable
from typing import Any

from umbermoor.gateway.api.http_api import ApiRequest, ApiResponse, api_call, json_response
from umbermoor.gateway.discovery.registry import STATE_NAMES, InstanceRecord, InstanceRegistry
from umbermoor.gateway.server.clocks import Clock
from umbermoor.gateway.server.replica_host import ReplicaHost
from umbermoor.gateway.server.store_sweep import StoreSweep
from umbermoor.gateway.units import SECOND


class StatusCalls:
    """HTTP handlers for read-only status."""

    def __init__(
        self,
        name: str,
        registry: InstanceRegistry,
        host: ReplicaHost,
        sweep: StoreSweep,
        waiting_pulls: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._name, self._registry, self._host, self._sweep = name, registry, host, sweep
        self._waiting_pulls, self._clock = waiting_pulls, clock

    @api_call("GET", "/Status")
    async def status(self, request: ApiRequest) -> ApiResponse:
        """Return the controller's view of the chain, its role in it, and what it stores."""
        replica, store, sweep = self._host.replica, self._host.store, self._sweep
        status = replica.status()
        return json_response(
            200,
            {
                "name": self._name,
                "epoch": status.epoch,
                "chain": list(status.chain),
                "role": status.role.value,
                "version": list(status.version),
                "uncommittedWrites": status.uncommitted,
                "replicaSet": {
                    "number": status.set_number,
                    "members": list(status.members),
                    "learners": list(status.learners),
                    "addresses": list(replica.member_names),
                    "degraded": status.degraded,
                },
                "connected": replica.connected,
                "instances": len(self._registry.records),
                "waitingPulls": self._waiting_pulls(),
                "missingTexts": self._host.channel.missing_texts,
                "store": {
                    "usedBytes": store.used(),
                    "maxBytes": store.size,
                    "full": store.full,
                    "sweeps": sweep.completed,
                    "repairedRecords": sweep.repaired,
                },
                "digestsCompared": sweep.comparison.compared,
                "differingMembers": sorted(sweep.comparison.differing),
            },
        )

    @api_call("GET", "/Story")
    async def story(self, request: ApiRequest) -> ApiResponse:
        """Return the status in the earlier form; deprecated in favor of /Status."""
        replica, store, sweep = self._host.replica, self._host.store, self._sweep
        return json_response(
            200,
            {
                **replica.status().to_json(),
                "machines": len(self._registry.records),
                "connected": replica.connected,
                "pulls": self._waiting_pulls(),
                "name": self._name,
                "everyone": list(replica.member_names),
                "lacks": self._host.channel.missing_texts,
                "disk": {
                    "bytes": store.used(),
                    "most": store.size,
                    "full": store.full,
                    "sweeps": sweep.completed,
                    "mended": sweep.repaired,
                },
                "compared": sweep.comparison.compared,
                "differing": sorted(sweep.comparison.differing),
            },
        )

    @api_call("GET", "/Instances")
    async def instances(self, request: ApiRequest) -> ApiResponse:
        """Return the known instances by id."""
        return json_response(200, {"instances": self._instances()})

    @api_call("GET", "/Machines")
    async def machines(self, request: ApiRequest) -> ApiResponse:
        """Return the instances in the earlier form; deprecated in favor of /Instances."""
        return json_response(200, {"machines": self._instances()})

    def _instances(self) -> dict[str, dict[str, Any]]:
        now, records = self._clock(), self._registry.records
        return {id: self._instance(now, record) for id, record in records.items()}

    def _instance(self, now: int, record: InstanceRecord) -> dict[str, Any]:
        """Return one instance as JSON; `heardS` is the time since its record last changed here."""
        age = now - self._registry.last_changed_at(record.id)
        return {
            "service": record.service,
            "address": record.address,
            "zone": record.zone,
            "revision": record.revision,
            "capacity": record.capacity,
            "state": STATE_NAMES[record.state],
            "heardS": round(age / SECOND, 3),
        }
