"""The operators' command line: one module per group of commands; `main` is the entry point."""
