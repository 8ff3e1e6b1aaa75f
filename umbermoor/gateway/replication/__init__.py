"""The gateway's durable state: a map that every controller holds whole, on its own disk.

Writes go along a chain of replicas from its head, which orders them, to its tail, which commits
them: by then every replica of the chain has them synced. A view (an epoch, and who is in the chain)
takes the place of the last one when a replica falls silent, loses its disk, or comes back; it is
agreed on by a majority of the replica set, and a chain is never smaller than that. There is no log:
a replica that comes into a chain is given the whole map. Sources: van Renesse and Schneider, Chain
Replication (2004); Lamport, Paxos Made Simple (2001); Ongaro and Ousterhout, Raft (2014).

What it stands on: of 2m+1 members no more than m lose their disks at once (until filled again),
clocks run at about one rate, and what was synced stays. Messages may be lost, doubled, late and cut
one way; processes may end at any step. Docs: docs/replication.md.

Open `replica` first: it joins the state machines, and each of those owns its fields. `messages` is
what replicas say to each other, `context` what the parts of one share, `store` the only I/O: a host
carries messages and time. Nothing is imported but `effects`. Three replicas and their disks:

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

One is lost; a view without it is agreed on, and holds what was committed:

>>> lost = replicas.pop(names[0])
>>> now = pass_time(now, 1500)
>>> carry(now, names[2], replicas[names[2]].read(now, 3))
OK {'config/a': {'revision': 1}}
"""
