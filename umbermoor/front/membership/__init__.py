"""Who the machines are, from several sources that may fail, flap or disagree; decided without I/O.
See docs/service-discovery.md."""
