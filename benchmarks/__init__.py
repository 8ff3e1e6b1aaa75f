"""Long measurements, as commands. Each prints a table and, with --json FILE, keeps its rows. See
docs/measurements.md."""
