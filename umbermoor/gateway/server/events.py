"""The log: one line of key=value pairs per event, written to standard error by absl."""

from asyncio import CancelledError
from typing import Any


def start(program: str, node: str) -> None:
    """Set up the log format and log the start of a program.

    absl is imported here, so that importing this module does not load it.
    """
    from absl import flags, logging

    flags.FLAGS.mark_as_parsed()  # no flags; absl would otherwise log a warning

    class KeyValueFormatter(logging.PythonFormatter):
        def format(self, record) -> str:
            level = record.levelname.lower()
            return f"at={record.created:.3f} level={level} node={node} {record.getMessage()}"

    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(KeyValueFormatter())
    logging.set_verbosity(logging.INFO)
    event("started", program=program)


def event(name: str, **fields: Any) -> None:
    """Log one event with its fields."""
    from absl import logging

    logging.info(
        "event=%s%s", name, "".join(f" {key}={_text(value)}" for key, value in fields.items())
    )


def watch(loop: Any) -> None:
    """Log exceptions that no handler caught; each one ended only the connection it occurred on.

    A cancelled task is not an error. The streams of Python 3.11 report one nevertheless, for a
    connection that arrived while the process was ending, so CancelledError is ignored.
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
