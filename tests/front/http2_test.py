"""HTTP/2 to machines: what the end of each stream proves, compared with what a fake machine ran."""

import h2.config
import h2.connection
import h2.events
import h2.settings
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as some
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule
from twisted.internet.abstract import FileDescriptor
from twisted.internet.testing import MemoryReactor

from umbermoor.front.http2.frames import (
    MAX_CONTINUATIONS,
    MAX_EMPTY_FRAMES,
    ConnectionFault,
    FrameSplitter,
    Goaway,
)
from umbermoor.front.http2.pool import (
    HTTP1_FALLBACK,
    MAX_LINKS,
    MIN_PING_WAIT,
    OPEN_AHEAD_SHARE,
    Link,
    LinkPool,
    classify_links,
    ping_timeout,
)
from umbermoor.front.http2.session import Call, Session
from umbermoor.front.http2.stream_outcomes import PROOFS, Failed, Proof, StreamEnd, StreamProgress
from umbermoor.front.interface import NEVER_RAN, Ending
from umbermoor.front.server.outcomes import ending
from umbermoor.front.server.streams import outcome_of
from umbermoor.http1.buffers import Buffers
from umbermoor.http1.reader import Response

HEADS = [(":method", "GET"), (":scheme", "http"), (":authority", "api"), (":path", "/api")]


def raw(kind: int, flags: int = 0, stream: int = 0, payload: bytes = b"") -> bytes:
    return len(payload).to_bytes(3) + bytes([kind, flags]) + stream.to_bytes(4) + payload


def goaway(last: int, code: int = 0) -> bytes:
    return raw(7, 0, 0, last.to_bytes(4) + code.to_bytes(4))


class Peer:
    """A fake machine: it runs each complete request, unless it has announced that it will not."""

    def __init__(self, streams: int = 100, window: int | None = None) -> None:
        self.codec = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="latin-1")
        )
        codes = h2.settings.SettingCodes
        self.codec.local_settings = h2.settings.Settings(
            client=False,
            initial_values={codes.MAX_CONCURRENT_STREAMS: streams}
            | ({codes.INITIAL_WINDOW_SIZE: window} if window else {}),
        )
        self.codec.initiate_connection()
        self.ran: set[int] = set()
        self.open: set[int] = set()
        self.bodies: dict[int, bytes] = {}
        self.said: bytes = b""
        self.last = 1 << 40

    def receive(self, data: bytes) -> None:
        for event in self.codec.receive_data(data):
            number = getattr(event, "stream_id", 0) or 0
            if isinstance(event, h2.events.RequestReceived) and number <= self.last:
                self.open.add(number)
                self.bodies[number] = b""
            elif isinstance(event, h2.events.DataReceived) and number in self.open:
                self.bodies[number] += event.data
                self.codec.acknowledge_received_data(event.flow_controlled_length, number)
            elif isinstance(event, h2.events.StreamEnded) and number in self.open:
                self.ran.add(number)
            elif isinstance(event, h2.events.StreamReset):
                self.open.discard(number)

    def say(self) -> bytes:
        data, self.said = self.said + self.codec.data_to_send(), b""
        return data

    def answer(self, number: int, body: bytes = b"ok", **headers: str) -> None:
        self.open.discard(number)
        self.codec.send_headers(number, [(":status", "200"), *headers.items()])
        self.codec.send_data(number, body, end_stream=True)


