"""The climate chamber, where instruments are tried under weather made by hand: the control side in
virtual time.

`register` plays members of the register among faults, `histories` judges calls for linearizability;
`play` plays whole core hosts, fronts, machines and operators by a `script`, `checks` holds what
must hold, `virtual` makes clocks, loops, links and disks. Nothing that serves imports it. No
sockets, no files, no clock of this machine.
"""
