"""The table of attempt outcomes, and the real proxy in the simulation of request_interleavings.py."""

import logging
import random
from contextlib import contextmanager
from itertools import product
from pathlib import Path
from unittest.mock import patch

from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.gateway import request_interleavings
from umbermoor.gateway.balancing import request
from umbermoor.gateway.balancing.attempt_outcomes import (
    TABLE,
    AttemptOutcome,
    AttemptStage,
    ConnectionAction,
    ConnectionEvent,
    Verdict,
    classify,
)
from umbermoor.gateway.server import connections
from umbermoor.gateway.server.client_connection import ClientConnection
from umbermoor.gateway.server.request_handler import RequestHandler

PAGE = Path(__file__).parents[4] / "docs" / "attempt-outcomes.md"


@then("each row of the page's table matches the decision of the code, and no row is missing")
def _(context):
    rows = [
        [cell.strip() for cell in line.strip("|\n").split("|")]
        for line in PAGE.read_text().splitlines()
        if line.startswith("| `")
    ]
    documented = {}
    for stages, event, outcome, action, _ in (row for row in rows if len(row) == 5):
        for stage in stages.replace("`", "").split(", "):
            key = AttemptStage(stage), ConnectionEvent(event.strip("`"))
            assert key not in documented, key
            documented[key] = Verdict(
                None if outcome == "-" else AttemptOutcome(outcome.strip("`")),
                ConnectionAction(action),
            )
    assert documented == {
        (stage, event): verdict for stage, row in TABLE.items() for event, verdict in row.items()
    }


@then("responses of all kinds are classified as a reference implementation does")
def _(context):
    statuses = (200, 204, 304, 400, 404, 408, 421, 429, 500, 503, 504)
    for status, response_id, only_request, framed, not_executed, seal, encoded in product(
        statuses, (None, "other", "own"), *[(False, True)] * 5
    ):
        headers = {
            "x-attempt-id": response_id,
            "x-not-executed": "1" if not_executed else None,
            "x-server-seal": "seal" if seal else None,
            "content-encoding": "gzip" if encoded else None,
        }
        actual = classify(
            status,
            {name: value for name, value in headers.items() if value is not None},
            "own",
            only_request,
            framed,
        )
        is_own = response_id == "own" or (response_id is None and only_request)
        if response_id == "other":
            expected = ConnectionEvent.FOREIGN_RESPONSE
        elif is_own and status == 421:
            expected = ConnectionEvent.MISDIRECTED
        elif is_own and not_executed and status >= 400:
            expected = ConnectionEvent.REJECTION
        elif (
            response_id == "own"
            and framed
            and not not_executed
            and not encoded
            and (seal or status >= 300)
            and status not in (408, 429, 503)
        ):
            expected = ConnectionEvent.RESPONSE
        else:
            expected = ConnectionEvent.UNPROVEN_RESPONSE
        assert actual is expected, (
            status,
            response_id,
            only_request,
            framed,
            not_executed,
            seal,
            encoded,
            actual,
            expected,
        )


@contextmanager
def info_logging_disabled():
    logging.disable(logging.INFO)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)


@then(
    "the proxy keeps every rule in all interleavings of {first} and {second} requests to {instances:d} instances with 1 fault"
)
def _(context, first, second, instances):
    order = first, *second.split(", ")
    count, events = request_interleavings.explore(
        request_interleavings.interleavings(1, order, instances), order, None, instances
    )
    assert count > 500 and events["client got 200"] > count, (count, events)


@then(
    "the proxy keeps every rule in one of every {every:d} interleavings of {first} and {second} requests to {instances:d} "
    "instances with 2 faults"
)
def _(context, first, second, instances, every):
    order = first, *second.split(", ")
    count, events = request_interleavings.explore(
        request_interleavings.interleavings(2, order, instances, every), order, None, instances
    )
    assert count > 1500 and events["client got 200"] > count, count


def patched_table(stages, event, outcome, action=ConnectionAction.ABORT):
    return patch.dict(
        TABLE, {stage: {**TABLE[stage], event: Verdict(outcome, action)} for stage in stages}
    )


def patched_classify(mutated):
    real = connections.classify
    return patch.object(
        connections,
        "classify",
        lambda status, headers, id, only_request, framed=True: mutated(
            real, status, headers, id, only_request, framed
        ),
    )


