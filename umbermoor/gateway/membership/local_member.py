"""This proxy as a member: its address, its incarnation, and whether it is leaving."""

from umbermoor.gateway.membership.codec import (
    GENERATION_LIMIT,
    MAX_INCARNATION_NUMBER,
    pack_address,
)
from umbermoor.gateway.membership.messages import Incarnation, MemberState, MemberUpdate


class LocalMember:
    """This proxy's own state as a member.

    Raises:
        ValueError: the address is not that of a host, or the generation is out of range.
    """

    def __init__(self, address: str, generation: int) -> None:
        if pack_address(address) is None or not 0 <= generation < GENERATION_LIMIT:
            raise ValueError(f"invalid proxy address or generation: {address} {generation}")
        self.address = address
        self.incarnation = Incarnation(generation, 0)
        self.leave_announcements = 0

    @property
    def leaving(self) -> bool:
        """Whether it has announced that it leaves."""
        return self.leave_announcements > 0

    def refute(self, update: MemberUpdate, from_member: bool) -> bool:
        """Refute a false update on this proxy by moving to a later incarnation.

        An update from a sender that is not a member cannot change the generation.

        Returns:
            Whether the incarnation changed.
        """
        if self.leaving or update.incarnation < self.incarnation:
            return False
        if update.incarnation == self.incarnation and update.state is MemberState.ALIVE:
            return False
        generation, number = update.incarnation
        if generation != self.incarnation.generation and not from_member:
            return False
        if generation + 1 >= GENERATION_LIMIT:
            return False
        if number < MAX_INCARNATION_NUMBER:
            self.incarnation = Incarnation(generation, number + 1)
        else:
            self.incarnation = Incarnation(generation + 1, 0)
        return True
