"""Checks the integrity of a controller's store, by sweeps and by digests compared with the peers.

A sweep (called a scrub in file systems) reads all records back; a record that differs from what was
written is rewritten from memory. After each sweep the members compare digests of their committed
records (anti-entropy). A difference is reported but not repaired, since two members cannot tell
which of them is wrong.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from umbermoor.gateway.replication.anti_entropy import DigestComparison
from umbermoor.gateway.server import events
from umbermoor.gateway.server.clocks import Clock
from umbermoor.gateway.server.peer_transport import PeerTransport
from umbermoor.gateway.server.registry_snapshot import INSTANCES_KEY, RegistrySnapshot
from umbermoor.gateway.server.replica_host import ReplicaHost
from umbermoor.gateway.units import SECOND

SWEEP_INTERVAL = 10 * SECOND  # from the end of a sweep to the next


class StoreSweep:
    """The sweeps of one controller's store.

    Attributes:
        running: Whether a sweep is in progress.
        completed: Number of completed sweeps.
        repaired: Number of records that were rewritten.
        comparison: Results of comparing digests with the other members.
    """

    def __init__(
        self,
        host: ReplicaHost,
        snapshot: RegistrySnapshot,
        transport: PeerTransport,
        clock: Clock,
        on_store_lost: Callable[[], None],
    ) -> None:
        self._host, self._snapshot, self._transport = host, snapshot, transport
        self._clock, self._on_store_lost = clock, on_store_lost
        self.comparison = DigestComparison()
        self.running, self.completed, self.repaired = False, 0, 0
        self._ended_at = clock()

    def tick(self, now: int) -> None:
        """Start a sweep if one is due."""
        if self.running or now - self._ended_at < SWEEP_INTERVAL or not self._host.store.open:
            return
        self.running = True
        sweep_future = asyncio.get_running_loop().run_in_executor(
            self._host.disk, self._host.store.sweep
        )
        sweep_future.add_done_callback(lambda done: self._sweep_ended(done.result()))

    def compare(self, sender: str, message: dict[str, Any]) -> None:
        """Compare a member's digest with the records of this one."""
        replica = self._host.replica
        if self.comparison.differs(sender, message, replica.version, replica.committed):
            events.event("digest_mismatch", peer=sender, version=message["version"])

    def _sweep_ended(self, damaged: list[str] | None) -> None:
        """Handle the end of a sweep.

        Args:
            damaged: Keys of the damaged records; None if the pages of the store are damaged.
        """
        self.running, self._ended_at = False, self._clock()
        self.completed += 1
        self._send_digest()
        if damaged is None:
            self._declare_store_lost("pages")
        elif damaged:
            self._repair(damaged)

    def _send_digest(self) -> None:
        replica = self._host.replica
        if replica.version > (0, 0):
            message = self.comparison.message(replica.version, replica.committed)
            for name in replica.member_names:
                if name != replica.name:
                    self._transport.send(name, message)

    def _repair(self, damaged: list[str]) -> None:
        records = [record for record in damaged if record != INSTANCES_KEY]
        effects = self._host.replica.repair(self._clock(), records)
        if effects is None:
            self._declare_store_lost(",".join(damaged))
            return
        if INSTANCES_KEY in damaged:
            self._snapshot.write_again()
        self.repaired += len(damaged)
        events.event("records_repaired", records=",".join(damaged))
        self._host.carry_out(effects)

    def _declare_store_lost(self, damage: str) -> None:
        """Have the process end: after its restart the other members refill its store."""
        events.event("disk_lost", reason=f"a sweep found damage: {damage}")
        self._on_store_lost()
