"""What may be handed to whom at all: the one gate of the rules, the room of cold machines."""

from umbermoor.front.interface import Group, Repeat
from umbermoor.front.policy.exposure import MOVING, Exposure
from umbermoor.front.records import Machine, Query

COLD_PART = 0.7  # part of the pressure allowed on a cold machine that this front uses of its own share


class Limits(Exposure):
    def may_still(self, now: int, query: str, number: int) -> bool:
        """Threat: what changes while a hand-off waits for its connection: the gate again, as if unsent."""
        held = self.queries.get(query)
        if not held or held.hand_offs[number].ending is not None:
            return False
        machine = held.hand_offs[number].machine
        self._charge(held, machine, -1)
        may = self.machines.get(machine.id) is machine and self._may(now, held.without(number), machine)
        self._charge(held, machine, 1)
        return may

    def _may(self, now: int, held: Query, machine: Machine) -> bool:
        """The one gate of the rules: whether this query may be handed to this machine now."""
        charter, profile, hand_offs = self.charter, self.charter.profiles[held.profile], held.hand_offs
        if (held.ended or now >= held.due or len(hand_offs) >= charter.most_hand_offs
                or not machine.ready  # drains: none of the grace is used
                or hand_offs and hand_offs[-1].ending is None and not charter.may_copy
                or (ran := held.ran) and profile.repeat is Repeat.BINDING
                or ran and profile.repeat is Repeat.FINGERPRINTED and (now - ran.sent >= profile.window
                    or profile.group is Group.ZONE and machine.zone != ran.machine.zone
                    or profile.group is Group.CELL and machine.cell != ran.machine.cell)):
            return False
        if self._on_trial(machine.build):
            announced = (news := self.news) is not None and machine.build == news.build
            if news and (announced and news.cap <= 0 or not announced and news.phase in MOVING):
                return False  # on its way back a build may still take what its falling cap lets it
            guarded = (news.stage if announced else 0) < charter.guarded_stages
            if guarded and profile.repeat is not Repeat.RETRIABLE or self.credit[held.scope] < 1:
                return False
        elif held.key in self.answered and machine.build < self.news.build:
            return False
        return self._warmth(now, machine) >= 1 or self._room(now, machine) >= 0

    def _room(self, now: int, machine: Machine) -> float:
        """Work that a cold machine may still be sent: a part of the most that others did for this front."""
        rate = self.peak_work_rate * COLD_PART * self.charter.fall_multiple * self._warmth(now, machine)
        machine.room = min(machine.room + rate * (now - machine.room_at), rate * self.charter.fall_span / 2)
        machine.room_at = now
        return machine.room
