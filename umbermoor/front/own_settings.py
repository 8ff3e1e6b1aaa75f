"""The front's own settings, beside the platform's configuration: a KDL file with one top node
``front``. See docs/settings.md.

The file is optional (``serve --sheet``); without it, this module is not imported.
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
    """Enables HTTP/2 to machines; those that do not speak it are asked over HTTP/1.1.

    With ``machines="listed"``, HTTP/2 is used only for machines whose entry in the list has
    "speaks": "h2c". An entry with "http/1.1" always disables it for its machine.
    """

    machines: Literal["all", "listed"] = "all"


class AdminEndpointAt(Record, frozen=True, kw_only=True):
    """Address of the admin endpoint: 127.0.0.1:PORT or unix:/path. TCP requires a token file."""

    PLACES = ("where",)
    where: Annotated[str, Meta(pattern=r"^(unix:/.+|127\.\d+\.\d+\.\d+:\d{1,5})$")]
    token: str = ""

    def fault(self) -> str | None:
        protected = self.where.startswith("unix:") or self.token
        return None if protected else "expected a token file for an admin endpoint on TCP"


class Remember(Record, frozen=True, kw_only=True):
    PLACES = ("path",)
    path: Path
    every_s: Annotated[float, Meta(ge=0.1, le=3600)] = 10


Server = Annotated[str, Meta(pattern=r"^127\.\d+\.\d+\.\d+:\d{1,5}$")]


class SrvFrom(Record, frozen=True, kw_only=True):
    """Machines from a service's SRV records."""

    PLACES = ("name",)
    name: Annotated[str, Meta(min_length=2, max_length=253)]
    servers: Annotated[tuple[Server, ...], Meta(min_length=1)]
    called: str = "srv"
    authoritative: bool = True


class FileFrom(Record, frozen=True, kw_only=True):
    """Machines from a KDL file, which is read again when it changes."""

    PLACES = ("path",)
    path: Path
    called: str = "file"
    authoritative: bool = True


class MembersFrom(Record, frozen=True, kw_only=True):
    rule: Literal["first", "any", "all", "quorum", "split"] = "first"
    order: tuple[str, ...] = ()  # of sources; "list" is the platform's. Default: list, srv, file
    quorum: Annotated[int, Meta(ge=1)] = 2
    existence: str = ""
    facts: str = ""
    keep_s: Annotated[float, Meta(ge=1)] = (
        3600  # maximum age of the last valid data of a failing source
    )
    state: str = ""  # file in which the last list is kept; empty: none
    srv: tuple[SrvFrom, ...] = ()
    file: tuple[FileFrom, ...] = ()

    def fault(self) -> str | None:
        names = ["list", *(one.called for one in self.srv), *(one.called for one in self.file)]
        if len(set(names)) < len(names):
            return f"expected sources with names of their own, not {', '.join(names)}"
        unknown = next(
            (one for one in (*self.order, self.existence, self.facts) if one and one not in names),
            None,
        )
        if unknown:
            return f"expected one of {', '.join(names)}, not {unknown!r}"
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
    """Read the settings file.

    Raises:
        SheetError: The file is invalid; the text names the file and line.
    """
    return read_sheet(path, "front", OwnSettings)


__all__ = ["OwnSettings", "SheetError", "read_own_settings"]
