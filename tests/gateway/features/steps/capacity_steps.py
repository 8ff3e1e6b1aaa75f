"""Steps of capacity.feature: fits, the page and its measurements."""

import doctest
import random
import re

from behave import then

from benchmarks.capacity import fits, hollow, measures, page
from benchmarks.capacity.__main__ import load
from benchmarks.capacity.fits import fit
from benchmarks.capacity.model import TARGET, Model
from umbermoor.gateway.server.peer_transport import COMPRESSED_FLAG, encode_frame


@then("the page of capacities is what its measurements make")
def page_is_made(context) -> None:
    assert (wrong := page.differs(load())) == "", wrong


@then("the page of capacities is found to differ with any of its figures changed")
def drift_found(context) -> None:
    data, chance = load(), random.Random(1)
    text = page.made(data)
    places = [found.start() for found in re.finditer(r"\d", text)]
    for at in chance.sample(places, 20):
        other = str((int(text[at]) + 1) % 10)
        assert page.differs(data, text[:at] + other + text[at + 1 :]), (
            f"{text[at - 40 : at + 40]!r}"
        )
    assert page.differs(data, text + "more\n") and page.differs(data, text[:-40])


@then(
    "a fit finds lines, powers and what is flat among {count:d} drawn histories, as a plain search does"
)
def fits_found(context, count: int) -> None:
    """The plain search tries many slopes and keeps the least sum of squared relative errors."""
    chance, sizes = random.Random(2), [100, 1_000, 5_000, 20_000]
    for _ in range(count):
        kind = chance.choice(("line", "power", "flat"))
        at, per = chance.uniform(1, 50), chance.uniform(0.05, 2)
        truth = {
            "line": lambda size, at=at, per=per: at + per * size,
            "flat": lambda size, at=at: at,
            "power": lambda size, at=at, per=per: at * size ** (per + 0.3),
        }[kind]
        costs = [truth(size) * chance.uniform(0.99, 1.01) for size in sizes]
        found = fit(sizes, costs)
        if kind == "flat":
            assert found.kind == "flat" and found.of(82_000) == max(costs)
            continue
        assert abs(found.of(82_000) / truth(82_000) - 1) < 0.1, (kind, at, per, found)
        if found.kind == "line":

            def error(at: float, per: float, costs=costs) -> float:
                return sum(((at + per * size) / cost - 1) ** 2 for size, cost in zip(sizes, costs))

            least = error(found.at, found.per)
            assert all(
                least <= error(found.at + da * found.per * 100, found.per * (1 + dp)) + 1e-12
                for da in (-0.01, 0, 0.01)
                for dp in (-0.01, 0, 0.01)
            )
        worst = max(abs(found.of(size) / cost - 1) for size, cost in zip(sizes, costs))
        assert abs(found.residual - worst) < 1e-9


@then("the examples in the text of the capacities' modules hold")
def examples_hold(context) -> None:
    for module in (fits, page):
        failed, tried = doctest.testmod(module)
        assert tried and not failed, module.__name__


@then(
    "each red line of the page of capacities stands where steps of a thousandth find it, in that order"
)
def reds_found(context) -> None:
    model = Model(load())
    reds = model.reds()
    assert [met for met, _ in reds] == sorted(met for met, _ in reds)
    assert {item.thing for _, item in reds} == {
        item.thing for item in model.items() if item.red(TARGET)
    }
    for met, item in reds:
        plain = next(step / 1000 for step in range(1, 1001) if item.red(TARGET.scaled(step / 1000)))
        assert met <= plain <= met + 0.002, (item.thing, met, plain)


@then("every measure of capacities runs at its least size")
def measures_run(context) -> None:
    found = measures.run([], lambda line: None, smallest=True)
    assert set(found) == set(load()["measures"]), (
        "measured anew? python -m benchmarks.capacity measure"
    )
    assert all(
        len(row["values"]) == measures.REPEATS and min(row["values"]) > 0
        for one in found.values()
        for row in one["rows"]
    )


@then("a hollow front that skips the machines asks for the same as one that reads them")
def hollow_reads(context) -> None:
    play = hollow.Play("fronts", 2, 1)
    real, skips = hollow.HollowFront(play, True), hollow.HollowFront(play, False)
    for count in (0, 1, 300):
        message = measures.news([entry.to_wire() for entry in measures.entries(count)])
        message |= {"number": message["number"] + count, "everyone": [play.ip]}
        data = encode_frame(message)
        for one in (real, skips):
            one.reader.knows_members = True
            one.frame(data[4:], bool(int.from_bytes(data[:4], "big") & COMPRESSED_FLAG))
        assert real.reader.make_pull(0, play.ip) == skips.reader.make_pull(0, play.ip)
    assert len(real.reader.instances) == 300 and not skips.reader.instances