class Pair:
    """A session and a fake machine, with a transport and the kernel between them.

    The transport holds one piece of the session at a time. Once the kernel has accepted all of it,
    the transport asks for the next at once, before anything else can happen: Twisted's
    `FileDescriptor.doWrite` calls `resumeProducing` of a pull producer right after the system call.
    Accepted bytes arrive, in any pieces, or are lost.
    """

    def __init__(self, **peer) -> None:
        self.now = 1_000_000
        self.session, self.peer = Session(Buffers(1 << 24), self.now), Peer(**peer)
        self.held = b""  # in the transport, not accepted by the kernel yet
        self.wire = b""  # accepted by the kernel, not received by the machine yet
        self.calls: list[Call] = []
        self.found: dict[Call, object] = {}
        self.gate = True

    def ask(self, body: bytes = b"") -> Call:
        call = Call(
            [*HEADS], body, lambda: self.gate, lambda outcome: self.found.__setitem__(call, outcome)
        )
        self.calls.append(call)
        self.session.submit(call)
        return call

    def accept(self, most: int = 99) -> None:
        """The kernel accepts up to `most` pieces of the transport, each whole."""
        self.held = self.held or self.session.next_bytes()
        while most and self.held:
            self.wire += self.held
            self.held = self.session.next_bytes()
            most -= 1

    def accept_part(self, share: float) -> None:
        """The kernel accepts a part of the piece in the transport, but not all of it."""
        self.held = self.held or self.session.next_bytes()
        size = min(int(share * len(self.held)), len(self.held) - 1)
        if size > 0:
            self.wire, self.held = self.wire + self.held[:size], self.held[size:]

    def arrive(self) -> None:
        data, self.wire = self.wire, b""
        if data:
            self.peer.receive(data)

    def hear(self) -> None:
        if data := self.peer.say():
            self.now += 1000
            self.session.receive(self.now, data)

    def turn(self) -> "Pair":
        for _ in range(4):
            self.accept()
            self.arrive()
            self.hear()
        return self


def ready(**peer) -> Pair:
    return Pair(**peer).turn()


def test_a_query_written_whole_never_counts_as_unrun_unless_the_machine_says_so():
    assert len(PROOFS) == len(StreamProgress) * len(StreamEnd)
    for (progress, end), proof in PROOFS.items():
        never = ending(outcome_of(Failed(progress, end))) in NEVER_RAN
        if progress is StreamProgress.ANSWERING or (
            progress is StreamProgress.WHOLE and end not in (StreamEnd.REFUSED, StreamEnd.ABOVE)
        ):
            assert proof is Proof.MAY_HAVE and not never, (progress, end)
        if never:
            assert proof is not Proof.MAY_HAVE, (progress, end)
    assert ending(outcome_of(Failed(StreamProgress.WHOLE, StreamEnd.ABOVE))) is Ending.MOOT
    assert ending(outcome_of(Failed(StreamProgress.WHOLE, StreamEnd.REFUSED))) is Ending.FULL
    assert ending(outcome_of(Failed(StreamProgress.WHOLE, StreamEnd.LATE))) is Ending.TIMEOUT


def test_queries_run_concurrently_and_are_answered_in_any_order():
    pair = ready()
    one, two = pair.ask(), pair.ask(b"order")
    pair.turn()
    assert pair.peer.ran == {1, 3} and pair.peer.bodies[3] == b"order"
    pair.peer.answer(3, b"second")
    pair.peer.answer(1, b"first")
    pair.turn()
    assert (pair.found[one].body, pair.found[two].body) == (b"first", b"second")


def test_no_query_is_sent_before_the_machine_has_sent_its_settings():
    pair = Pair()
    call = pair.ask()
    pair.accept()
    assert call.progress is StreamProgress.UNSENT and pair.session.next_bytes() == b""
    pair.turn()
    assert call.progress is StreamProgress.WHOLE


def test_a_machine_that_speaks_http1_is_detected_before_any_query_is_sent():
    for said in (
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
        b"H",
        b"\x00\x00\x08\x06\x00\x00\x00\x00\x00" + bytes(8),
    ):
        pair = Pair()
        call = pair.ask()
        pair.session.receive(pair.now, said)
        assert (
            pair.session.ended and not pair.session.speaks and pair.session.take_unsent() == [call]
        )
        assert call.progress is StreamProgress.UNSENT and call not in pair.found


