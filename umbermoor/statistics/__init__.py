"""Statistics used by the front and the gateway; depends on neither."""
