"""Mutants of the control plane and kept schedules of its simulation; see docs/simulation.md."""
