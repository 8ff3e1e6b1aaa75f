"""The command line: daemons, checks of files, operators' calls. Prints lines; the exit status says
how it ended.

0 done, 1 refused (the line says why), 2 bad input, 3 nobody answered.
"""

import json
import sys
import time
from collections.abc import Iterable
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

from cyclopts import App, CycloptsError, Parameter

from umbermoor.gateway.cli.control_client import ControlClient, ControlResponse, NoResponse
from umbermoor.gateway.config.configuration import parse
from umbermoor.gateway.config.errors import ValidationError
from umbermoor.gateway.config.node_settings import read_node_settings

EXPORT = 1  # format of an export
LOOK = 0.5  # s between two looks at a roll-out


class Exit(IntEnum):
    DONE, REFUSED, BAD, NOBODY = range(4)


def _places(type_: Any, places: tuple[str, ...]) -> None:
    for place in places:
        ip, _, port = place.rpartition(":")
        if not ip or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"must be ip:port, not {place!r}")


At = Annotated[
    tuple[str, ...],
    Parameter(
        name="--at",
        env_var="UMBERMOOR_AT",
        validator=_places,
        negative=(),
        help="A control address, ip:port; may be repeated, or UMBERMOOR_AT holds several between spaces.",
    ),
]
Within = Annotated[
    float,
    Parameter(name="--within-s", help="Seconds until a call that nobody answers is given up."),
]

app = App(
    name="umbermoor.gateway",
    help="The gateway's programs and operators' calls.\n\n"
    "Exit status: 0 done, 1 refused, 2 bad input, 3 nobody answered.",
    version_flags=[],
)
check = App(name="check", help="Says what is wrong with a file first, or that it is sound.")
configuration = App(name="configuration", help="The configuration in force.")
rollout = App(name="rollout", help="Moves a service to another version of its machines.")
member = App(
    name="member", help="The core's members: who counts in a majority, and changes of that."
)
state = App(
    name="state",
    help="What the core keeps: looked at on disk, written out, and put into a new system.",
)
for part in (check, configuration, rollout, member, state):
    app.command(part)


def _say(line: str) -> None:
    print(line, flush=True)


def _complain(line: str, exit: Exit) -> Exit:
    print(line, file=sys.stderr, flush=True)
    return exit


def _ended(told: ControlResponse | NoResponse) -> Exit:
    """How a call ended that did not do what it should; says why."""
    if isinstance(told, NoResponse):
        return _complain(f"nobody answered; the last: {told.why}", Exit.NOBODY)
    return _complain(f"refused by {told.at} with {told.status}{_why(told.body)}", Exit.REFUSED)


def _why(body: bytes) -> str:
    held = _table(body)
    return f": {held['error']}" if held and "error" in held else ""


def _table(body: bytes) -> dict[str, Any] | None:
    try:
        held = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return held if isinstance(held, dict) else None


def _read_file(path: Path) -> bytes | ValidationError:
    try:
        return path.read_bytes()
    except OSError as error:
        return ValidationError("", str(path), error.strerror or "cannot be read")


def _run(program: str) -> int:
    from umbermoor.gateway.__main__ import run

    return run(program)


@app.command(name="proxy")
def proxy() -> int:
    """Carries requests. Reads the settings file that UMBERMOOR_SETTINGS names."""
    return _run("proxy")


@app.command(name="controller")
def controller() -> int:
    """Keeps what must last. Reads the settings file that UMBERMOOR_SETTINGS names."""
    return _run("controller")


@app.command(name="vane")
def vane() -> int:
    """Deprecated: the earlier name of `proxy`."""
    return _run("vane")


@app.command(name="barograph")
def barograph() -> int:
    """Deprecated: the earlier name of `controller`."""
    return _run("barograph")


@app.command(name="local")
def local(*, stay: bool = False, kill_head: bool = False) -> int:
    """A whole gateway on loopback with stand-in machines, and one request through it. Linux only.

    Parameters
    ----------
    stay
        Keeps it up until Ctrl-C and prints its addresses.
    kill_head
        Kills the head of the chain in between, and reads the configuration again.
    """
    from umbermoor.gateway.local.walkthrough import main as walkthrough

    return walkthrough(stay, kill_head)


@check.command(name="settings")
def check_settings(file: Path) -> int:
    """Checks a settings file."""
    settings = read_node_settings(str(file))
    if isinstance(settings, ValidationError):
        return _complain(str(settings), Exit.BAD)
    _say(f"{file}: sound, {settings.name} in {settings.zone}")
    return Exit.DONE