def test_goaway_proves_what_never_ran_and_lower_streams_go_on():
    pair = ready()
    calls = [pair.ask() for _ in range(3)]
    pair.turn()
    waiting = pair.ask()
    pair.peer.said = goaway(2**31 - 1)  # announces the shutdown only
    pair.hear()
    assert not pair.found and pair.session.draining
    pair.peer.said = goaway(3)
    pair.hear()
    assert list(pair.found.items()) == [(calls[2], Failed(StreamProgress.WHOLE, StreamEnd.ABOVE))]
    pair.accept()
    assert waiting.progress is StreamProgress.UNSENT and pair.session.take_unsent() == [waiting]
    pair.peer.answer(1)
    pair.turn()
    assert isinstance(pair.found[calls[0]], Response)
    pair.session.lost()
    assert (
        pair.found[calls[1]] == Failed(StreamProgress.WHOLE, StreamEnd.LOST)
        and pair.found[calls[1]].proof is Proof.MAY_HAVE
    )


def test_a_goaway_with_a_rising_last_stream_ends_the_connection_and_proves_nothing():
    pair = ready()
    calls = [pair.ask() for _ in range(2)]
    pair.turn()
    pair.peer.said = goaway(3) + goaway(5)
    pair.hear()
    assert pair.session.ended and {pair.found[call].proof for call in calls} == {Proof.MAY_HAVE}


def test_on_a_lost_connection_only_queries_written_whole_may_have_run():
    pair = ready()
    whole, part = pair.ask(), pair.ask()
    pair.accept(1)
    pair.accept_part(0.9)
    assert pair.held  # the second is written, but the kernel has not accepted all of it
    unsent = pair.ask()
    pair.session.lost()
    assert [pair.found[one].proof for one in (whole, part)] == [Proof.MAY_HAVE, Proof.UNDELIVERED]
    assert pair.session.take_unsent() == [unsent]


class LimitedDescriptor(FileDescriptor):
    """A Twisted transport whose kernel accepts a given number of bytes at each write."""

    def __init__(self, session: Session) -> None:
        super().__init__(reactor=MemoryReactor())
        self.connected, self.session, self.most = 1, session, 0

    def writeSomeData(self, data: bytes) -> int:
        return min(self.most, len(data))

    def resumeProducing(self) -> None:
        if data := self.session.next_bytes():
            self.write(data)

    def stopProducing(self) -> None:
        pass


def test_the_transport_asks_on_in_the_write_that_takes_the_last_byte():
    # The model of `Pair` rests on this.
    pair = ready()
    call, transport = pair.ask(), LimitedDescriptor(pair.session)
    transport.registerProducer(transport, False)
    size = len(transport._tempDataBuffer[0])
    transport.most = size - 1
    transport.doWrite()
    assert call.progress is StreamProgress.PART
    transport.doWrite()
    assert call.progress is StreamProgress.WHOLE


def test_a_query_that_is_cancelled_in_the_transport_may_run():
    # Guards against a query that is sent again while the transport still sends the first attempt.
    pair = ready()
    for body in b"", b"order":
        call = pair.ask(body)
        pair.accept(0)
        while body and not pair.session.is_written_whole(call):
            pair.accept(1)
        assert pair.held and call.progress is StreamProgress.PART
        pair.session.cancel(call, StreamEnd.LATE)
        pair.turn()
        assert call.stream in pair.peer.ran and pair.found[call].proof is Proof.MAY_HAVE


def test_refused_streams_never_ran_and_other_resets_may_have():
    pair = ready()
    one, two = pair.ask(), pair.ask()
    pair.turn()
    pair.peer.codec.reset_stream(1, 7)
    pair.peer.codec.reset_stream(3, 2)
    pair.turn()
    assert (pair.found[one].proof, pair.found[two].proof) == (Proof.TURNED_AWAY, Proof.MAY_HAVE)


