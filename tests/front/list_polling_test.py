"""Calls for the list of machines: by one front, and by a fleet of fronts that share one service."""

import heapq
import random

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from umbermoor.front.list_polling import (
    ANSWER_TIMEOUT,
    MAX_PAUSE,
    MAX_RENEWAL_DELAY,
    MAX_SPREAD,
    QUEUED_ANSWER_TIMEOUT,
    RETRY_INITIAL,
    SECOND,
    WATCH_WAIT,
    ListPolling,
)
from umbermoor.front.server.discovery import Discovery
from umbermoor.http1.buffers import Buffers


def service(
    fronts: int, a_second: float, asked: bool, seconds: int, back_at: int = 0, seed: int = 1
) -> list[int]:
    """Simulate fronts that start together, each with a list of version 0, and one service.

    The service handles `a_second` calls each second. It rejects a call that would wait for more
    than a second, at a fifth of the cost of an answered call; a call that times out costs as much
    as an answered one. Until `back_at` it answers nothing.

    Returns:
        The times at which the fronts' watches were established, sorted.
    """
    work, free_at, watching_since = SECOND / a_second, 0.0, {}
    pollings = [
        ListPolling(fronts, asked, random.Random(f"{seed} {at}").random) for at in range(fronts)
    ]
    due = [(one.first_delay(0), at) for at, one in enumerate(pollings)]
    heapq.heapify(due)
    while due and due[0][0] < seconds * SECOND:
        now, at = heapq.heappop(due)
        if at in watching_since:
            continue
        call = pollings[at].call()
        turn = max(0.0, free_at - now)
        if now < back_at or turn > SECOND:
            free_at = max(free_at, now) + work / 5 * (now >= back_at)
            heapq.heappush(due, (now + pollings[at].failed(), at))
            continue
        free_at = max(free_at, now) + work
        if turn + work > call.limit - call.wait:
            heapq.heappush(due, (now + call.limit + pollings[at].failed(), at))
            continue
        whole = pollings[at].version is None
        pollings[at].answered(0)
        if whole:  # the watch is a further call
            heapq.heappush(due, (round(free_at), at))
        else:
            watching_since[at] = round(free_at)
    return sorted(watching_since.values())


def test_forty_fronts_starting_together_all_establish_a_watch() -> None:
    for seed in range(3):
        watching_since = service(40, 4, True, 30, seed=seed)
        assert (
            len(watching_since) == 40
            and watching_since[-1] < 25 * SECOND
            and watching_since[19] < 9 * SECOND
        ), watching_since
        assert (
            len(service(40, 4, False, 30, seed=seed)) < 20
        )  # polling as if calls cost nothing: only the same few are answered


def test_two_hundred_fronts_do_so_with_a_larger_service_and_after_an_outage() -> None:
    watching_since = service(200, 20, True, 30)
    assert len(watching_since) == 200 and watching_since[-1] < 25 * SECOND
    back = service(200, 20, True, 60, back_at=8 * SECOND)
    assert len(back) == 200 and back[99] < 25 * SECOND, back[99]


def test_single_front_calls_immediately_and_retries_soon() -> None:
    for asked in (False, True):
        polling = ListPolling(1, asked, lambda: 0.5)
        assert polling.first_delay(None) == 0 and polling.failed() == RETRY_INITIAL


def test_pushed_changes_full_list_first_and_calls_not_spread() -> None:
    polling = ListPolling(200, False, lambda: 0.9)
    assert polling.first_delay(7) == 0 and polling.call() == (None, 0, ANSWER_TIMEOUT)
    polling.answered(8)
    assert polling.call() == (8, WATCH_WAIT, WATCH_WAIT + ANSWER_TIMEOUT)
    assert polling.failed() <= 2 * RETRY_INITIAL and polling.address_changed() == 0


def test_requested_changes_only_newer_versions_and_long_first_timeout() -> None:
    polling = ListPolling(40, True, lambda: 0.5)
    assert 0 < polling.first_delay(7) <= MAX_SPREAD
    assert polling.call() == (7, WATCH_WAIT, WATCH_WAIT + QUEUED_ANSWER_TIMEOUT)
    polling.answered(7)
    assert (
        polling.call().limit == WATCH_WAIT + ANSWER_TIMEOUT
    )  # a silent established watch is noticed as soon as in push mode
    assert (
        polling.failed() <= MAX_RENEWAL_DELAY
    )  # and reopened before the front counts as informed of what it missed
    assert polling.call().limit == WATCH_WAIT + QUEUED_ANSWER_TIMEOUT


def test_older_version_or_malformed_answer_leads_to_a_request_for_the_full_list() -> None:
    polling = ListPolling(40, True, lambda: 0.5)
    polling.answered(7)
    assert not polling.answered(6) and polling.call().after is None
    assert polling.answered(6) and polling.call().after == 6
    polling.unreadable()
    assert polling.call().after is None


@given(
    st.integers(1, 2000),
    st.booleans(),
    st.lists(st.sampled_from("fam"), max_size=30),
    st.floats(0, 1),
)
def test_no_pause_is_longer_than_told(
    fronts: int, asked: bool, steps: list[str], drawn: float
) -> None:
    polling = ListPolling(fronts, asked, lambda: drawn)
    assert 0 <= polling.first_delay(0) <= MAX_SPREAD
    for step in steps:
        if step == "a":
            assert polling.answered(0)
        else:
            pause = polling.failed() if step == "f" else polling.address_changed()
            assert 0 <= pause <= 1.5 * MAX_PAUSE
            assert step == "f" or pause <= MAX_RENEWAL_DELAY


def test_discovery_calls_when_the_polling_schedule_says() -> None:
    reactor = MemoryReactorClock()
    discovery = Discovery(
        reactor,
        Buffers(64 << 20),
        ("127.0.0.1", 8500),
        {},
        lambda *_: None,
        ListPolling(40, True, lambda: 0.5),
    )
    discovery.start(3)
    assert not reactor.tcpClients
    reactor.advance(0.97)
    assert not reactor.tcpClients
    reactor.advance(0.01)
    assert len(reactor.tcpClients) == 1 and discovery.counts["list_calls"] == 1
    discovery.move(("127.0.0.1", 8501))
    reactor.advance(0.74)
    assert len(reactor.tcpClients) == 1
    reactor.advance(0.02)
    assert [one[1] for one in reactor.tcpClients] == [8500, 8501]
    discovery.stop()
    reactor.advance(30)
    assert len(reactor.tcpClients) == 2
