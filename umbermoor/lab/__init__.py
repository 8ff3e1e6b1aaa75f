"""The laboratory: one model of machines, list and platform, played in virtual time or on loopback.
Not used by serve."""
