"""A whole gateway on loopback, for trials and for learning: real programs, stand-in instances.

`walkthrough` is what `python -m umbermoor.gateway local` does; `gateway` starts, watches and ends
the processes of controllers and proxies; `node` writes their settings; `instance` is a stand-in
instance of a service, as PROTOCOL.md describes them; `traffic` sends requests and follows rollouts
as a platform does. Never in service.
"""
