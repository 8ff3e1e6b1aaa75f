"""Soak test: real controller and proxy processes on loopback, under seeded overlapping faults.

`world` runs one day; `processes` starts, stops, kills and pauses the programs; `relays` cut links
and lose responses; `instances` are stand-in instances that record what they executed; `clients`
and `operators` send requests and configurations and record the responses; `faults` draws the
faults of a day from its seed; `checks` compares the records.

A seed reproduces the faults of a day but not the interleaving, because the timing is that of real
processes. The logs of a day with violations are therefore kept.
"""
