"""Mutants of the control plane and regression schedules of its simulation; see docs/simulation.md."""
