"""Capacity model: the cost of each role as the system grows, and the source of docs/CAPACITY.md.

`measures` measures the state machines and `hollow` loads one controller process; both supply the
rows of benchmarks/capacity.json. `model` fits and extrapolates these measurements without I/O,
`page` renders the page from its template and the data, and `plots` draws the curves. `__main__`
describes the commands.

Terms, as the page and the JSON file use them: a front is a proxy, a core member is a controller
replica, a machine is an application instance, and a beat is its heartbeat.
"""
