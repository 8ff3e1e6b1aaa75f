"""The logbook: what operators ask and order, and the command line they do it by."""
