"""A front's own life: serving, draining on request, coming back; what it remembers; its background
work. No I/O in here."""
