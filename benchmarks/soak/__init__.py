"""Soak: controllers and proxies as real processes on loopback, under overlapping faults, by seed.

`world` runs one day; `processes` starts, stops, kills and pauses the programs; `relays` cut links
and lose answers; `instances` are stand-ins that keep a record of what they executed; `clients` and
`operators` send requests and configurations and keep a record of what they were told; `faults`
draws the day from its seed; `checks` compares the records.

A day is drawn from its seed, but its timing is that of real processes: a seed repeats the faults,
not the interleaving. So a finding keeps its logs.
"""
