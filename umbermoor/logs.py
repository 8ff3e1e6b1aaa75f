"""Log lines of key=value pairs: log.info("list", extra={"with_": {"machines": 12}})."""

import logging
import sys
from typing import Any


class KeyValues(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, Any] = {"at": f"{record.created:.3f}", "level": record.levelname.lower(),
                                 "in": record.name.removeprefix("umbermoor."), "what": record.getMessage()}
        pairs.update(getattr(record, "with_", {}))
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_shown(value)}" for key, value in pairs.items())


def _shown(value: Any) -> str:
    text = str(value)
    return text if text and text.isprintable() and not set(' "=') & set(text) else '"' + "".join(
        {'"': '\\"', "\\": "\\\\", "\n": "\\n"}.get(sign, sign) for sign in text) + '"'


def start_log(level: str = "INFO") -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValues())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def note(log: logging.Logger, what: str, level: int = logging.INFO, **pairs: Any) -> None:
    if log.isEnabledFor(level):
        log.log(level, what, extra={"with_": pairs})


def note_failure(log: logging.Logger, what: str, failure: Any) -> None:
    """A fault of ours that ended up as a Twisted failure, with its trace."""
    log.error(what, exc_info=(failure.type, failure.value, failure.getTracebackObject()))