def test_a_waiting_query_is_checked_again_right_before_it_is_sent():
    pair = ready(streams=1)
    one, two = pair.ask(), pair.ask()
    pair.turn()
    assert (one.progress, two.progress) == (StreamProgress.WHOLE, StreamProgress.UNSENT)
    pair.gate = False
    pair.peer.answer(1)
    pair.turn()
    assert pair.found[two].proof is Proof.NEVER_RAN and pair.peer.ran == {1}


def test_the_stream_limit_may_fall_below_the_open_streams_and_to_zero():
    pair = ready(streams=3)
    calls = [pair.ask() for _ in range(4)]
    pair.turn()
    assert pair.peer.ran == {1, 3, 5}
    pair.peer.codec.update_settings({h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: 0})
    pair.turn()
    for number in (1, 3, 5):
        pair.peer.answer(number)
    pair.turn()
    assert calls[3].progress is StreamProgress.UNSENT and pair.session.limit == 0
    pair.peer.codec.update_settings({h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: 1})
    pair.turn()
    assert calls[3].progress is StreamProgress.WHOLE


def test_cancelling_one_call_leaves_the_other_streams():
    pair = ready()
    one, two = pair.ask(), pair.ask()
    pair.turn()
    pair.session.cancel(one, StreamEnd.STOPPED)
    pair.turn()
    assert pair.found[one].proof is Proof.MAY_HAVE and pair.peer.open == {3}
    pair.peer.answer(3)
    assert isinstance(pair.turn().found[two], Response) and not pair.session.ended


def test_a_large_body_waits_for_its_window_and_does_not_block_other_streams():
    pair = ready(window=1000)
    big = pair.ask(b"x" * 5000)
    pair.accept()
    other = pair.ask()
    pair.accept()
    assert (big.progress, other.progress) == (StreamProgress.PART, StreamProgress.WHOLE)
    pair.turn()
    pair.turn()
    assert pair.peer.bodies[1] == b"x" * 5000 and big.progress is StreamProgress.WHOLE


def test_a_response_over_the_size_limit_ends_only_its_stream():
    pair = ready()
    one, two = pair.ask(), pair.ask()
    pair.turn()
    pair.peer.codec.send_headers(1, [(":status", "200")])
    for _ in range(6):
        room = min(16_000, pair.peer.codec.local_flow_control_window(1))
        if room and 1 in pair.peer.open:
            pair.peer.codec.send_data(1, b"x" * room)
        pair.turn()
    pair.peer.answer(3, b"fine")
    pair.turn()
    assert (
        pair.found[one] == Failed(StreamProgress.ANSWERING, StreamEnd.GARBLED)
        and pair.found[two].body == b"fine"
    )


@pytest.mark.parametrize("early, proof", [(False, Proof.MAY_HAVE), (True, Proof.MAY_HAVE)])
def test_a_response_of_wrong_length_or_before_the_querys_end_is_rejected(early, proof):
    pair = ready(window=10)
    call = pair.ask(b"x" * 50 if early else b"")
    pair.accept()
    pair.arrive()
    pair.peer.codec.send_headers(
        1, [(":status", "200"), *([] if early else [("content-length", "5")])]
    )
    if early:
        pair.peer.codec.send_data(1, b"ok", end_stream=True)
    else:
        pair.peer.codec.send_data(1, b"four"[:4])
        pair.peer.said = pair.peer.codec.data_to_send() + raw(
            0, 1, 1
        )  # shorter than its Content-Length
    pair.hear()
    assert pair.found[call].proof is proof


def test_interim_responses_and_trailers_are_ignored_up_to_a_limit():
    pair = ready()
    one, two = pair.ask(), pair.ask()
    pair.turn()
    pair.peer.codec.send_headers(1, [(":status", "103")])
    pair.peer.codec.send_headers(1, [(":status", "200")])
    pair.peer.codec.send_data(1, b"ok")
    pair.peer.codec.send_headers(1, [("checksum", "1")], end_stream=True)
    for _ in range(20):
        pair.peer.codec.send_headers(3, [(":status", "102")])
    pair.turn()
    assert (
        pair.found[one].body == b"ok"
        and pair.found[two].proof is Proof.MAY_HAVE
        and not pair.session.ended
    )


