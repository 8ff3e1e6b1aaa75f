"""umbermoor: a sidecar that votes on staged releases and routes queries."""

VERSION = "0.9.0"
