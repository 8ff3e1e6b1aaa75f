"""`member` shows the replica set and changes it."""

import json

from cyclopts import App

from umbermoor.gateway.cli.control_client import ControlClient, NoResponse
from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.cli.options import ControlAddresses, DryRun, TimeoutSeconds
from umbermoor.gateway.cli.output import json_object, print_line, report_failure

member = App(
    name="member", help="The core's members: who counts in a majority, and changes of that."
)


@member.command(name="list")
def member_list(*, at: ControlAddresses, within_s: TimeoutSeconds = 5.0) -> int:
    """The set of members in force, then a line for each member and each learner.

    thin: fewer losses can be borne now than the settings ask. Exit status 1 then, so that a script
    may wait for 0.
    """
    response = ControlClient(at, within_s).call("GET", "/Members")
    if isinstance(response, NoResponse) or not response.succeeded:
        return report_failure(response)
    body = json_object(response.body) or {}
    members, chain = body.get("members") or (), body.get("chain") or ()
    degraded = bool(body.get("thin"))
    print_line(
        f"set={body.get('set')} members={len(members)} bear={body.get('bear')} "
        f"thin={str(degraded).lower()} connected={str(body.get('connected')).lower()}"
    )
    for name in members:
        print_line(f"{name} member {'in the chain' if name in chain else 'out of the chain'}")
    for name, ready in sorted((body.get("learners") or {}).items()):
        print_line(f"{name} learner {'ready' if ready else 'not ready'}")
    return ExitStatus.REFUSED if degraded else ExitStatus.SUCCESS


@member.command(name="add")
def member_add(
    new: str, *, at: ControlAddresses, dry_run: DryRun = False, within_s: TimeoutSeconds = 10.0
) -> int:
    """Takes a learner into the set.

    Args:
        new: Its IP address; `member list` shows it as ready.
    """
    return _change_members(at, within_s, add=new, dry_run=dry_run)


@member.command(name="remove")
def member_remove(
    old: str, *, at: ControlAddresses, dry_run: DryRun = False, within_s: TimeoutSeconds = 10.0
) -> int:
    """Takes a member out of the set; it may be stopped after that.

    Args:
        old: Its IP address.
    """
    return _change_members(at, within_s, remove=old, dry_run=dry_run)


@member.command(name="replace")
def member_replace(
    old: str,
    new: str,
    *,
    at: ControlAddresses,
    dry_run: DryRun = False,
    within_s: TimeoutSeconds = 10.0,
) -> int:
    """Puts a learner in the place of a member, in one change.

    Args:
        old: The member's IP address; it may be down, or lost for good.
        new: The learner's.
    """
    return _change_members(at, within_s, add=new, remove=old, dry_run=dry_run)


def _change_members(
    addresses: tuple[str, ...],
    timeout_s: float,
    *,
    add: str = "",
    remove: str = "",
    dry_run: bool,
) -> ExitStatus:
    """Order a view change; print the replica set that it leaves."""
    order = json.dumps({"add": add, "remove": remove, "dry": dry_run}).encode()
    response = ControlClient(addresses, timeout_s).call("POST", "/Members.Change", order)
    if isinstance(response, NoResponse) or not response.succeeded:
        return report_failure(response)
    body = json_object(response.body) or {}
    members, up = body.get("members") or (), body.get("up") or ()
    print_line(
        f"{'would be' if dry_run else 'in force:'} set={body.get('number')} "
        f"members={','.join(members)} up={len(up)} of {len(members)} bears={body.get('bears')}"
    )
    return ExitStatus.SUCCESS
