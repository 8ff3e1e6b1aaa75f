"""The command line's root, to which commands without a group belong."""

from cyclopts import App

app = App(
    name="umbermoor.gateway",
    help="The gateway's programs and operators' calls.\n\n"
    "Exit status: 0 done, 1 refused, 2 bad input, 3 nobody answered.",
    version_flags=[],
)