@check.command(name="configuration")
def check_configuration(file: Path) -> int:
    """Checks a configuration."""
    raw = _read_file(file)
    held = raw if isinstance(raw, ValidationError) else parse(raw)
    if isinstance(held, ValidationError):
        return _complain(str(held), Exit.BAD)
    _say(f"{file}: sound, revision {held.body['revision']}, {len(held.body['routes'])} routes")
    return Exit.DONE


@configuration.command(name="read")
def configuration_read(*, at: At, to: Path | None = None, within_s: Within = 8.0) -> int:
    """Reads the newest configuration.

    Parameters
    ----------
    to
        A file to write it to, else it is printed.
    """
    told = ControlClient(at, within_s).call("GET", "/Config.Read")
    if isinstance(told, NoResponse) or not told.done:
        return _ended(told)
    if to is None:
        _say(told.body.decode())
        return Exit.DONE
    try:
        to.write_bytes(told.body)
    except OSError as error:
        return _complain(f"{to}: {error.strerror}", Exit.BAD)
    _say(f"{to}: revision {(_table(told.body) or {}).get('revision')}")
    return Exit.DONE


@configuration.command(name="replace")
def configuration_replace(file: Path, *, at: At, within_s: Within = 20.0) -> int:
    """Checks a configuration and puts it. One that is not above the one held changes nothing, and
    is taken too."""
    raw = _read_file(file)
    held = raw if isinstance(raw, ValidationError) else parse(raw)
    if isinstance(held, ValidationError):
        return _complain(str(held), Exit.BAD)
    caller = ControlClient(at, within_s)
    told = caller.call("POST", "/Config.Replace", raw)
    if isinstance(told, NoResponse) or not told.done:
        return _ended(told)
    revision = held.body["revision"]
    newest = caller.call("GET", "/Config.Read")
    now = (
        (_table(newest.body) or {}).get("revision")
        if isinstance(newest, ControlResponse) and newest.done
        else None
    )
    if isinstance(now, str) and now.lower() != revision.lower():
        _say(f"taken by {told.at}: revision {revision}; in force is {now}")
    else:
        _say(f"taken by {told.at}: revision {revision}")
    return Exit.DONE


@rollout.command(name="begin")
def rollout_begin(
    service: str, target: str, *, ramp_s: float, at: At, key: str = "", within_s: Within = 5.0
) -> int:
    """Orders a roll-out.

    Parameters
    ----------
    service
        The service.
    target
        The version to move to.
    ramp_s
        Seconds that the move should take.
    key
        Tells this order from an earlier one of the same target; without, that target again is a
    repetition.
    """
    body = json.dumps(
        {"service": service, "target": target, "rampS": ramp_s} | ({"key": key} if key else {})
    ).encode()
    told = ControlClient(at, within_s).call("POST", "/Rollouts.Begin", body)
    if (
        isinstance(told, ControlResponse) and told.status == 409 and told.tries > 1
    ):  # an earlier try got through, or another's
        _say(f"under way: {service}, as {told.at} says; see rollout read")
        return Exit.DONE
    if isinstance(told, NoResponse) or not told.done:
        return _ended(told)
    _say(f"taken by {told.at}: {service} to {target}")
    return Exit.DONE


def _rollout(caller: ControlClient, service: str) -> dict[str, Any] | Exit:
    told = caller.call("GET", f"/Rollouts.Read/{quote(service, safe='')}")
    if isinstance(told, NoResponse) or not told.done:
        return _ended(told)
    return _table(told.body) or {}


@rollout.command(name="read")
def rollout_read(service: str, *, at: At, within_s: Within = 5.0) -> int:
    """Says how a roll-out stands."""
    held = _rollout(ControlClient(at, within_s), service)
    if isinstance(held, Exit):
        return held
    _say(f"{service} {held.get('state')} {held.get('target')}")
    return Exit.DONE


@rollout.command(name="watch")
def rollout_watch(service: str, *, at: At, within_s: Within = 20.0) -> int:
    """A line for each change of a roll-out until it ends; exit status 1 where it was reverted."""
    caller, begun, shown = ControlClient(at, within_s), time.monotonic(), None
    while True:
        held = _rollout(caller, service)
        if isinstance(held, Exit):
            return held
        stand = held.get("state"), held.get("target")
        if stand != shown:
            shown = stand
            _say(f"{time.monotonic() - begun:.1f} s {service} {stand[0]} {stand[1]}")
        if stand[0] != "running":
            return Exit.REFUSED if stand[0] == "reverted" else Exit.DONE
        time.sleep(LOOK)


def members(caller: ControlClient, at: Iterable[str]) -> dict[str, dict[str, Any] | NoResponse]:
    """What each member says of itself, by control address; members that one names are asked too, at
    the same port."""
    found: dict[str, dict[str, Any] | NoResponse] = {}
    asked = list(at)
    for place in asked:
        if place in found:
            continue
        told = caller.once(place, "GET", "/Story")
        if (
            isinstance(told, ControlResponse)
            and told.done
            and (story := _table(told.body)) is not None
        ):
            found[place] = story
            asked.extend(f"{ip}:{place.rpartition(':')[2]}" for ip in story.get("everyone", ()))
        else:
            found[place] = (
                told
                if isinstance(told, NoResponse)
                else NoResponse(f"{place}: answered {told.status}")
            )
    return found


@app.command(name="story")
def story(*, at: At) -> int:
    """A line for each member of the core: its view of the chain, its place, what it holds.

    Well is: as many members as there should be, one epoch and one chain, none blank. Exit status 3
    if none answered.
    """
    found = members(ControlClient(at), at)
    for place, held in found.items():
        if isinstance(held, NoResponse):
            _say(f"{place} silent: {held.why}")
            continue
        chain = ",".join(held.get("chain") or ()) or "none"
        version = ".".join(map(str, held.get("version") or ()))
        _say(
            f"{place} {held.get('name', '')} epoch={held.get('epoch')} chain={chain} role={held.get('role')} "
            f"version={version} machines={held.get('machines')} connected={str(held.get('connected')).lower()}"
        )
    return Exit.DONE if any(isinstance(held, dict) for held in found.values()) else Exit.NOBODY


DryRun = Annotated[
    bool,
    Parameter(
        name="--dry-run",
        negative=(),
        help="Only says what the change would leave, or why it would be refused.",
    ),
]


@member.command(name="list")
def member_list(*, at: At, within_s: Within = 5.0) -> int:
    """The set of members in force, then a line for each member and each learner.

    thin: fewer losses can be borne now than the settings ask. Exit status 1 then, so that a script
    may wait for 0.
    """
    told = ControlClient(at, within_s).call("GET", "/Members")
    if isinstance(told, NoResponse) or not told.done:
        return _ended(told)
    held = _table(told.body) or {}
    thin, chain = bool(held.get("thin")), held.get("chain") or ()
    _say(
        f"set={held.get('set')} members={len(held.get('members') or ())} bear={held.get('bear')} "
        f"thin={str(thin).lower()} connected={str(held.get('connected')).lower()}"
    )
    for name in held.get("members") or ():
        _say(f"{name} member {'in the chain' if name in chain else 'out of the chain'}")
    for name, ready in sorted((held.get("learners") or {}).items()):
        _say(f"{name} learner {'ready' if ready else 'not ready'}")
    return Exit.REFUSED if thin else Exit.DONE


def _change(at: Iterable[str], within_s: float, add: str, remove: str, dry: bool) -> int:
    body = json.dumps({"add": add, "remove": remove, "dry": dry}).encode()
    told = ControlClient(tuple(at), within_s).call("POST", "/Members.Change", body)
    if isinstance(told, NoResponse) or not told.done:
        return _ended(told)
    held = _table(told.body) or {}
    members, up = held.get("members") or (), held.get("up") or ()
    _say(
        f"{'would be' if dry else 'in force:'} set={held.get('number')} members={','.join(members)} "
        f"up={len(up)} of {len(members)} bears={held.get('bears')}"
    )
    return Exit.DONE


@member.command(name="add")
def member_add(new: str, *, at: At, dry_run: DryRun = False, within_s: Within = 10.0) -> int:
    """Takes a learner into the set.

    Parameters
    ----------
    new
        Its IP address; `member list` shows it as ready.
    """
    return _change(at, within_s, new, "", dry_run)


@member.command(name="remove")
def member_remove(old: str, *, at: At, dry_run: DryRun = False, within_s: Within = 10.0) -> int:
    """Takes a member out of the set; it may be stopped after that.

    Parameters
    ----------
    old
        Its IP address.
    """
    return _change(at, within_s, "", old, dry_run)


@member.command(name="replace")
def member_replace(
    old: str, new: str, *, at: At, dry_run: DryRun = False, within_s: Within = 10.0
) -> int:
    """Puts a learner in the place of a member, in one change.

    Parameters
    ----------
    old
        The member's IP address; it may be down, or lost for good.
    new
        The learner's.
    """
    return _change(at, within_s, new, old, dry_run)


@app.command(name="machines")
def machines(*, at: At, service: str | None = None, within_s: Within = 5.0) -> int:
    """A line for each machine that a member knows: id, service, address, zone, version, state,
    seconds since heard.

    Parameters
    ----------
    service
        Only machines of this service.
    """
    told = ControlClient(at, within_s).call("GET", "/Machines")
    if isinstance(told, NoResponse) or not told.done:
        return _ended(told)
    listed = (_table(told.body) or {}).get("machines", {})
    for id, one in sorted(listed.items(), key=lambda item: (item[1]["service"], item[0])):
        if service is None or one["service"] == service:
            _say(
                f"{id} {one['service'] or '-'} {one['address'] or '-'} {one['zone'] or '-'} {one['revision'] or '-'} "
                f"{one['state']} {one['heardS']:.1f}"
            )
    return Exit.DONE


