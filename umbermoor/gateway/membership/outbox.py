"""Messages on their way out, with the updates that each carries."""

import random

from umbermoor.gateway.membership.codec import MAX_UPDATES, encode
from umbermoor.gateway.membership.local_member import LocalMember
from umbermoor.gateway.membership.member_table import MemberTable
from umbermoor.gateway.membership.messages import (
    Datagram,
    MemberState,
    MemberUpdate,
    Message,
    MessageType,
)
from umbermoor.gateway.membership.updates import UpdateQueue


class Outbox:
    """Collects the datagrams that one input to the failure detector leads to."""

    def __init__(
        self, local: LocalMember, table: MemberTable, updates: UpdateQueue, rng: random.Random
    ) -> None:
        self._local = local
        self._table = table
        self._updates = updates
        self._rng = rng
        self._datagrams: list[Datagram] = []

    def send(
        self,
        to: str,
        kind: MessageType,
        sequence_number: int = 0,
        subject: str = "",
        fill_with_members: bool = False,
    ) -> None:
        """Adds a message; `subject` "" stands for this proxy itself.

        Args:
            to: the receiver's address.
            kind: what the message is for.
            sequence_number: 0 where nothing is asked or answered.
            subject: the third proxy it is about.
            fill_with_members: whether the room left is filled up with members.
        """
        updates = self._updates_for(to, fill_with_members)
        local = self._local
        message = Message(
            kind,
            local.address,
            local.incarnation,
            sequence_number,
            subject or local.address,
            updates,
        )
        self._datagrams.append(Datagram(to, encode(message)))

    def _updates_for(self, to: str, fill_with_members: bool) -> list[MemberUpdate]:
        """The updates that a message to this address carries.

        Only members are sent gossip. Whoever is suspect, departed, or known at a later incarnation
        than its own is told that first (Lifeguard's buddy system).
        """
        updates: list[MemberUpdate] = []
        if self._local.leaving:
            updates.append(
                MemberUpdate(MemberState.LEFT, self._local.address, self._local.incarnation)
            )
        member = self._table.members.get(to)
        if member is None:
            departed = self._table.departed.get(to)
            if departed is not None and not departed.never_answered:
                updates.append(MemberUpdate(departed.state, to, departed.incarnation))
            return updates
        if member.suspicion is not None or member.outdated:
            updates.append(MemberUpdate(member.state, to, member.incarnation))
        updates += self._updates.take(MAX_UPDATES - len(updates), len(self._table.members))
        if fill_with_members:
            updates += self._sample_members(to, updates)
        return updates

    def _sample_members(self, to: str, updates: list[MemberUpdate]) -> list[MemberUpdate]:
        """Members that these updates do not name yet, as many as there is room for."""
        named = {to, *(update.address for update in updates)}
        members = self._table.members
        others = [address for address in members if address not in named]
        room = MAX_UPDATES - len(updates)
        return [
            MemberUpdate(members[address].state, address, members[address].incarnation)
            for address in self._rng.sample(others, min(len(others), room))
        ]

    def drain(self) -> list[Datagram]:
        """Returns what was collected, and empties the outbox."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams
