"""One list out of many sources, by a stated rule; with reasons. Without I/O.

    first      the first source, in order, that still speaks
    any        who is named by any source that speaks
    all        who is named by all sources that speak
    quorum     who is named by so many of the sources that speak (by all of them, where fewer speak)
    split      one source says who is there, another what is known of it

Whatever the rule: a source that says that a machine drains is believed, and a rule never empties
the list because sources
fail: then the last conclusion stands.
"""

from typing import Literal, NamedTuple

from umbermoor.front.interface import Entry, Listing, Readiness
from umbermoor.front.membership.sources import SeenMachine, SourceTracker

Rule = Literal["first", "any", "all", "quorum", "split"]


class Member(NamedTuple):
    """A machine as it was concluded."""

    seen: SeenMachine
    by: tuple[str, ...]  # the sources that name it
    why: str


class Conclusion(NamedTuple):
    members: dict[str, Member]
    is_stale: bool  # of an earlier time: no source speaks


class Concluder:
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
        self.tracker.tick(now)
        speaking = [name for name, source in self.tracker.sources.items() if source.speaks(now)]
        required = [self.existence] if self.rule == "split" else list(self.tracker.sources)
        if not any(name in speaking for name in required):
            self.last = self.last._replace(is_stale=True)
            return self.last
        reported = {
            name: self._by_address(self.tracker.present_machines(now, name)) for name in speaking
        }
        members = {}
        for name, (by, why) in self._select(reported, speaking).items():
            seen = self._merge_facts(name, by, reported)
            members[seen.name] = Member(seen, by, why)
        self.last = Conclusion(dict(sorted(members.items())), False)
        return self.last

    def _by_address(self, present: dict[str, SeenMachine]) -> dict[tuple[str, int], SeenMachine]:
        """One address is one machine, whatever names a source gives it: the first by name
        stands."""
        found: dict[tuple[str, int], SeenMachine] = {}
        for name in sorted(present):
            found.setdefault(present[name].address, present[name])
        return found

    def _select(
        self, reported: dict[str, dict], speaking: list[str]
    ) -> dict[tuple[str, int], tuple[tuple[str, ...], str]]:
        """By address: who names it, and why it counts."""
        if self.rule == "split":
            return {
                address: (
                    tuple(name for name in speaking if address in reported[name]),
                    f"{self.existence} says so",
                )
                for address in reported[self.existence]
            }
        if self.rule == "first":
            first = speaking[0]
            return {
                address: (
                    tuple(name for name in speaking if address in reported[name]),
                    f"{first} is the first that speaks",
                )
                for address in reported[first]
            }
        addresses = dict.fromkeys(address for name in speaking for address in reported[name])
        required = {"any": 1, "all": len(speaking), "quorum": min(self.quorum, len(speaking))}[
            self.rule
        ]
        found = {}
        for address in addresses:
            by = tuple(name for name in speaking if address in reported[name])
            if len(by) >= required:
                found[address] = (
                    by,
                    f"named by {len(by)} of {len(speaking)} that speak; {required} needed",
                )
        return found

    def _merge_facts(
        self, address: tuple[str, int], by: tuple[str, ...], reported: dict[str, dict]
    ) -> SeenMachine:
        """Each fact from the first source that knows it; the name from the first that is not just
        an address."""
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
    """In the module's form. What no source knows is as of a machine that has run for long."""
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
    """What has changed, as changes for the module; a machine that moved is told as it is now."""
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
    """Who said what when, what was concluded, and why; a line each."""
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
