"""HTTP/2 client for hand-offs to machines, without I/O.

Many hand-offs share few connections, and each failed one is classified by whether its query may
have been executed.
"""
