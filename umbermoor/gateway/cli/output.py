"""Helpers of the commands: printing lines, and reading files and JSON texts."""

import json
import sys
from pathlib import Path
from typing import Any

from umbermoor.gateway.cli.control_client import ControlResponse, NoResponse
from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.config.errors import ValidationError


def print_line(line: str) -> None:
    """Print a line on standard output and flush it."""
    print(line, flush=True)


def print_error(line: str, status: ExitStatus) -> ExitStatus:
    """Print a line on standard error and return the given exit status."""
    print(line, file=sys.stderr, flush=True)
    return status


def report_failure(response: ControlResponse | NoResponse) -> ExitStatus:
    """Print why a call failed and return the corresponding exit status."""
    if isinstance(response, NoResponse):
        line = f"nobody answered; the last: {response.reason}"
        return print_error(line, ExitStatus.NO_RESPONSE)
    body = json_object(response.body)
    reason = f": {body['error']}" if body and "error" in body else ""
    line = f"refused by {response.address} with {response.status}{reason}"
    return print_error(line, ExitStatus.REFUSED)


def warn_deprecated(command: str, replacement: str) -> None:
    """Print on standard error that a command is deprecated; it works for one more release."""
    print(f"deprecated: {command}, use {replacement}", file=sys.stderr, flush=True)


def json_object(body: bytes) -> dict[str, Any] | None:
    """Return the JSON object in a body; None if the body is anything else."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def revision_of(body: bytes) -> Any:
    """Return the revision in a configuration's text; None if there is none."""
    return (json_object(body) or {}).get("revision")


def read_file(path: Path) -> bytes | ValidationError:
    """Return the bytes of a file, or an error if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        return ValidationError("", str(path), error.strerror or "cannot be read")
