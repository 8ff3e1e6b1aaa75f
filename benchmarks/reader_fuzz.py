"""The reader of requests and answers beside h11, in its long form: drawn anew each time.

Usage: python -m benchmarks.reader_fuzz [--seconds N] [--batch N]

Prints how often both took a message, both refused one, and by which of our words only we did. A difference that the
tests do not name ends it, with the bytes (status 1).
"""

import sys
import time

from hypothesis import given as drawn
from hypothesis import settings

from tests import reader_test


def main(words: list[str]) -> int:
    def given(name: str, otherwise: str) -> str:
        return words[words.index(name) + 1] if name in words else otherwise

    until, rounds = time.process_time() + float(given("--seconds", "60")), 0
    wide = settings(
        max_examples=int(given("--batch", "20000")), deadline=None, derandomize=False, database=None
    )
    try:
        while time.process_time() < until:
            wide(drawn(reader_test.requests(), reader_test.CUTS)(reader_test.beside_h11))()
            wide(drawn(reader_test.responses(), reader_test.CUTS)(reader_test.answers_beside_h11))()
            rounds += 1
    except AssertionError as error:
        print("DIFFERENT:", error)
        return 1
    finally:
        for name, count in reader_test.MET.most_common():
            print(f"{count:>9} {name}")
        print(f"{rounds} rounds")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
