"""Discrete-event simulation of a whole fleet in virtual time, for `umbermoor.lab.fleet`.

`clock` is the event queue, `front` one front around its real decision module, `clients` the load
with its retries, `network` the attempts between fronts and machines, `control_plane` the news that
fronts are told, `outcome` the figures of a run as plain data. The same day and seed play the same,
byte for byte: events run in order of their time and then of their making, and every random number
is drawn by name (`umbermoor.lab.chance`).
"""