BLOCK = bytes([0x88])  # :status 200


@pytest.mark.parametrize(
    "bad",
    [
        raw(1, 0, 1, BLOCK) + raw(9, 0, 1, b"\x00") * (MAX_CONTINUATIONS + 1),
        raw(1, 0, 1, b"\x00" * 16_000) + raw(9, 0, 1, b"\x00" * 16_384) * 2,
        raw(6, 0, 0, bytes(8)) * (MAX_EMPTY_FRAMES + 2),
        raw(4) * (MAX_EMPTY_FRAMES + 2),
        raw(0, 0, 1) * (MAX_EMPTY_FRAMES + 2),
        raw(0, 8, 1, b"\x05" + bytes(5)) * (MAX_EMPTY_FRAMES + 2),
        raw(0x77, 0, 1, b"?") * (MAX_EMPTY_FRAMES + 2),
        raw(8, 0, 1, bytes(4)),
        raw(8, 0, 0, (2**31 - 1).to_bytes(4)) * 2,
        raw(5, 4, 1, (2).to_bytes(4) + BLOCK),
        raw(1, 4, 2, BLOCK),
        raw(0, 0, 99, b"x"),
        raw(7, 0, 0, b"short"),
        goaway(9) * 9,
        b"\x01\x00\x00" + raw(0, 0, 1)[3:],
        raw(6, 0, 0, b"short"),
        raw(4, 0, 0, b"12345"),
        raw(9, 4, 1, BLOCK),
        raw(3, 0, 0, bytes(4)),
    ],
)
def test_invalid_input_ends_the_connection_or_stream_and_leaves_no_call_open(bad):
    pair = ready()
    call = pair.ask()
    pair.turn()
    pair.session.receive(pair.now, bad)
    if not pair.session.ended:  # an error of the stream only
        assert call in pair.found
    else:
        assert pair.found[call].proof is Proof.MAY_HAVE and pair.session.fault
    assert pair.session.open_streams == 0


def test_frames_are_split_correctly_whatever_pieces_arrive():
    data = raw(4) + raw(6, 1, 0, bytes(8)) + goaway(7, 3) + raw(0, 1, 1, b"body")
    for size in range(1, len(data)):
        splitter, found = FrameSplitter(0), []
        for at in range(0, len(data), size):
            found += splitter.feed(0, data[at : at + size])
        assert found == [raw(4), raw(6, 1, 0, bytes(8)), Goaway(7, 3), raw(0, 1, 1, b"body")]
    assert isinstance(FrameSplitter(0).feed(0, b"\x00\x00\x00\x00")[:0], list)
    assert isinstance(FrameSplitter(0).feed(0, raw(0))[0], ConnectionFault)


# The pool.


def link(streams: int = 0, limit: int = 10, **more) -> Link:
    return Link(0, settled=more.pop("settled", True), streams=streams, limit=limit, **more)


def test_the_pool_picks_the_least_loaded_link_and_opens_another_before_the_limit():
    pool = LinkPool()
    assert pool.pick_link() is None and pool.needs_another_link()
    one, two = link(6), link(2)
    pool.links = [one, two]
    assert pool.pick_link() is two and not pool.needs_another_link()
    two.streams = 9
    assert pool.needs_another_link() and OPEN_AHEAD_SHARE * 20 <= 15
    two.usable = False  # draining: a successor is opened while it finishes
    one.streams = 8
    assert pool.pick_link() is one and pool.needs_another_link()
    one.streams = 10
    assert pool.pick_link() is None and pool.least_loaded_link() is one
    pool.links = [link(10) for _ in range(MAX_LINKS)]
    assert not pool.needs_another_link()
    pool.use_http1(5)
    assert not pool.speaks(4 + HTTP1_FALLBACK) and pool.speaks(5 + HTTP1_FALLBACK)


