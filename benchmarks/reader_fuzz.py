"""Long form of the differential test of the HTTP/1.1 reader against h11, with new random input.

Usage: python -m benchmarks.reader_fuzz [--seconds N] [--batch N]

Prints how often both accepted a message, how often both rejected one, and how often only our reader
did, by reason. A difference that the tests do not list ends the run with status 1 and prints the
bytes.
"""

import sys
import time

from hypothesis import given as given_examples
from hypothesis import settings

from tests import reader_test


def main(arguments: list[str]) -> int:
    def option(name: str, default: str) -> str:
        return arguments[arguments.index(name) + 1] if name in arguments else default

    until, rounds = time.process_time() + float(option("--seconds", "60")), 0
    fuzz_settings = settings(
        max_examples=int(option("--batch", "20000")),
        deadline=None,
        derandomize=False,
        database=None,
    )
    try:
        while time.process_time() < until:
            fuzz_settings(
                given_examples(reader_test.requests(), reader_test.CUTS)(reader_test.beside_h11)
            )()
            fuzz_settings(
                given_examples(reader_test.responses(), reader_test.CUTS)(
                    reader_test.answers_beside_h11
                )
            )()
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
