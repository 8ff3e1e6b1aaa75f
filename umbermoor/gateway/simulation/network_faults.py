"""Faults of the network: partitions of all shapes, packet loss, connection resets."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from umbermoor.gateway.simulation.schedule import Step
from umbermoor.gateway.simulation.virtual_network import Link
from umbermoor.gateway.units import MILLISECOND

if TYPE_CHECKING:
    from umbermoor.gateway.simulation.control_world import ControlWorld

DEFAULT_SPAN_MS = 2000


class NetworkFaults:
    """Injects faults of the network."""

    def __init__(self, world: "ControlWorld") -> None:
        self._world = world
        self.steps = {
            "core_cut": self._step_cut_controller,
            "node_cut": self._step_cut_proxy,
            "lossy": self._step_packet_loss,
            "reset": self._step_reset,
        }

    def _cut(self, links: Iterable[Link], span_ms: int) -> None:
        """Cut links for a while."""
        cut = [link for link in dict.fromkeys(links) if link[0] != link[1]]
        ends = {name for link in cut for name in link}
        heal = self._world.network.cut(cut)

        def healed() -> None:
            heal()
            self._disturbed(ends)

        self._disturbed(ends)
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
        """Between a controller with the proxies of its zone, and all the rest."""
        world = self._world
        zone = world.controllers[me].zone
        near = {me, *(ip for ip, node in world.proxies.items() if node.zone == zone)}
        rest = [ip for ip in (*world.controllers, *world.proxies) if ip not in near]
        return _both_ways(near, rest)

    def _step_cut_proxy(self, step: Step) -> None:
        world, how = self._world, step.text("how", "both")
        proxies, controllers = list(world.proxies), list(world.controllers)
        me = proxies[step.number("on") % len(proxies)]
        if how == "some":
            controllers = controllers[: max(1, len(controllers) // 2)]
        self._cut(_links(me, controllers, how), step.number("span", DEFAULT_SPAN_MS))

    def _step_packet_loss(self, step: Step) -> None:
        """Packets are lost everywhere for a while."""
        network = self._world.network
        loss = network.packet_loss = step.number("part") / 100

        def end() -> None:
            if network.packet_loss == loss:
                network.packet_loss = 0.0

        self._world.time.after(step.number("span") * MILLISECOND, end)

    def _step_reset(self, step: Step) -> None:
        """All connections of a controller are reset."""
        ip = self._world.controller_name(step.number("on"))
        process = self._world.controllers[ip].host.process
        self._world.disturbances.controller_disturbed(ip)
        if process is not None:
            for transport in list(process.transports):
                transport.reset()


def _links(me: str, others: Iterable[str], how: str) -> list[Link]:
    """From `me` (out), to it (in), or both."""
    outgoing = [(me, other) for other in others]
    incoming = [(other, me) for other in others]
    return {"out": outgoing, "in": incoming}.get(how, outgoing + incoming)


def _both_ways(these: Iterable[str], those: Iterable[str]) -> list[Link]:
    those = list(those)
    return [link for one in these for other in those for link in ((one, other), (other, one))]
