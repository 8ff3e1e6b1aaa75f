"""The gateway's durable register: what the core machines must not lose, each holding all of it on
its own disk.

Values go along a chain of members, from its head, which orders them, to its tail, which tells that
they are committed: by then every member of the chain has them synced. A small view - an epoch, and
who is in the chain - mends the chain when a member falls silent, loses its disk, or comes back; it
is agreed on by a majority of all members, and a chain is never smaller than that. There is no log:
a member that comes into a chain is given the whole map.

What it stands on: of 2m+1 members no more than m lose their disks at once (until filled again),
clocks run at about one rate, and what was synced stays. Messages may be lost, doubled, late and cut
one way; processes may end at any step.

`member` decides, `store` is the only I/O; a host carries messages and time between them. Three
members and their disks:

>>> import json, random
>>> from umbermoor.gateway.replication.replica import Replica
>>> from umbermoor.gateway.effects import CallResult, Outcome, Send, Decision, Write
>>> names = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
>>> disks = {name: {} for name in names}
>>> def judge(held, key, new, epoch):
...     newer = key not in held or new["revision"] > held[key]["revision"]
...     return Decision(Outcome.ACCEPTED, new) if newer else Decision(Outcome.STALE)
>>> def start(name, cold):
...     return Replica(name, names, 1, cold, disks[name], judge, random.Random(name))
>>> members = {name: start(name, cold=True) for name in names}
>>> def carry(now, name, effects):
...     for effect in effects:
...         if isinstance(effect, Send):
...             if effect.to in members:
...                 message = json.loads(json.dumps(effect.message))
...                 carry(now, effect.to, members[effect.to].receive(now, name, message))
...         elif isinstance(effect, Write):
...             disks[name].update(effect.puts)
...             carry(now, name, members[name].written(now, effect.token))
...         else:
...             told = effect.value
...             print(effect.status.name, told.outcome.value if isinstance(told, Decision) else told)
>>> def pass_time(start, ms):
...     for now in range(start, start + ms * 1000, 50_000):
...         for name in list(members):
...             carry(now, name, members[name].tick(now))
...     return start + ms * 1000
>>> now = pass_time(0, 1500)
>>> carry(now, names[2], members[names[2]].put(now, 1, "config/a", {"revision": 1}))
OK taken
>>> carry(now, names[1], members[names[1]].put(now, 3, "config/a", {"revision": 0}))
OK older
>>> carry(now, names[1], members[names[1]].read(now, 2))
OK {'config/a': {'revision': 1}}
>>> members[names[0]].status().role.value, members[names[2]].status().role.value
('head', 'tail')

One is lost; the chain is mended without it, and holds what it held:

>>> lost = members.pop(names[0])
>>> now = pass_time(now, 1500)
>>> carry(now, names[2], members[names[2]].read(now, 3))
OK {'config/a': {'revision': 1}}
"""
