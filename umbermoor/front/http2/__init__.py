"""HTTP/2 to machines: many hand-offs over few connections, and exact knowledge of what never ran.
No I/O in here."""
