"""Steps of capacity.feature: curve fits, the generated page and its measurements."""

import doctest
import random
import re

from behave import then

from benchmarks.capacity import fits, hollow, measures, page
from benchmarks.capacity.__main__ import load
from benchmarks.capacity.fits import fit
from benchmarks.capacity.model import TARGET, Model
from umbermoor.gateway.server.peer_transport import COMPRESSED_FLAG, encode_frame


@then("the capacity page equals the page that its measurements generate")
def page_matches_measurements(context) -> None:
    assert (difference := page.find_difference(load())) == "", difference


@then("the capacity page is reported to differ when any of its figures is changed")
def page_changes_are_detected(context) -> None:
    data, rng = load(), random.Random(1)
    text = page.render(data)
    places = [found.start() for found in re.finditer(r"\d", text)]
    for position in rng.sample(places, 20):
        digit = str((int(text[position]) + 1) % 10)
        assert page.find_difference(data, text[:position] + digit + text[position + 1 :]), (
            f"{text[position - 40 : position + 40]!r}"
        )
    assert page.find_difference(data, text + "more\n") and page.find_difference(data, text[:-40])


@then(
    "a fit recognizes lines, powers and flat costs in {count:d} random series, "
    "as a plain search does"
)
def fits_match_plain_search(context, count: int) -> None:
    """Check each fit against the true curve, and a line against neighbouring lines.

    No line with a slightly different constant or slope may have a lower sum of squared relative
    errors."""
    rng, sizes = random.Random(2), [100, 1_000, 5_000, 20_000]
    for _ in range(count):
        kind = rng.choice(("line", "power", "flat"))
        constant, slope = rng.uniform(1, 50), rng.uniform(0.05, 2)
        truth = {
            "line": lambda size, constant=constant, slope=slope: constant + slope * size,
            "flat": lambda size, constant=constant: constant,
            "power": lambda size, constant=constant, slope=slope: constant * size ** (slope + 0.3),
        }[kind]
        costs = [truth(size) * rng.uniform(0.99, 1.01) for size in sizes]
        fitted = fit(sizes, costs)
        if kind == "flat":
            assert fitted.kind == "flat" and fitted.cost(82_000) == max(costs)
            continue
        assert abs(fitted.cost(82_000) / truth(82_000) - 1) < 0.1, (kind, constant, slope, fitted)
        if fitted.kind == "line":

            def error(constant: float, slope: float, costs=costs) -> float:
                return sum(
                    ((constant + slope * size) / cost - 1) ** 2 for size, cost in zip(sizes, costs)
                )

            least = error(fitted.constant, fitted.slope)
            assert all(
                least
                <= error(fitted.constant + da * fitted.slope * 100, fitted.slope * (1 + dp)) + 1e-12
                for da in (-0.01, 0, 0.01)
                for dp in (-0.01, 0, 0.01)
            )
        worst = max(abs(fitted.cost(size) / cost - 1) for size, cost in zip(sizes, costs))
        assert abs(fitted.residual - worst) < 1e-9


@then("the doctests of the capacity modules pass")
def doctests_pass(context) -> None:
    for module in (fits, page):
        failed, tried = doctest.testmod(module)
        assert tried and not failed, module.__name__


@then(
    "each growth limit of the capacity page is where a search in steps of a thousandth finds it, "
    "in that order"
)
def growth_limits_match_plain_search(context) -> None:
    model = Model(load())
    exceeded = model.exceeded_items()
    assert [growth_limit for growth_limit, _ in exceeded] == sorted(
        growth_limit for growth_limit, _ in exceeded
    )
    assert {item.subject for _, item in exceeded} == {
        item.subject for item in model.items() if item.exceeds_bound(TARGET)
    }
    for growth_limit, item in exceeded:
        searched = next(
            step / 1000 for step in range(1, 1001) if item.exceeds_bound(TARGET.scaled(step / 1000))
        )
        assert growth_limit <= searched <= growth_limit + 0.002, (
            item.subject,
            growth_limit,
            searched,
        )


@then("every capacity measure runs at its smallest size")
def measures_run(context) -> None:
    results = measures.run([], lambda line: None, smallest=True)
    assert set(results) == set(load()["measures"]), (
        "measures were added or removed: run python -m benchmarks.capacity measure"
    )
    assert all(
        len(row["values"]) == measures.REPEATS and min(row["values"]) > 0
        for measure in results.values()
        for row in measure["rows"]
    )


@then("a simulated front that skips the machines sends the same pull as one that reads them")
def simulated_front_matches_full_front(context) -> None:
    load_run = hollow.LoadRun("fronts", 2, 1)
    full_front, skipping_front = (
        hollow.SimulatedFront(load_run, True),
        hollow.SimulatedFront(load_run, False),
    )
    for count in (0, 1, 300):
        message = measures.update_message(
            [entry.to_wire() for entry in measures.instance_records(count)]
        )
        message |= {"number": message["number"] + count, "everyone": [load_run.ip]}
        data = encode_frame(message)
        for front in (full_front, skipping_front):
            front.reader.knows_members = True
            front.receive_frame(data[4:], bool(int.from_bytes(data[:4], "big") & COMPRESSED_FLAG))
        assert full_front.reader.make_pull(0, load_run.ip) == skipping_front.reader.make_pull(
            0, load_run.ip
        )
    assert len(full_front.reader.instances) == 300 and not skipping_front.reader.instances
