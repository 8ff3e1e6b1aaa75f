"""The root of the command line; commands without a group are added to it directly."""

from cyclopts import App

app = App(
    name="umbermoor.gateway",
    help="Start the gateway's programs and make operators' calls.\n\n"
    "Exit status: 0 success, 1 refused, 2 bad input, 3 no controller answered.",
    version_flags=[],
)
