"""umbermoor: a sidecar that votes on staged releases and routes queries."""

VERSION = "0.10.0"