def test_a_silence_is_compared_with_the_gaps_before_it():
    quick, slow = link(1, busy_since=1), link(1, busy_since=1)
    for at in range(1, 50):
        quick.learn(at * 10_000)
        slow.learn(at * 400_000)
    now = quick.heard + 300_000
    slow.heard = quick.heard
    assert classify_links(now, [quick, slow])[0] == [quick] and slow.phi(now) < 1 < quick.phi(now)
    quick.pinged = now
    assert classify_links(now + 1, [quick])[1] == [] and classify_links(
        now + ping_timeout(quick) + 1, [quick]
    )[1] == [quick]
    assert MIN_PING_WAIT <= ping_timeout(quick) <= ping_timeout(slow)
    idle, unsettled = link(0, heard=1), link(1, settled=False)
    assert classify_links(10**9, [idle, unsettled]) == ([], [unsettled], [idle])


# In any order of events, a query that ran is never classified as "never ran".


class AnyOrder(RuleBasedStateMachine):
    calls = Bundle("calls")

    def __init__(self) -> None:
        super().__init__()
        self.pair = ready(streams=4)
        self.closed = False

    @rule(target=calls, body=some.sampled_from([b"", b"order", b"x" * 40_000]))
    def ask(self, body):
        return self.pair.ask(body)

    @rule(most=some.integers(1, 4))
    def accept(self, most):
        if not self.closed:
            self.pair.accept(most)

    @rule(share=some.floats(0, 1))
    def accept_part(self, share):
        if not self.closed:
            self.pair.accept_part(share)

    @rule()
    def arrive(self):
        self.pair.arrive()

    @rule()
    def hear(self):
        if not self.closed:
            self.pair.hear()

    @rule(call=consumes(calls), end=some.sampled_from([StreamEnd.LATE, StreamEnd.STOPPED]))
    def stop(self, call, end):
        self.pair.session.cancel(call, end)

    @rule(pick=some.integers(0, 9), how=some.sampled_from(["answer", "refuse", "reset"]))
    def settle(self, pick, how):
        peer = self.pair.peer
        if self.closed or not peer.open:
            return
        number = sorted(peer.open)[pick % len(peer.open)]
        if how == "answer" and number in peer.ran:
            peer.answer(number)
        elif (how == "refuse" and number not in peer.ran) or how == "reset":
            peer.open.discard(number)
            peer.codec.reset_stream(number, 7 if how == "refuse" else 2)

    @rule(early=some.booleans())
    def go_away(self, early):
        peer = self.pair.peer
        if not self.closed:
            last = 2**31 - 1 if early else max(peer.ran, default=0)
            if last <= peer.last:
                peer.last = last
                peer.open = {one for one in peer.open if one <= last}
                peer.said += peer.codec.data_to_send() + goaway(last)

    @rule(share=some.floats(0, 1))
    def close(self, share):
        """A part of what the kernel holds still arrives; the rest is lost."""
        if not self.closed:
            self.closed = True
            self.pair.wire = self.pair.wire[: int(share * len(self.pair.wire))]
            self.pair.arrive()
            self.pair.session.lost()
            self.pair.session.take_unsent()

    @invariant()
    def nothing_that_ran_is_called_unrun(self):
        for call, outcome in self.pair.found.items():
            if isinstance(outcome, Failed) and ending(outcome_of(outcome)) in NEVER_RAN:
                assert call.stream not in self.pair.peer.ran, (outcome, call.stream)
            assert call.over

    @invariant()
    def no_more_streams_than_allowed(self):
        assert self.pair.session.open_streams <= 4 and len(self.pair.found) == sum(
            call.over for call in self.pair.calls
        )


AnyOrder.TestCase.settings = settings(
    max_examples=120, stateful_step_count=40, deadline=None, suppress_health_check=list(HealthCheck)
)
TestAnyOrder = AnyOrder.TestCase