@state.command(name="verify")
def state_verify(folder: Path) -> int:
    """Looks at a member's dataDir as its start would, and changes nothing. Best while the member is
    stopped.

    Parameters
    ----------
    folder
        Its dataDir.
    """
    from umbermoor.gateway.replication.store import STORE_ERRORS, verify

    try:
        records, size = verify(str(folder))
    except STORE_ERRORS as error:
        return _complain(f"{folder}: {error}", Exit.REFUSED)
    except OSError as error:
        return _complain(f"{folder}: {error.strerror or error}", Exit.BAD)
    _say(f"{folder}: sound, {records} records of {size} bytes")
    return Exit.DONE


@state.command(name="export")
def state_export(to: Path, *, at: At, within_s: Within = 8.0) -> int:
    """Writes the newest configuration, byte for byte, and where roll-outs stand into a file.

    Parameters
    ----------
    to
        The file.
    """
    caller = ControlClient(at, within_s)
    told = caller.call("GET", "/Config.Read")
    if isinstance(told, NoResponse) or not told.done:
        return _ended(told)
    rollouts = {}
    for service in (_table(told.body) or {}).get("services", {}):
        stands = caller.call("GET", f"/Rollouts.Read/{quote(service, safe='')}")
        if isinstance(stands, NoResponse) or (not stands.done and stands.status != 404):
            return _ended(stands)
        if stands.done:
            rollouts[service] = _table(stands.body)
    held = {"format": EXPORT, "configuration": told.body.decode(), "rollouts": rollouts}
    try:
        to.write_text(json.dumps(held, indent=1) + "\n")
    except OSError as error:
        return _complain(f"{to}: {error.strerror}", Exit.BAD)
    _say(f"{to}: revision {(_table(told.body) or {}).get('revision')}, {len(rollouts)} roll-outs")
    return Exit.DONE


@state.command(name="import")
def state_import(file: Path, *, at: At, dry_run: bool = False, within_s: Within = 20.0) -> int:
    """Puts an exported configuration, after saying what it changes. Roll-outs are said, to be
    ordered by hand.

    Parameters
    ----------
    file
        What `state export` wrote.
    dry_run
        Says what it would change, and puts nothing.
    """
    raw = _read_file(file)
    table = None if isinstance(raw, ValidationError) else _table(raw)
    if isinstance(raw, ValidationError) or table is None or table.get("format") != EXPORT:
        return _complain(
            f"{file}: {raw if isinstance(raw, ValidationError) else 'no export of this format'}",
            Exit.BAD,
        )
    text = str(table.get("configuration", ""))
    held = parse(text.encode())
    if isinstance(held, ValidationError):
        return _complain(f"{file}: configuration: {held}", Exit.BAD)
    caller = ControlClient(at, within_s)
    told = caller.call("GET", "/Config.Read")
    if isinstance(told, NoResponse) or (not told.done and told.status != 404):
        return _ended(told)
    now = (_table(told.body) or {}) if told.done else {}
    for kind in ("services", "routes"):
        old, new = now.get(kind, {}), held.body[kind]
        _say(
            f"{kind}: {len(new.keys() - old.keys())} added, {len(old.keys() - new.keys())} removed, "
            f"{sum(old[name] != new[name] for name in new.keys() & old.keys())} changed"
        )
    revision = held.body["revision"]
    if now and int(now["revision"], 16) >= held.revision and told.body != text.encode():
        return _complain(f"in force is {now['revision']}, not below {revision}", Exit.REFUSED)
    for service, stands in table.get("rollouts", {}).items():
        _say(
            f"to be ordered by hand: {service} {stands.get('target')}, {stands.get('state')} at the export"
        )
    if dry_run:
        _say(f"revision {revision} would be put; nothing was")
        return Exit.DONE
    put = caller.call("POST", "/Config.Replace", text.encode())
    if isinstance(put, NoResponse) or not put.done:
        return _ended(put)
    _say(f"taken by {put.at}: revision {revision}")
    return Exit.DONE


def main(tokens: list[str] | None = None) -> int:
    """Runs one command; returns its exit status. `tokens`: its words, else those of the process."""
    try:
        command, bound, *_ = app.parse_args(tokens, exit_on_error=False, print_error=False)
        return int(command(*bound.args, **bound.kwargs) or 0)
    except CycloptsError as error:
        return _complain(" ".join(str(error).split()), Exit.BAD)
    except KeyboardInterrupt:
        return _complain("interrupted", Exit.REFUSED)
