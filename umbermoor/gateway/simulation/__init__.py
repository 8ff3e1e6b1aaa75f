"""Deterministic simulation of the control plane: virtual time, network and disks, injected faults.

Everything follows from a seed. No sockets, no files, no clock of this machine; nothing that serves
imports this package. Two simulations share the idea and little else:

* `control_world` plays whole controllers and proxies with their own programs, operators, instances
  and clients by a `schedule` (drawn by `schedule_generator`, reduced by `shrinking`). Faults are
  injected by `process_faults`, `network_faults` and `disk_faults`; `invariants` joins what is
  checked; `disturbances` says which bounds in time hold at present. `virtual_*` is the machine
  below: time, processes (event loops), transports, network, disks.
* `replica_world` plays the replicas' state machines alone, in `replica_storm` among random faults.

`linearizability` judges histories of calls; `violations` names every invariant. Source of the
method: deterministic simulation testing as in FoundationDB (Zhou et al., SIGMOD 2021).
"""