def parse_while_idle(connection, data, real=connections.InstanceConnection.data_received):
    if connection.attempt is None:
        connection.reader.feed(data)
    else:
        real(connection, data)


def send_despite_recent_ids(
    pool, instance, attempt, idempotent, real=connections.ConnectionPool.send
):
    attempt.needs_new_connection = False
    for connection in pool.idle.get(instance.id, ()):
        connection.recent_ids = "some", "other"
    real(pool, instance, attempt, idempotent)


def ignore_end(connection):
    connection.closing = connection.fin_received = True
    return bool(connection.pending)


MUTANTS = {
    "retries after a reset of a partly written request": lambda: patched_table(
        [AttemptStage.WRITING], ConnectionEvent.CLOSED, AttemptOutcome.CONNECT_FAILED
    ),
    "retries after a reset of a fully written request": lambda: patched_table(
        [AttemptStage.WRITTEN], ConnectionEvent.CLOSED, AttemptOutcome.CONNECT_FAILED
    ),
    "reuses a connection with a surplus byte": lambda: patch.object(
        connections, "is_reusable", lambda keep_alive, tainted, surplus, bodiless: keep_alive
    ),
    "parses data on an idle connection": lambda: patch.object(
        connections.InstanceConnection, "data_received", parse_while_idle
    ),
    "matches responses to requests by order alone": lambda: patched_classify(
        lambda real, status, headers, id, only_request, framed: real(
            status, headers, headers.get("x-attempt-id", id), only_request, framed
        )
    ),
    "trusts a response without an id": lambda: patched_classify(
        lambda real, status, headers, id, only_request, framed: real(
            status, headers, id, True, framed
        )
    ),
    "sends an attempt id twice on one connection": lambda: patch.object(
        connections.ConnectionPool, "send", send_despite_recent_ids
    ),
    "accepts a truncated response as complete": lambda: patched_classify(
        lambda real, status, headers, id, only_request, framed: real(
            status, headers, id, only_request
        )
    ),
    "sends a rejection without proof": lambda: patch.object(
        request, "may_reject", lambda may_have_executed: True
    ),
    "ignores that a client closed its connection": lambda: patch.object(
        ClientConnection, "eof_received", ignore_end
    ),
    "lets the attempts of a client that left continue": lambda: patched_table(
        [AttemptStage.WRITING, AttemptStage.WRITTEN, AttemptStage.READING],
        ConnectionEvent.ABANDONED,
        None,
        ConnectionAction.CONTINUE,
    ),
    "sends on a new connection without checking the instance": lambda: patch.object(
        RequestHandler, "may_send", lambda *_: True
    ),
}


@then(
    "a proxy that {mutant} violates {rule} in an interleaving of {first} and {second} requests to {instances:d} instances "
    "with {faults:d} faults"
)
def _(context, mutant, rule, first, second, instances, faults):
    order, other_errors = (first, *second.split(", ")), []
    with info_logging_disabled(), MUTANTS[mutant]():
        for picks in request_interleavings.interleavings(
            faults, order, instances, 1 if faults == 1 else 3
        ):
            try:
                request_interleavings.play(picks, order, None, instances)
            except request_interleavings.RuleBroken as error:
                if str(error.args[0]).startswith(rule):
                    return
                other_errors.append(error.args)
    raise AssertionError(f"not found, but {other_errors[:3]}")


@then(
    "the proxy keeps every rule in {count:d} interleavings that hypothesis draws, with data split at random positions"
)
def _(context, count):
    # Hypothesis derives its examples from the source of `holds`: any edit draws other examples.
    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.lists(st.sampled_from([0, 0, 0, 0]) | st.integers(1, 300), max_size=60),
        st.integers(0, 1 << 30),
        st.sampled_from([("safe", "unsafe"), ("unsafe", "unsafe", "late"), ("safe", "safe")]),
        st.integers(1, 2),
    )
    def holds(picks, seed, order, many):
        dice = random.Random(seed)

        def cut(data):
            while data:
                size = dice.randint(1, max(1, len(data) // dice.randint(1, 4)))
                yield data[:size]
                data = data[size:]

        request_interleavings.play(picks, order, cut, many)

    with info_logging_disabled():
        holds()
