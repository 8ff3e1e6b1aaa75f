"""Features of the gateway, and the worlds in which its machines are tried."""
