"""Discrete-event simulation of a whole fleet in virtual time, for `umbermoor.lab.fleet`.

`clock` has the event queue, `front` one front around its real decision module, `clients` the load
with its retries, `network` the attempts between fronts and machines, `control_plane` the updates
that fronts are sent, and `outcome` the figures of a run as plain data. The same day and seed give
the same outcome, byte for byte: events run in the order of their time and then of their scheduling,
and every random number is drawn by name (`umbermoor.lab.chance`).
"""
