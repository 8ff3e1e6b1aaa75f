"""What each role costs as the system grows: measured slopes, the curve of one member, and
docs/CAPACITY.md from them.

`measures` and `hollow` run the state machines and write benchmarks/capacity.json; `model` fits and
reckons, without I/O; `page` makes the page's text of template and data; `plots` draws the curves.
Commands: see `__main__`.
"""
