"""Our own settings, beside the platform's configuration: a sheet with one top node ``front``. See docs/settings.md.

It is read only where ``serve`` is told of one; without it nothing here is imported.
"""

from typing import Annotated, Literal

from msgspec import Meta

from umbermoor.sheet import Misread, Record, read_sheet

Path = Annotated[str, Meta(min_length=1, max_length=4096)]


class Logs(Record, frozen=True, kw_only=True):
    form: Literal["pairs", "json"] = "pairs"


class CaptureTo(Record, frozen=True, kw_only=True):
    PLACES = ("path",)
    path: Path
    most_mb: Annotated[float, Meta(ge=0.1, le=100_000)] = 64  # on disk, both segments together


class Http2(Record, frozen=True, kw_only=True):
    """Its presence switches HTTP/2 to machines on; those that do not speak it are asked in HTTP/1.1."""


class House(Record, frozen=True, kw_only=True):
    logs: Logs = Logs()
    capture: CaptureTo | None = None
    http2: Http2 | None = None


def read_house(path: str) -> House:
    """Raises Misread, which names file and line."""
    return read_sheet(path, "front", House)


__all__ = ["House", "Misread", "read_house"]
