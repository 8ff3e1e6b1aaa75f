"""Logging of the front in service: an event and its key=value pairs, or the same as JSON lines.

`note` and `note_failure` write; the pairs travel in the record's attribute `fields`:
`log.info("list", extra={"fields": {"machines": 12}})`. `configure_logging` is called once by the
process.
"""

import logging
import sys
from collections import Counter
from typing import Any

MAX_LINES_PER_SECOND = 40  # of one event
_ESCAPES = str.maketrans({'"': '\\"', "\\": "\\\\", "\n": "\\n"})
_NEEDS_QUOTES = frozenset(' "=')


def _logger_name(record: logging.LogRecord) -> str:
    return record.name.removeprefix("umbermoor.").removeprefix("front.")


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs, values quoted where they need it."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its newline."""
        pairs: dict[str, Any] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "in": _logger_name(record),
            "what": record.getMessage(),
        }
        pairs.update(getattr(record, "fields", {}))
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quoted(value)}" for key, value in pairs.items())


class EventRateFilter(logging.Filter):
    """Limits the lines of one event to `MAX_LINES_PER_SECOND`.

    Clients can cause events at any rate and would fill the log. The first line that passes in a
    later second reports how many were left out (`left_out`).
    """

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._lines, self._left_out = Counter[str](), Counter[str]()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is written."""
        if int(record.created) != self._second:
            self._second = int(record.created)
            self._lines.clear()
        event = str(record.msg)
        self._lines[event] += 1
        if self._lines[event] > MAX_LINES_PER_SECOND:
            self._left_out[event] += 1
            return False
        if left_out := self._left_out.pop(event, 0):
            fields: dict[str, Any] = getattr(record, "fields", {})
            record.fields = fields | {"left_out": left_out}
        return True


def _quoted(value: Any) -> str:
    text = str(value)
    if text and text.isprintable() and _NEEDS_QUOTES.isdisjoint(text):
        return text
    return f'"{text.translate(_ESCAPES)}"'


def _json_formatter() -> logging.Formatter:
    """Return a formatter of JSON lines; structlog is imported only where these are asked for."""
    import structlog

    def pairs(_logger: Any, _name: str, event: Any) -> dict[str, Any]:
        record: logging.LogRecord = event["_record"]
        found: dict[str, Any] = {
            "at": round(record.created, 3),
            "level": record.levelname.lower(),
            "in": _logger_name(record),
            "what": record.getMessage(),
        }
        for key, value in getattr(record, "fields", {}).items():
            found[key] = value if isinstance(value, int | float | bool) else str(value)
        if record.exc_info:
            found["trace"] = logging.Formatter().formatException(record.exc_info)
        return found

    return structlog.stdlib.ProcessorFormatter(
        processors=[pairs, structlog.processors.JSONRenderer()]
    )


def configure_logging(level: str = "INFO", form: str = "pairs") -> None:
    """Log to standard error from `level` on, as key=value pairs or (`form` "json") JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_json_formatter() if form == "json" else KeyValueFormatter())
    handler.addFilter(EventRateFilter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def note(log: logging.Logger, event: str, level: int = logging.INFO, /, **fields: Any) -> None:
    """Log an event with its key=value pairs."""
    if log.isEnabledFor(level):
        log.log(level, event, extra={"fields": fields})


def note_failure(log: logging.Logger, event: str, failure: Any) -> None:
    """Log a Twisted `Failure` of our own code as an error, with its traceback."""
    log.error(event, exc_info=(failure.type, failure.value, failure.getTracebackObject()))
