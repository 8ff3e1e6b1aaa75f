"""What the commands share: lines on standard output and error, files and JSON texts read."""

import json
import sys
from pathlib import Path
from typing import Any

from umbermoor.gateway.cli.control_client import ControlResponse, NoResponse
from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.config.errors import ValidationError


def print_line(line: str) -> None:
    """Print a line on standard output at once."""
    print(line, flush=True)


def print_error(line: str, status: ExitStatus) -> ExitStatus:
    """Print a line on standard error; return the exit status that goes with it."""
    print(line, file=sys.stderr, flush=True)
    return status


def report_failure(response: ControlResponse | NoResponse) -> ExitStatus:
    """Print why a call failed; return the exit status that goes with it."""
    if isinstance(response, NoResponse):
        line = f"nobody answered; the last: {response.reason}"
        return print_error(line, ExitStatus.NO_RESPONSE)
    body = json_object(response.body)
    reason = f": {body['error']}" if body and "error" in body else ""
    line = f"refused by {response.address} with {response.status}{reason}"
    return print_error(line, ExitStatus.REFUSED)


def warn_deprecated(command: str, replacement: str) -> None:
    """Print on standard error that a command answers for one more release only."""
    print(f"deprecated: {command}, use {replacement}", file=sys.stderr, flush=True)


def json_object(body: bytes) -> dict[str, Any] | None:
    """The JSON object that a body holds; None if it holds anything else."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def revision_of(body: bytes) -> Any:
    """The revision that a configuration's text names; None if it names none."""
    return (json_object(body) or {}).get("revision")


def read_file(path: Path) -> bytes | ValidationError:
    """The bytes of a file, or why it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        return ValidationError("", str(path), error.strerror or "cannot be read")
