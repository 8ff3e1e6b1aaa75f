"""The laboratory: plays days of load and faults against fronts, in virtual time or on loopback.

Both use the same models of machines, machine list and release platform. `umbermoor serve` does not
use this package.
"""
