"""The vane: the way of a request. Which machine takes it, what becomes of it when that fails, and
what its client is told. `plants.py` knows the machines, `exchange.py` one request's life; neither
does any I/O. A vane turns to the wind.
"""
