"""Cost of each item at a system size, its bound, and the size at which it exceeds the bound.

All figures are computed from the fitted measurements, without I/O; `Item.estimate` names
assumptions that no measurement supports.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from statistics import median
from typing import Any, NamedTuple

from benchmarks.capacity.fits import Fit, fit, line, spread

DAY_S = 86_400


class Size(NamedTuple):
    """Size of a system; the defaults are the target. Rates are per second."""

    fronts: float = 7_700
    machines: float = 82_000
    services: float = 4_200
    requests: float = 2_000_000
    routes: float = 110_000
    tenants: float = 680_000
    changes: float = 4_500 / DAY_S  # changes of the configuration
    ends: float = (470 + 8_300) / DAY_S  # machines that fail, or are restarted or replaced
    members: int = 9
    zones: int = 15
    regions: int = 6
    period: float = 1.5  # s between two heartbeats of a machine

    def scaled(self, fraction: float) -> "Size":
        """Return this size times `fraction`, with the same members, zones and regions."""
        grown = {
            name: getattr(self, name) * fraction
            for name in (
                "fronts",
                "machines",
                "services",
                "requests",
                "routes",
                "tenants",
                "changes",
                "ends",
            )
        }
        return self._replace(**grown)


TARGET = Size()
# s between pulls if no change is urgent: the subscriber's LONG_POLL_TIMEOUT_US + PULL_INTERVAL_US
PULL_INTERVAL_S = 0.96
STATE_CHANGES_PER_MACHINE = 4  # over its lifetime: new, warm, draining, gone (estimate)
LARGEST_SERVICE_SHARE = 0.05  # of all machines (estimate)
# mean number of concurrent rollouts: one a week, each 900 s long (estimate)
ROLLOUTS_PER_SERVICE = 900 / (7 * DAY_S)
# of a processor core: the capacity of a member, and what a front may spend on control traffic
MEMBER_CPU_SHARE, FRONT_CPU_SHARE = (
    0.645,
    0.025,
)
FRONT_BYTES_PER_S, FRONT_MEMORY_BYTES, MEMBER_MEMORY_BYTES = 2_000, 128e6, 256e6
ROLLOUT_STAGES = 5
RETRY_WINDOW_S, RETRY_RATIO = 10, 0.2 * 0.8  # ratio: retries that each request earns
CONFIG_DEADLINE_S = 10  # s until a configuration is in force everywhere
LINK_BYTES_PER_S = 125e6
# s between messages of a source or witness (proposed), short enough for a front to leave one that
# is cut off in time
SOURCE_MESSAGE_INTERVAL_S = 1.0
WITNESSES = 1  # members, besides its source, that a front asks for digests (proposed)
DIGEST_BYTES = 80  # of a digest and the request for it (estimate)
# One run of the users' sweep of sfl, in columns: machines of ours; the busiest member's kB/s and
# processor %; a front's kB/s; median time until a configuration was acknowledged, ms. `page` and
# `plots` count ten application machines for each of ours.
USER_SWEEP = (
    (30, 224, 3.5, 55, 63),
    (100, 1_303, 10.5, 52, 59),
    (300, 9_241, 69, 104, 2_497),
)


@dataclass(frozen=True)
class Item:
    """One kind of state or traffic that a role carries, with its cost and its bound."""

    role: str
    subject: str
    kind: str  # selects the unit: rate, bytes, share, time, count, tries
    formula: str
    current: Callable[[Size], float]
    bound: float
    bound_reason: str
    mechanism: str  # how the current code carries it
    measures: tuple[str, ...] = ()  # names of the measures that the cost uses
    is_minimum: bool = False  # the bound is a minimum
    estimate: str = ""
    proposed_mechanism: str = ""  # how it is proposed to be carried
    proposed: Callable[[Size], float] | None = None

    def exceeds_bound(self, size: Size) -> bool:
        return (
            self.current(size) < self.bound if self.is_minimum else self.current(size) > self.bound
        )

    def growth_limit(self) -> float | None:
        """Return the fraction of the target size at which the item exceeds its bound.

        The result is 0 if it does so at a thousandth of the target already, and None if it does not
        at the target."""
        if not self.exceeds_bound(TARGET):
            return None
        if self.exceeds_bound(TARGET.scaled(1e-3)):
            return 0.0
        low, high = 1e-3, 1.0
        for _ in range(50):
            mid = (low + high) / 2
            low, high = (low, mid) if self.exceeds_bound(TARGET.scaled(mid)) else (mid, high)
        return high


class Model:
    """Computes costs from the data of one measurement file."""

    def __init__(self, data: dict[str, Any]) -> None:
        self.data, self.limits, self.message_bytes = data, data["limits"], data["said"]

    def medians(self, name: str) -> list[tuple[float, float]]:
        """Return each size with the median of its measured costs."""
        return [(row["size"], median(row["values"])) for row in self.data["measures"][name]["rows"]]

    def fit(self, name: str) -> Fit:
        rows = self.medians(name)
        return fit([size for size, _ in rows], [cost for _, cost in rows])

    def spread(self, name: str) -> float:
        """Return the largest relative spread of the repeats at any size."""
        return max(spread(row["values"]) for row in self.data["measures"][name]["rows"])

    def cost(self, name: str, size: float) -> float:
        """Return the fitted cost at `size`, in seconds if measured in us, else in bytes."""
        return max(0.0, self.fits[name].cost(size)) * (
            1e-6 if self.data["measures"][name]["unit"] == "us" else 1
        )

    @cached_property
    def fits(self) -> dict[str, Fit]:
        return {name: self.fit(name) for name in self.data["measures"]}

    def load_results(self, kind: str) -> list[dict[str, Any]]:
        """Return the medians over the load test runs of `kind`, one row per size."""
        rows_by_size: dict[tuple[int, int], list[dict[str, Any]]] = {}
        for row in self.data["carry"]:
            if row["kind"] == kind:
                rows_by_size.setdefault((row["fronts"], row["machines"]), []).append(row)
        return [
            {
                "fronts": fronts,
                "machines": machines,
                "plays": len(rows),
                **{
                    key: median(
                        [row[key] for row in rows if row[key] is not None] or [float("nan")]
                    )
                    for key in rows[0]
                    if key not in ("kind", "commit", "fronts", "machines")
                },
                "low": min(row["ack 99 ms"] or 0 for row in rows),
                "high": max(row["ack 99 ms"] or 1e9 for row in rows),
                "least %": min(row["processor %"] for row in rows),
                "most %": max(row["processor %"] for row in rows),
            }
            for (fronts, machines), rows in sorted(rows_by_size.items())
        ]

    def heartbeat_cpu_s(self, kind: str) -> float:
        """Return the processor time of a heartbeat with all that it causes, in seconds.

        It is the slope over the sizes at which the member keeps up: below 90 % of a core and no
        failed heartbeat."""
        rows = [
            row
            for row in self.load_results(kind)
            if row["processor %"] < 90 and row["beats failed"] == 0
        ]
        return line(
            [row["beats a second"] for row in rows], [row["processor %"] / 100 for row in rows]
        )[1]

    def shared_send_cpu_s(self) -> float:
        """Return the processor time in seconds of sending an answer whose frame all fronts share.

        It is `pull_cpu_s` without finding, framing and compressing the 64 of the 100 machines that
        send a heartbeat between two pulls."""
        return self.pull_cpu_s() - self.cost("pull_all", 100 * PULL_INTERVAL_S / TARGET.period)

    # Cost of the proposed designs

    def proposed_state_rate(self, size: Size) -> float:
        """Return the bytes per second that a front receives if one source sends only the changes of
        the machines' states."""
        return (
            size.ends
            * STATE_CHANGES_PER_MACHINE
            * self.message_bytes["a machine told, not pressed"]
        )

    def proposed_pull_rate(self, size: Size) -> float:
        """Return the bytes per second of pulls from one source and digests from the witnesses."""
        exchange_bytes = (
            self.message_bytes["pull request"] + self.message_bytes["pull answer without news"]
        )
        return (
            1 / SOURCE_MESSAGE_INTERVAL_S + size.ends * STATE_CHANGES_PER_MACHINE + size.changes
        ) * exchange_bytes + WITNESSES * DIGEST_BYTES / SOURCE_MESSAGE_INTERVAL_S

    def proposed_send_rate(self, size: Size) -> float:
        """Return the answers per second that a member sends to fronts."""
        return (
            size.fronts
            / size.members
            * (
                (1 + WITNESSES) / SOURCE_MESSAGE_INTERVAL_S
                + size.ends * STATE_CHANGES_PER_MACHINE
                + size.changes
            )
        )

    def pull_cpu_s(self) -> float:
        """Return the processor time in seconds of a pull answered over a socket.

        It was measured with 100 machines that send heartbeats."""
        rows = [row for row in self.load_results("fronts") if row["processor %"] < 90]
        xs, ys = [row["news a second"] for row in rows], [row["processor %"] / 100 for row in rows]
        return line(xs, ys)[1]

    def proposed_config_rate(self, size: Size) -> float:
        return size.changes * self.cost("difference_bytes", size.routes)

    def proposed_known_machines(self, size: Size) -> float:
        """Return the number of machines that a front knows.

        These are the machines of its zone and half as many of other zones, enough to replace half
        of the zone's machines if they are lost."""
        return 1.5 * size.machines / size.zones

    def proposed_front_memory(self, size: Size) -> float:
        return (
            self.data["processes"]["front"]
            + self.proposed_known_machines(size) * self.cost("machine_at_front", size.machines)
            + size.routes * self.cost("route_pressed", size.routes)
            + 10_000 * self.cost("route_held", 10_000)
        )

    # Items of the page's tables

    def items(self) -> list[Item]:
        cost, message_bytes, limits, processes = (
            self.cost,
            self.message_bytes,
            self.limits,
            self.data["processes"],
        )

        def bytes_per_machine(size: Size) -> float:
            return cost("pull_all_bytes", size.machines) / size.machines

        def pull_cost(size: Size) -> float:
            # s for one answer with the machines that sent a heartbeat since the last
            return cost("pull_all", size.machines * min(1, PULL_INTERVAL_S / size.period))

        def concurrent_rollouts(size: Size) -> float:
            return ROLLOUTS_PER_SERVICE * size.services

        def config_change_time(size: Size) -> float:
            hop = (
                cost("chain_change", size.routes)
                + cost("change_delta", size.routes)
                + cost("change_applied", size.routes)
            )
            return cost("change_checked", size.routes) + size.members * hop + 1.0

        def front_memory(size: Size) -> float:
            return (
                processes["front"]
                + size.machines * cost("machine_at_front", size.machines)
                + size.routes * (cost("route_held", size.routes) + cost("change_peak", size.routes))
                + cost("change_bytes", size.routes)
                + size.services * cost("budget_held", size.services)
            )

        rollout_estimate = "each service has a roll-out of 900 s a week"
        return [
            Item(
                "front",
                "machines: told of each beat, by each member",
                "rate",
                "members x machines / period x bytes",
                lambda size: size.members * size.machines / size.period * bytes_per_machine(size),
                FRONT_BYTES_PER_S,
                "a front's for control",
                "pulls from every member; each beat is a change",
                ("pull_all_bytes",),
                proposed_mechanism="only what changed is told, by one source a front",
                proposed=self.proposed_state_rate,
            ),
            Item(
                "front",
                "machines: news taken in",
                "share",
                "members / period x time(machines)",
                lambda size: size.members / size.period * cost("news_taken", size.machines),
                FRONT_CPU_SHARE,
                "a front's for control",
                "the same",
                ("news_taken",),
                proposed_mechanism="the same",
                proposed=lambda size: (
                    size.ends * STATE_CHANGES_PER_MACHINE * cost("news_taken", 100) / 100
                ),
            ),
            Item(
                "front",
                "pulls without news",
                "rate",
                "members x (pull + answer) / 0.96 s",
                lambda size: (
                    size.members
                    * (message_bytes["pull request"] + message_bytes["pull answer without news"])
                    / PULL_INTERVAL_S
                ),
                FRONT_BYTES_PER_S,
                "a front's for control",
                "pulls from every member",
                proposed_mechanism="one source, a word each second; digests of a witness",
                proposed=self.proposed_pull_rate,
            ),
            Item(
                "front",
                "routes: a change of the configuration",
                "rate",
                "changes x bytes(routes) of a difference",
                lambda size: size.changes * cost("change_delta_bytes", size.routes),
                FRONT_BYTES_PER_S,
                "a front's for control",
                "the difference of the text",
                ("change_delta_bytes",),
                proposed_mechanism="the difference of records, by version",
                proposed=self.proposed_config_rate,
            ),
            Item(
                "front",
                "routes: a change comes into force",
                "share",
                "changes x time(routes)",
                lambda size: (
                    size.changes
                    * (cost("change_at_front", size.routes) + cost("change_applied", size.routes))
                ),
                FRONT_CPU_SHARE,
                "a front's for control",
                "the text made whole, all routes built anew",
                ("change_at_front", "change_applied"),
                proposed_mechanism="the routes of the difference alone",
                proposed=lambda size: size.changes * cost("change_at_front", 400),
            ),
            Item(
                "front",
                "memory: process, machines, routes, budgets, a change",
                "bytes",
                "process + machines x + routes x (held + change + text) + services x",
                front_memory,
                FRONT_MEMORY_BYTES,
                "a front's for control",
                "all of it held by every front",
                ("machine_at_front", "route_held", "change_peak", "change_bytes", "budget_held"),
                proposed_mechanism="its zone's machines and half as many; "
                "routes pressed in blocks, 10,000 open",
                proposed=self.proposed_front_memory,
            ),
            Item(
                "front",
                "tenants, were they rows of a table",
                "bytes",
                "tenants x (trial: no code knows them)",
                lambda size: size.tenants * cost("tenant_as_row", size.tenants),
                32e6,
                "a quarter of it (our choice)",
                "nothing",
                ("tenant_as_row",),
                proposed_mechanism="16 bytes of a sorted run (trial)",
                proposed=lambda size: size.tenants * cost("tenant_packed", size.tenants),
            ),
            Item(
                "front",
                "a request's decision, largest service",
                "time",
                "time(machines of the service)",
                lambda size: cost("request", LARGEST_SERVICE_SHARE * size.machines),
                0.0026,
                "added, 99 in 100",
                "every machine of the service is looked at",
                ("request",),
                estimate="a service holds 5 % of the machines",
                proposed_mechanism="20 of a service's machines by rendezvous, "
                "more as its load asks",
                proposed=lambda size: cost("request", 20),
            ),
            Item(
                "front",
                "budgets: second tries a service earns in a window",
                "tries",
                "requests / fronts / services x 10 s x 0.16",
                lambda size: (
                    size.requests / size.fronts / size.services * RETRY_WINDOW_S * RETRY_RATIO
                ),
                1.0,
                "one, or there is never a second try",
                "each front its own part of each service's",
                is_minimum=True,
                proposed_mechanism="a zone's fronts earn together: "
                "grants for 10 s from whoever the service's name picks",
                proposed=lambda size: (
                    size.requests / size.zones / size.services * RETRY_WINDOW_S * RETRY_RATIO
                ),
            ),
            Item(
                "front",
                "budgets shared out",
                "share",
                "time(services) each second",
                lambda size: cost("budgets_shared", size.services),
                FRONT_CPU_SHARE,
                "a front's for control",
                "one look a second",
                ("budgets_shared",),
            ),
            Item(
                "front",
                "votes: reports of roll-outs under way",
                "rate",
                "roll-outs at once x bytes / 0.25 s",
                lambda size: (
                    concurrent_rollouts(size) * message_bytes["a roll-out's report"] / 0.25
                ),
                FRONT_BYTES_PER_S,
                "a front's for control",
                "each front to the head, four times a second, whether it saw an outcome or not",
                estimate=rollout_estimate,
                proposed_mechanism="only fronts with outcomes report: "
                "at most 0.04 of a service's requests",
                proposed=lambda size: (
                    concurrent_rollouts(size)
                    * message_bytes["a roll-out's report"]
                    * min(4, 0.04 * size.requests / size.services / size.fronts)
                ),
            ),
            Item(
                "front",
                "probes: fronts known to a front",
                "count",
                "fronts",
                lambda size: size.fronts,
                limits["fronts known to a front"],
                "as the code has it",
                "every front knows every other",
                proposed_mechanism="a zone's fronts probe each other; zones by 3 of each",
                proposed=lambda size: size.fronts / size.zones + 3 * size.zones,
            ),
            Item(
                "front",
                "probes: bytes sent",
                "rate",
                "constant but for news",
                lambda size: cost("probe_bytes", min(size.fronts, 512)),
                FRONT_BYTES_PER_S,
                "a front's for control",
                "two probes a second, whatever the number",
                ("probe_bytes",),
            ),
            Item(
                "front",
                "probes: processor time",
                "share",
                "time(fronts known)",
                lambda size: cost("probe_time", size.fronts),
                FRONT_CPU_SHARE,
                "a front's for control",
                "each tick looks at all that are known",
                ("probe_time",),
                proposed_mechanism="by zones, as above",
                proposed=lambda size: cost("probe_time", size.fronts / size.zones),
            ),
            Item(
                "core member",
                "beats: taken over HTTP",
                "share",
                "machines / period / members x time",
                lambda size: (
                    size.machines / size.period / size.members * self.heartbeat_cpu_s("machines")
                ),
                MEMBER_CPU_SHARE,
                "what a member has",
                "hypercorn; machines pick a member by chance",
                proposed_mechanism="the front's own parser; "
                "reportTo spreads machines evenly over the members of their region",
                proposed=lambda size: (
                    size.machines / size.period / size.members * self.heartbeat_cpu_s("plain")
                ),
            ),
            Item(
                "core member",
                "machines held",
                "count",
                "machines",
                lambda size: size.machines,
                limits["machines of a member"],
                "as the code has it",
                "each member holds all",
                proposed_mechanism="a higher bound, or the region's own alone",
                proposed=lambda size: size.machines / size.regions,
            ),
            Item(
                "core member",
                "machines: the other members' news taken in",
                "share",
                "(members - 1) / period x time(machines)",
                lambda size: (size.members - 1) / size.period * cost("news_taken", size.machines),
                MEMBER_CPU_SHARE,
                "what a member has",
                "each pulls from each; each beat is a change",
                ("news_taken",),
                estimate="as dear as at a front",
                proposed_mechanism="only what changed is told",
                proposed=lambda size: (
                    (size.members - 1)
                    * size.ends
                    * STATE_CHANGES_PER_MACHINE
                    * cost("news_taken", 100)
                    / 100
                ),
            ),
            Item(
                "core member",
                "machines: memory",
                "bytes",
                "process + machines x",
                lambda size: (
                    processes["core member"] + size.machines * cost("machine_held", size.machines)
                ),
                MEMBER_MEMORY_BYTES,
                "what a member has",
                "a table",
                ("machine_held",),
            ),
            Item(
                "core member",
                "machines: the look for silent ones",
                "share",
                "time(machines) each 50 ms",
                lambda size: cost("silent_look", size.machines) / 0.05,
                MEMBER_CPU_SHARE / 5,
                "a fifth of a member (our choice)",
                "all are looked at",
                ("silent_look",),
                proposed_mechanism="in the order heard: only those due",
                proposed=lambda size: cost("silent_look_ordered", size.machines) / 0.05,
            ),
            Item(
                "core member",
                "snapshot of machines: bytes written",
                "rate",
                "min(1, ends x 3) x bytes(machines)",
                lambda size: min(1, size.ends * 3) * cost("machines_saved_bytes", size.machines),
                1e6,
                "of disk (our choice)",
                "the whole list, once a second where one came or went",
                ("machines_saved_bytes",),
                proposed_mechanism="the entries that changed",
                proposed=lambda size: size.ends * 3 * message_bytes["a machine told, not pressed"],
            ),
            Item(
                "core member",
                "pulls: answered",
                "share",
                "fronts / 0.96 s x time(machines that beat since)",
                lambda size: size.fronts / PULL_INTERVAL_S * pull_cost(size),
                MEMBER_CPU_SHARE,
                "what a member has",
                "each answer found, framed and pressed anew",
                ("pull_all",),
                proposed_mechanism="one source and a witness a front; "
                "one frame for all that hold one vector",
                proposed=lambda size: self.proposed_send_rate(size) * self.shared_send_cpu_s(),
            ),
            Item(
                "core member",
                "pulls: all else stands still after an urgent change",
                "time",
                "fronts x time(machines that beat since)",
                lambda size: size.fronts * pull_cost(size),
                0.1,
                "an answer's bound",
                "all waiting pulls answered in one turn",
                ("pull_all",),
                proposed_mechanism="by pieces of 10 ms",
                proposed=lambda size: 0.01,
            ),
            Item(
                "core member",
                "pulls: bytes sent",
                "rate",
                "fronts x machines / period x bytes",
                lambda size: size.fronts * size.machines / size.period * bytes_per_machine(size),
                LINK_BYTES_PER_S,
                "its link",
                "the same",
                ("pull_all_bytes",),
                proposed_mechanism="the same",
                proposed=lambda size: (
                    size.fronts
                    / size.members
                    * (
                        self.proposed_state_rate(size)
                        + self.proposed_pull_rate(size)
                        + self.proposed_config_rate(size)
                    )
                ),
            ),
            Item(
                "core member",
                "lines",
                "count",
                "fronts + members",
                lambda size: size.fronts + size.members,
                limits["lines of a member or front"],
                "as the code has it",
                "each front has a line to each member",
                proposed_mechanism="one source and a witness a front",
                proposed=lambda size: (1 + WITNESSES) * size.fronts / size.members + size.members,
            ),
            Item(
                "core member",
                "chain: a change on its way, processor time alone",
                "time",
                "checked(routes) + members x (time + made + applied) + 1 s",
                config_change_time,
                CONFIG_DEADLINE_S,
                "in force everywhere",
                "one member after another, differences on the wire, whole values in each",
                ("change_checked", "chain_change", "change_delta", "change_applied"),
                proposed_mechanism="the difference along the chain",
                proposed=lambda size: (
                    cost("change_checked", size.routes)
                    + size.members * cost("chain_change", 400)
                    + 1.0
                ),
            ),
            Item(
                "core member",
                "chain: bytes of changes",
                "rate",
                "changes x bytes(routes) of a difference",
                lambda size: size.changes * cost("change_delta_bytes", size.routes),
                1e6,
                "between zones (our choice)",
                "the difference of the text",
                ("change_delta_bytes",),
                proposed_mechanism="the same",
                proposed=self.proposed_config_rate,
            ),
            Item(
                "core member",
                "views: the members' own talk",
                "rate",
                "bytes(members)",
                lambda size: cost("chain_idle_bytes", size.members),
                1e6,
                "between zones (our choice)",
                "each pings each, five times a second",
                ("chain_idle_bytes",),
            ),
            Item(
                "core member",
                "votes: reports taken by the head",
                "share",
                "roll-outs at once x fronts / 0.25 s x time",
                lambda size: (
                    concurrent_rollouts(size)
                    * size.fronts
                    / 0.25
                    * (cost("report_taken", 256) + 15e-6)
                ),
                MEMBER_CPU_SHARE / 5,
                "a fifth of a member (our choice)",
                "all to the head; 15 us to read a frame (estimate)",
                ("report_taken",),
                estimate=rollout_estimate,
                proposed_mechanism="those with outcomes, summed by a front a zone",
                proposed=lambda size: (
                    concurrent_rollouts(size) * size.zones * 4 * (cost("report_taken", 256) + 15e-6)
                ),
            ),
            Item(
                "core member",
                "votes: fronts told apart in a roll-out",
                "count",
                "fronts",
                lambda size: size.fronts,
                limits["fronts that report"],
                "as the code has it",
                "by front",
                proposed_mechanism="by zone",
                proposed=lambda size: size.zones,
            ),
            Item(
                "core member",
                "versions: records of roll-outs told to a front",
                "rate",
                "(changes + roll-outs at once / 1 s) x bytes(services)",
                lambda size: (
                    (size.changes + min(10, concurrent_rollouts(size)))
                    * cost("records_told", size.services)
                ),
                FRONT_BYTES_PER_S,
                "a front's for control",
                "all records whenever the register's version rises",
                ("records_told",),
                estimate=rollout_estimate,
                proposed_mechanism="a record, when its stage begins; 160 bytes (estimate)",
                proposed=lambda size: concurrent_rollouts(size) * ROLLOUT_STAGES / 900 * 160,
            ),
            Item(
                "machine",
                "beats sent",
                "rate",
                "bytes / period",
                lambda size: message_bytes["beat request"] / size.period,
                FRONT_BYTES_PER_S,
                "none set: a front's",
                "one call a period, whatever the size",
            ),
            Item(
                "operator",
                "a configuration's bytes",
                "bytes",
                "bytes(routes)",
                lambda size: cost("change_bytes", size.routes),
                limits["call's body"],
                "as the code has it",
                "read whole, JSON",
                ("change_bytes",),
                proposed_mechanism="a higher bound for this call alone, read in pieces; "
                "the member asked finds the difference",
            ),
            Item(
                "operator",
                "a configuration's text that a difference is made for",
                "bytes",
                "bytes(routes)",
                lambda size: cost("change_bytes", size.routes),
                limits["text of a difference"],
                "as the code has it",
                "longer ones go whole",
                ("change_bytes",),
                proposed_mechanism="by records: no bound of the whole",
            ),
            Item(
                "operator",
                "a configuration's frame, before pressing",
                "bytes",
                "routes x bytes",
                lambda size: size.routes * message_bytes["a route in a frame, not pressed"],
                limits["frame"],
                "as the code has it",
                "one frame a configuration, JSON in JSON",
                proposed_mechanism="the difference",
                proposed=lambda size: cost("difference_bytes", size.routes),
            ),
            Item(
                "operator",
                "a configuration's check",
                "share",
                "changes x time(routes)",
                lambda size: size.changes * cost("change_checked", size.routes),
                MEMBER_CPU_SHARE / 5,
                "a fifth of a member (our choice)",
                "whole, in steps of 10 to 20 ms",
                ("change_checked",),
            ),
        ]

    def member_cpu_share(self, proposed: bool) -> float:
        """Return the processor time that a member needs at the target, as a share of a core.

        With `proposed`, items over their bound count with the cost of the proposed design."""
        return sum(
            item.proposed(TARGET)
            if proposed and item.proposed and item.exceeds_bound(TARGET)
            else item.current(TARGET)
            for item in self.items()
            if item.role == "core member" and item.kind == "share"
        )

    def exceeded_items(self) -> list[tuple[float, Item]]:
        """Return the items over their bounds at the target, ordered by their growth limits."""
        limits = [(item.growth_limit(), item) for item in self.items()]
        return sorted(
            ((growth_limit, item) for growth_limit, item in limits if growth_limit is not None),
            key=lambda pair: pair[0],
        )
