"""`member` shows and changes the replica set."""

import json

from cyclopts import App

from umbermoor.gateway.cli.control_client import ControlClient, NoResponse
from umbermoor.gateway.cli.exit_status import ExitStatus
from umbermoor.gateway.cli.options import ControlAddresses, DryRun, TimeoutSeconds
from umbermoor.gateway.cli.output import json_object, print_line, report_failure

member = App(
    name="member",
    help="Show or change the replica set: the controllers that count in a majority.",
)


@member.command(name="list")
def member_list(*, at: ControlAddresses, within_s: TimeoutSeconds = 5.0) -> int:
    """Print the replica set in force, then a line for each member and each learner.

    thin=true: fewer losses can be tolerated now than the settings require. The exit status is then
    1, so that a script can wait for 0.
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
    """Add a learner to the replica set.

    Args:
        new: IP address of the learner; `member list` must show it as ready.
    """
    return _change_members(at, within_s, add=new, dry_run=dry_run)


@member.command(name="remove")
def member_remove(
    old: str, *, at: ControlAddresses, dry_run: DryRun = False, within_s: TimeoutSeconds = 10.0
) -> int:
    """Remove a member from the replica set; it may be stopped after that.

    Args:
        old: IP address of the member.
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
    """Replace a member by a learner, in one change.

    Args:
        old: IP address of the member; it may be down or lost for good.
        new: IP address of the learner.
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
    """Request a view change and print the resulting replica set."""
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
