"""Client requests and the responses of instances."""

from typing import TYPE_CHECKING, Any

from umbermoor.gateway.balancing.attempt_outcomes import AttemptOutcome
from umbermoor.gateway.server.pending_request import PendingRequest
from umbermoor.gateway.simulation.configurations import HOST
from umbermoor.gateway.simulation.schedule import SERVICES
from umbermoor.gateway.simulation.violations import Invariant
from umbermoor.gateway.simulation.virtual_process import VirtualProcess
from umbermoor.gateway.units import MILLISECOND
from umbermoor.http1.reader import Request, Response

if TYPE_CHECKING:
    from umbermoor.gateway.server.proxy import Proxy
    from umbermoor.gateway.simulation.control_world import ControlWorld
    from umbermoor.gateway.simulation.instances import SimulatedInstance
    from umbermoor.gateway.simulation.nodes import ProxyNode

REQUEST_INTERVAL = 40 * MILLISECOND  # per proxy and service under a rollout
SHARE_AFTER_ROLLOUT = 0.1  # share of these requests that are sent after the rollout
SHARE_WITHOUT_ROLLOUT = 0.05
REFUSAL_TIME = 2 * MILLISECOND
SHORTEST_ANSWER_MS, LONGEST_ANSWER_MS = 20, 60
REQUEST_BUDGET_MS = 1500


class SimulatedClient:
    """A client's connection that only stores the response in the pending request."""

    @staticmethod
    def respond(pending: PendingRequest, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Accept the response to a request in place of the proxy's client connection."""
        pending.response = status, body, headers


class _Connections:
    """Stand-in for a proxy's pool of connections to instances."""

    def __init__(self, traffic: "Traffic", proxy: str) -> None:
        self._traffic = traffic
        self._proxy = proxy

    def send(self, instance: Any, attempt: Any, idempotent: bool) -> None:
        """Send an attempt to an instance."""
        self._traffic.request_sent(self._proxy, instance.entry, attempt)

    def close_idle(self, instance: Any) -> None:
        """Nothing to close."""

    def sweep(self) -> None:
        """Nothing to close."""


class Traffic:
    """Sends requests to all ready proxies and answers them in place of the instances."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world

    def connections_of(self, proxy: str) -> Any:
        """Return the stand-in for the connection pool of a proxy."""
        return _Connections(self, proxy)

    def send_requests(self) -> None:
        """Send requests from now on, most of them for services under a rollout."""
        for node in self._world.proxies.values():
            process = node.host.process
            if process is None or not node.ready:
                continue
            for service in SERVICES:
                if self._is_due(service):
                    self._send(node, process, service)
        self._world.time.after(REQUEST_INTERVAL, self.send_requests)

    def _is_due(self, service: str) -> bool:
        rollout, rng = self._world.rollouts.current(service), self._world.rng
        if rollout is not None and (not rollout.over or rng.random() < SHARE_AFTER_ROLLOUT):
            return True
        return rng.random() < SHARE_WITHOUT_ROLLOUT

    def _send(self, node: "ProxyNode", process: VirtualProcess, service: str) -> None:
        counts, program = self._world.counts, node.running_program
        counts["request"] += 1
        headers = {
            "host": HOST,
            "x-attempt-id": f"{counts['request']:016x}",
            "x-time-remaining": str(REQUEST_BUDGET_MS),
        }
        request = Request("GET", f"/{service}/x", headers, b"", True)
        process.run(lambda: _arrive(program, request))

    def request_sent(self, proxy: str, entry: Any, attempt: Any) -> None:
        """Handle an attempt that a proxy sends to an instance, given by its registry entry."""
        world = self._world
        process = world.proxies[proxy].running_process
        instance = self._check_target(proxy, entry)
        if instance.ended:
            world.time.after(
                REFUSAL_TIME,
                lambda: process.run(lambda: attempt.end(AttemptOutcome.CONNECT_FAILED)),
            )
            return
        status = 500 if self._answers_badly(proxy, instance) else 200
        response = Response(status, {"x-server-seal": "seal"}, b"ok", True)
        took = world.rng.randrange(SHORTEST_ANSWER_MS, LONGEST_ANSWER_MS) * MILLISECOND
        world.time.after(
            took, lambda: process.run(lambda: attempt.end(AttemptOutcome.COMPLETE, response))
        )

    def _check_target(self, proxy: str, entry: Any) -> "SimulatedInstance":
        world = self._world
        instance = world.instances.find(entry.id)
        if instance is None or instance.service != entry.service:
            world.fail(Invariant.MISROUTED, f"{proxy} sends to {entry}")
        world.invariants.proxies.check_usable(proxy, instance, "is sent a request")
        rollout = world.rollouts.current(instance.service)
        world.invariants.exposure.request_sent(proxy, instance, rollout)
        return instance

    def _answers_badly(self, proxy: str, instance: "SimulatedInstance") -> bool:
        world = self._world
        rollout = world.rollouts.current(instance.service)
        if rollout is None or rollout.good or instance.version != rollout.target:
            return False
        if world.rng.random() >= rollout.failure_share:
            return False
        world.invariants.exposure.answered_badly(proxy, instance.service, rollout.target)
        return True


def _arrive(proxy: "Proxy", request: Request) -> None:
    """Pass a request to a proxy as if it had just been read completely."""
    client: Any = SimulatedClient
    now = proxy.clock()
    proxy.requests.handle(client, PendingRequest(request, first_byte_at=now, read_at=now), request)
