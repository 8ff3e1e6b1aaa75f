"""Which route of a configuration a request takes, by its host and path."""
