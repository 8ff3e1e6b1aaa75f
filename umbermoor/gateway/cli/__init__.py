"""The operators' command line: one module for each group of commands, started by `main`."""
