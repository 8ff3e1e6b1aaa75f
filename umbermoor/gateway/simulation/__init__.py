"""Deterministic simulation of the control plane: virtual time, network and disks, injected faults.

Each run is determined by its seed and uses no sockets, files or system clock. Production code does
not import this package. It contains two independent simulations:

* `control_world` runs the unmodified controller and proxy programs together with simulated
  operators, instances and clients, as given by a `schedule` (drawn by `schedule_generator`, reduced
  by `shrinking`). `process_faults`, `network_faults` and `disk_faults` inject faults; `invariants`
  runs all checks; `disturbances` decides which time bounds currently apply. The `virtual_*` modules
  simulate the machines: time, processes (event loops), transports, network and disks.
* `replica_world` runs only the state machines of the replicas; `replica_storm` runs them under
  random faults.

`linearizability` checks histories of calls; `violations` lists every invariant. The method is
deterministic simulation testing as in FoundationDB (Zhou et al., SIGMOD 2021).
"""
