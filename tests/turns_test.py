"""Benchmarks of two revisions in alternation: the order of the runs, and the parsed reports."""

import doctest

from benchmarks import turns

BENCH = """#!/bin/sh
echo "$(cat name) $*" >> ../order
echo "day  size  G  score"
echo "busy  slow  1x12  0.$(cat score)0  0.$(cat score)  -"
"""


def test_revisions_alternate_and_are_reported_separately(tmp_path) -> None:
    bench = tmp_path / "bench"
    bench.write_text(BENCH)
    bench.chmod(0o755)
    trees = [tmp_path / "old", tmp_path / "new"]
    for tree, score in zip(trees, ("50", "75")):
        tree.mkdir()
        (tree / "name").write_text(tree.name)
        (tree / "score").write_text(score)
    (row,) = turns.by_turns(trees, str(bench), ["replay 'a site' busy"], 2, "why")
    assert (tmp_path / "order").read_text().split("\n")[:-1] == [
        f"{name} replay a site busy --why why" for name in ("old", "new", "new", "old")
    ]
    assert (row["old score"], row["new score"], row["mean change"]) == (
        "0.5 [0.5, 0.5]",
        "0.75 [0.75, 0.75]",
        "+0.250",
    )


def test_reports_are_parsed() -> None:
    assert doctest.testmod(turns).failed == 0
    assert not [*turns.rows("score of the real nodes 0.577 (the weighted mean of the days)")]
