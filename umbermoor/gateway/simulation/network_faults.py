"""Network faults: partitions of various shapes, packet loss, connection resets."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.schedule import Step
from umbermoor.gateway.simulation.virtual_network import Link
from umbermoor.gateway.units import MILLISECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

DEFAULT_SPAN_MS = 2000


class NetworkFaults:
    """Injects network faults."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self.steps = {
            "core_cut": self._step_cut_controller,
            "node_cut": self._step_cut_proxy,
            "lossy": self._step_packet_loss,
            "reset": self._step_reset,
        }

    def _cut(self, links: Iterable[Link], span_ms: int) -> None:
        """Cut links for `span_ms` and record the disturbance of the hosts at both ends."""
        cut = [link for link in dict.fromkeys(links) if link[0] != link[1]]
        endpoints = {name for link in cut for name in link}
        heal = self._world.network.cut(cut)

        def healed() -> None:
            heal()
            self._disturbed(endpoints)

        self._disturbed(endpoints)
        self._world.time.after(span_ms * MILLISECOND, healed)

    def _disturbed(self, names: Iterable[str]) -> None:
        for name in names:
            if name in self._world.network.hosts:
                self._world.disturbances.disturbed(name)

    def _step_cut_controller(self, step: Step) -> None:
        world, how = self._world, step.text("how", "both")
        me = world.controller_name(step.number("on"))
        if how == "pair":
            links = _both_ways([me], [world.controller_name(step.number("other"))])
        elif how == "group":
            links = self._zone_links(me)
        else:
            others = [name for name in world.controllers if name != me]
            links = _links(me, others, how)
        self._cut(links, step.number("span", DEFAULT_SPAN_MS))

    def _zone_links(self, me: str) -> list[Link]:
        """Return the links between a controller's zone (it and its proxies) and all other nodes."""
        world = self._world
        zone = world.controllers[me].zone
        inside = {me, *(ip for ip, node in world.proxies.items() if node.zone == zone)}
        outside = [ip for ip in (*world.controllers, *world.proxies) if ip not in inside]
        return _both_ways(inside, outside)

    def _step_cut_proxy(self, step: Step) -> None:
        world, how = self._world, step.text("how", "both")
        proxies, controllers = list(world.proxies), list(world.controllers)
        me = proxies[step.number("on") % len(proxies)]
        if how == "some":
            controllers = controllers[: max(1, len(controllers) // 2)]
        self._cut(_links(me, controllers, how), step.number("span", DEFAULT_SPAN_MS))

    def _step_packet_loss(self, step: Step) -> None:
        """Lose a share of all packets for the span of the step."""
        network = self._world.network
        loss = network.packet_loss = step.number("part") / 100

        def end() -> None:
            if network.packet_loss == loss:
                network.packet_loss = 0.0

        self._world.time.after(step.number("span") * MILLISECOND, end)

    def _step_reset(self, step: Step) -> None:
        """Reset all connections of a controller."""
        ip = self._world.controller_name(step.number("on"))
        process = self._world.controllers[ip].host.process
        self._world.disturbances.controller_disturbed(ip)
        if process is not None:
            for transport in list(process.transports):
                transport.reset()


def _links(me: str, others: Iterable[str], how: str) -> list[Link]:
    """Return the links from `me` (out), to `me` (in), or in both directions."""
    outgoing = [(me, other) for other in others]
    incoming = [(other, me) for other in others]
    return {"out": outgoing, "in": incoming}.get(how, outgoing + incoming)


def _both_ways(group: Iterable[str], others: Iterable[str]) -> list[Link]:
    others = list(others)
    return [link for name in group for other in others for link in ((name, other), (other, name))]
