"""umbermoor: a sidecar that votes on staged releases and routes queries."""
