"""The gateway's durable state: a map of which every controller stores a full copy on its own disk.

Writes pass along a chain of replicas from the head, which orders them, to the tail, which commits
them. A write is synced on every replica of the chain before it is committed. When a replica stops
responding, loses its disk or returns, a new view (an epoch and the members of the chain) replaces
the current one. A majority of the replica set must agree on a view, and a chain always contains at
least a majority. There is no log: a replica that joins a chain receives the whole map. Sources: van
Renesse and Schneider, Chain Replication (2004); Lamport, Paxos Made Simple (2001); Ongaro and
Ousterhout, Raft (2014).

Assumptions: of 2m+1 members, at most m have lost their disks at any time (a disk counts as lost
until it is filled again), all clocks run at about the same rate, and synced data is durable.
Messages may be lost, duplicated, delayed or blocked in one direction, and processes may end at any
step. Docs: docs/replication.md.

Start reading at `replica`: it connects the state machines, each of which owns its fields.
`messages` defines what replicas send each other, `context` holds the state that the state machines
of one replica share, and `store` is the only module that does I/O: the host delivers messages and
time. Outside of this package, only `effects` is imported. Three replicas and their disks:

>>> import json, random
>>> from umbermoor.gateway.replication.replica import Replica
>>> from umbermoor.gateway.effects import CallResult, Outcome, Send, Decision, Write
>>> names = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
>>> disks = {name: {} for name in names}
>>> def decide(values, key, new, epoch):
...     newer = key not in values or new["revision"] > values[key]["revision"]
...     return Decision(Outcome.ACCEPTED, new) if newer else Decision(Outcome.STALE)
>>> def start(name, cold):
...     return Replica(name, names, 1, cold, disks[name], decide, random.Random(name))
>>> replicas = {name: start(name, cold=True) for name in names}
>>> def carry(now, name, effects):
...     for effect in effects:
...         if isinstance(effect, Send):
...             if effect.to in replicas:
...                 message = json.loads(json.dumps(effect.message))
...                 carry(now, effect.to, replicas[effect.to].receive(now, name, message))
...         elif isinstance(effect, Write):
...             disks[name].update(effect.puts)
...             carry(now, name, replicas[name].written(now, effect.token))
...         else:
...             value = effect.value
...             if isinstance(value, Decision):
...                 value = value.outcome.name
...             print(effect.status.name, value)
>>> def pass_time(start, ms):
...     for now in range(start, start + ms * 1000, 50_000):
...         for name in list(replicas):
...             carry(now, name, replicas[name].tick(now))
...     return start + ms * 1000
>>> now = pass_time(0, 1500)
>>> carry(now, names[2], replicas[names[2]].put(now, 1, "config/a", {"revision": 1}))
OK ACCEPTED
>>> carry(now, names[1], replicas[names[1]].put(now, 3, "config/a", {"revision": 0}))
OK STALE
>>> carry(now, names[1], replicas[names[1]].read(now, 2))
OK {'config/a': {'revision': 1}}
>>> replicas[names[0]].status().role.value, replicas[names[2]].status().role.value
('head', 'tail')

One replica is lost. The others agree on a view without it, which keeps what was committed:

>>> lost = replicas.pop(names[0])
>>> now = pass_time(now, 1500)
>>> carry(now, names[2], replicas[names[2]].read(now, 3))
OK {'config/a': {'revision': 1}}
"""
