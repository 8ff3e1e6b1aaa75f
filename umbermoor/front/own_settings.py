"""Our own settings, beside the platform's configuration: a sheet with one top node ``front``. See
docs/settings.md.

It is read only where ``serve`` is told of one; without it nothing here is imported.
"""

from typing import Annotated, Literal

from msgspec import Meta

from umbermoor.front.kdl_sheet import Record, SheetError, read_sheet

Path = Annotated[str, Meta(min_length=1, max_length=4096)]


class Logs(Record, frozen=True, kw_only=True):
    form: Literal["pairs", "json"] = "pairs"


class CaptureTo(Record, frozen=True, kw_only=True):
    PLACES = ("path",)
    path: Path
    most_mb: Annotated[float, Meta(ge=0.1, le=100_000)] = 64  # on disk, both segments together


class Http2(Record, frozen=True, kw_only=True):
    """Its presence switches HTTP/2 to machines on; those that do not speak it are asked in
    HTTP/1.1. ``listed``: only those
    whose entry in the list has "speaks": "h2c". An entry with "http/1.1" is believed in any
    case."""

    machines: Literal["all", "listed"] = "all"


class AdminEndpointAt(Record, frozen=True, kw_only=True):
    """Where operators ask: 127.0.0.1:PORT or unix:/path. A token file is for TCP."""

    PLACES = ("where",)
    where: Annotated[str, Meta(pattern=r"^(unix:/.+|127\.\d+\.\d+\.\d+:\d{1,5})$")]
    token: str = ""

    def fault(self) -> str | None:
        shut = self.where.startswith("unix:") or self.token
        return None if shut else "expected a token file where the door is on TCP"


class Remember(Record, frozen=True, kw_only=True):
    PLACES = ("path",)
    path: Path
    every_s: Annotated[float, Meta(ge=0.1, le=3600)] = 10


Server = Annotated[str, Meta(pattern=r"^127\.\d+\.\d+\.\d+:\d{1,5}$")]


class SrvFrom(Record, frozen=True, kw_only=True):
    """Machines as a service's SRV records name them."""

    PLACES = ("name",)
    name: Annotated[str, Meta(min_length=2, max_length=253)]
    servers: Annotated[tuple[Server, ...], Meta(min_length=1)]
    called: str = "srv"
    authoritative: bool = True


class FileFrom(Record, frozen=True, kw_only=True):
    """Machines as a sheet names them, read again when it changes."""

    PLACES = ("path",)
    path: Path
    called: str = "file"
    authoritative: bool = True


class MembersFrom(Record, frozen=True, kw_only=True):
    rule: Literal["first", "any", "all", "quorum", "split"] = "first"
    order: tuple[
        str, ...
    ] = ()  # of sources; "list" is the platform's. As they stand here, otherwise
    quorum: Annotated[int, Meta(ge=1)] = 2
    existence: str = ""
    facts: str = ""
    keep_s: Annotated[float, Meta(ge=1)] = (
        3600  # how old the last good set of a failing source may be
    )
    state: str = ""  # where the last list is kept, if anywhere
    srv: tuple[SrvFrom, ...] = ()
    file: tuple[FileFrom, ...] = ()

    def fault(self) -> str | None:
        names = ["list", *(one.called for one in self.srv), *(one.called for one in self.file)]
        if len(set(names)) < len(names):
            return f"expected sources with names of their own, not {', '.join(names)}"
        strange = next(
            (one for one in (*self.order, self.existence, self.facts) if one and one not in names),
            None,
        )
        if strange:
            return f"expected one of {', '.join(names)}, not {strange!r}"
        return (
            'expected existence= with rule "split"'
            if self.rule == "split" and not self.existence
            else None
        )


class OwnSettings(Record, frozen=True, kw_only=True):
    logs: Logs = Logs()
    capture: CaptureTo | None = None
    http2: Http2 | None = None
    door: AdminEndpointAt | None = None
    remember: Remember | None = None
    members: MembersFrom | None = None


def read_own_settings(path: str) -> OwnSettings:
    """Raises SheetError, which names file and line."""
    return read_sheet(path, "front", OwnSettings)


__all__ = ["OwnSettings", "SheetError", "read_own_settings"]
