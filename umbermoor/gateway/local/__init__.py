"""The plot: a station's ground for trials. A whole gateway on loopback, with stand-ins for the
machines behind it."""
