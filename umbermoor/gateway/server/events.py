"""The log: one line of key=value pairs an event, on standard error, by absl."""

from asyncio import CancelledError
from typing import Any


def start(program: str, node: str) -> None:
    """Sets the form of the lines. absl is loaded here, not by importing this."""
    from absl import flags, logging

    flags.FLAGS.mark_as_parsed()  # there are none; else each process says so

    class Pairs(logging.PythonFormatter):
        def format(self, record) -> str:
            level = record.levelname.lower()
            return f"at={record.created:.3f} level={level} node={node} {record.getMessage()}"

    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(Pairs())
    logging.set_verbosity(logging.INFO)
    event("started", program=program)


def event(name: str, **pairs: Any) -> None:
    """Writes one event."""
    from absl import logging

    logging.info(
        "event=%s%s", name, "".join(f" {key}={_text(value)}" for key, value in pairs.items())
    )


def watch(loop: Any) -> None:
    """Logs exceptions that no handler caught: each ended only the connection that it came on.

    A task that was cancelled failed in nothing; streams of Python 3.11 report it all the same, of a
    connection that came as the process ended.
    """

    def log_exception(_: Any, context: dict[str, Any]) -> None:
        if isinstance(context.get("exception"), CancelledError):
            return
        event(
            "unhandled_exception",
            message=context.get("message", ""),
            exception=repr(context.get("exception")),
        )

    loop.set_exception_handler(log_exception)


def _text(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    return (
        '"' + text.replace('"', "'").replace("\n", " ") + '"' if " " in text or not text else text
    )
