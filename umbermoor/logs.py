"""Log lines of key=value pairs: log.info("list", extra={"with_": {"machines": 12}})."""

import logging
import sys
from collections import Counter
from typing import Any


class KeyValues(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, Any] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "in": record.name.removeprefix("umbermoor.").removeprefix("front."),
            "what": record.getMessage(),
        }
        pairs.update(getattr(record, "with_", {}))
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_shown(value)}" for key, value in pairs.items())


class Sparing(logging.Filter):
    """Threat: strangers who fill the log. So many lines a second with one text; the next second
    tells what was left out."""

    MOST = 40

    def __init__(self) -> None:
        super().__init__()
        self._second, self._lines, self._left_out = 0, Counter[str](), Counter[str]()

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self._second:
            self._second = int(record.created)
            self._lines.clear()
        what = str(record.msg)
        self._lines[what] += 1
        if self._lines[what] > self.MOST:
            self._left_out[what] += 1
            return False
        if left_out := self._left_out.pop(what, 0):
            record.with_ = getattr(record, "with_", {}) | {"left_out": left_out}
        return True


def _shown(value: Any) -> str:
    text = str(value)
    return (
        text
        if text and text.isprintable() and not set(' "=') & set(text)
        else '"'
        + "".join({'"': '\\"', "\\": "\\\\", "\n": "\\n"}.get(sign, sign) for sign in text)
        + '"'
    )


def _lines_of_json() -> logging.Formatter:
    """The same pairs, a JSON object a line, by structlog; only where it is asked for."""
    import structlog

    def pairs(_logger: Any, _name: str, event: dict[str, Any]) -> dict[str, Any]:
        record = event["_record"]
        given = {
            "at": round(record.created, 3),
            "level": record.levelname.lower(),
            "in": record.name.removeprefix("umbermoor.").removeprefix("front."),
            "what": record.getMessage(),
        }
        return (
            given
            | {
                key: value if isinstance(value, int | float | bool) else str(value)
                for key, value in getattr(record, "with_", {}).items()
            }
            | (
                {"trace": logging.Formatter().formatException(record.exc_info)}
                if record.exc_info
                else {}
            )
        )

    return structlog.stdlib.ProcessorFormatter(
        processors=[pairs, structlog.processors.JSONRenderer()]
    )


def start_log(level: str = "INFO", form: str = "pairs") -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_lines_of_json() if form == "json" else KeyValues())
    handler.addFilter(Sparing())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def note(log: logging.Logger, what: str, level: int = logging.INFO, **pairs: Any) -> None:
    if log.isEnabledFor(level):
        log.log(level, what, extra={"with_": pairs})


def note_failure(log: logging.Logger, what: str, failure: Any) -> None:
    """A fault of ours that ended up as a Twisted failure, with its trace."""
    log.error(what, exc_info=(failure.type, failure.value, failure.getTracebackObject()))
