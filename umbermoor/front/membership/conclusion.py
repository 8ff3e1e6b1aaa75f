"""Merges the machine lists of several sources by a configured rule, with reasons. Without I/O.

    first      the machines of the first usable source, in the configured order
    any        machines that at least one usable source lists
    all        machines that all usable sources list
    quorum     machines that at least `quorum` usable sources list (all of them, if there are fewer)
    split      one source decides which machines exist, another supplies their attributes

A source is usable if it answers, or if its last good answer is not too old. Under every rule a
machine drains if any source says so. Failures of sources never empty the list: if no source is
usable, the previous result stays in force.
"""

from typing import Literal, NamedTuple

from umbermoor.front.interface import Entry, Listing, Readiness
from umbermoor.front.membership.sources import SeenMachine, SourceTracker

Rule = Literal["first", "any", "all", "quorum", "split"]


class Member(NamedTuple):
    """A machine of the merged list."""

    seen: SeenMachine
    by: tuple[str, ...]  # the sources that list it
    why: str  # the reason it is in the list, for operators


class Conclusion(NamedTuple):
    """The merged list."""

    members: dict[str, Member]
    is_stale: bool  # of an earlier time, as no source is usable


class Concluder:
    """Merges the lists of the sources by a rule.

    Args:
        tracker: the sources and what they reported.
        rule: name of the rule, see the module's docstring.
        quorum: number of sources for the rule `quorum`.
        existence: for the rule `split`, the source that decides which machines exist.
        facts: source whose attributes of a machine have precedence.
    """

    def __init__(
        self,
        tracker: SourceTracker,
        rule: Rule,
        quorum: int = 2,
        existence: str = "",
        facts: str = "",
    ) -> None:
        self.tracker, self.rule, self.quorum = tracker, rule, quorum
        self.existence, self.facts = existence, facts
        self.last = Conclusion({}, True)

    def conclude(self, now: int) -> Conclusion:
        """Merge what the sources reported up to `now`."""
        self.tracker.tick(now)
        usable = [name for name, source in self.tracker.sources.items() if source.is_usable(now)]
        required = [self.existence] if self.rule == "split" else list(self.tracker.sources)
        if not any(name in usable for name in required):
            self.last = self.last._replace(is_stale=True)
            return self.last
        reported = {
            name: self._by_address(self.tracker.present_machines(now, name)) for name in usable
        }
        members = {}
        for name, (by, why) in self._select(reported, usable).items():
            seen = self._merge_facts(name, by, reported)
            members[seen.name] = Member(seen, by, why)
        self.last = Conclusion(dict(sorted(members.items())), False)
        return self.last

    def _by_address(self, present: dict[str, SeenMachine]) -> dict[tuple[str, int], SeenMachine]:
        """Index machines by address.

        An address is one machine; if a source lists it under several names, the first in
        alphabetical order counts.
        """
        found: dict[tuple[str, int], SeenMachine] = {}
        for name in sorted(present):
            found.setdefault(present[name].address, present[name])
        return found

    def _select(
        self, reported: dict[str, dict], usable: list[str]
    ) -> dict[tuple[str, int], tuple[tuple[str, ...], str]]:
        """Return the machines that the rule selects: by address, their sources and the reason."""
        if self.rule == "split":
            return {
                address: (
                    tuple(name for name in usable if address in reported[name]),
                    f"{self.existence} says so",
                )
                for address in reported[self.existence]
            }
        if self.rule == "first":
            first = usable[0]
            return {
                address: (
                    tuple(name for name in usable if address in reported[name]),
                    f"{first} is the first that speaks",
                )
                for address in reported[first]
            }
        addresses = dict.fromkeys(address for name in usable for address in reported[name])
        required = {"any": 1, "all": len(usable), "quorum": min(self.quorum, len(usable))}[
            self.rule
        ]
        found = {}
        for address in addresses:
            by = tuple(name for name in usable if address in reported[name])
            if len(by) >= required:
                found[address] = (
                    by,
                    f"named by {len(by)} of {len(usable)} that speak; {required} needed",
                )
        return found

    def _merge_facts(
        self, address: tuple[str, int], by: tuple[str, ...], reported: dict[str, dict]
    ) -> SeenMachine:
        """Merge the sources' entries for one machine.

        Name and address come from the first source that lists it, each other attribute from the
        first that knows it; the source `facts` goes first.
        """
        order = [name for name in (self.facts, *by) if name and address in reported.get(name, {})]
        views = [reported[name][address] for name in dict.fromkeys(order)]
        seen = views[0]
        drains = any(view.readiness is Readiness.DRAINING for view in views)
        facts = {
            field: next(
                (value for view in views if (value := getattr(view, field)) is not None), None
            )
            for field in ("build", "born", "zone", "cell", "weight")
        }
        return seen._replace(readiness=Readiness.DRAINING if drains else Readiness.READY, **facts)


def entry_of(member: Member) -> Entry:
    """Convert to an `Entry` of the front; what no source knows gets a default.

    The defaults are those of a machine that has run for long.
    """
    seen = member.seen
    return Entry(
        seen.name,
        seen.build or 0,
        seen.zone or 0,
        seen.cell or 0,
        seen.readiness,
        seen.weight or 1.0,
        seen.born or 0,
    )


def difference(old: dict[str, Member], new: dict[str, Member]) -> tuple[Listing, list[Entry]]:
    """Return the changes from `old` to `new` as entries for the front.

    A machine that changed, in its address for example, appears as it is now.
    """
    entries = [
        entry_of(member)
        for name, member in new.items()
        if name not in old
        or (old[name].seen, old[name].seen.address) != (member.seen, member.seen.address)
    ]
    entries += [
        entry_of(member)._replace(readiness=Readiness.GONE)
        for name, member in old.items()
        if name not in new
    ]
    return Listing.CHANGES, entries


def describe_membership(now: int, concluder: Concluder, machine: str | None = None) -> list[str]:
    """Return lines for operators: state of the sources, merged list with reasons, recent events.

    Args:
        now: current time, microseconds.
        concluder: the merged list and its sources.
        machine: name of the only machine to show; None for all.
    """
    lines = []
    for source in concluder.tracker.sources.values():
        age = f"{(now - source.good_at) / 1e6:.1f} s ago" if source.good_at else "never"
        state = f"fails ({source.why})" if source.failing_since else "speaks"
        lines.append(
            f"source {source.name}: {state}, {len(source.machines)} machines, last good {age}"
            + (f", {len(source.withheld)} held" if source.withheld else "")
        )
    for name, member in concluder.last.members.items():
        if machine in (None, name):
            lines.append(
                f"{name} {member.seen.address[0]}:{member.seen.address[1]} "
                f"{member.seen.readiness.name.lower()}: "
                f"{member.why} ({', '.join(member.by)})"
            )
    if machine is not None and machine not in concluder.last.members:
        lines.append(f"{machine}: not in the list")
    for event in concluder.tracker.events[-20:]:
        if machine in (None, event.machine) or not event.machine:
            lines.append(
                f"{(now - event.at) / 1e6:.1f} s ago, {event.source}: {event.machine} "
                f"{event.what}".replace(":  ", ": ")
            )
    return lines
