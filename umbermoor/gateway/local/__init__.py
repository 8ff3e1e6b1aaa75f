"""A complete gateway on loopback for experiments: the real programs with stand-in instances.

`walkthrough` implements `python -m umbermoor.gateway local`; `gateway` starts, monitors and stops
the processes of controllers and proxies; `node` writes their settings; `instance` is a stand-in
instance of a service that follows PROTOCOL.md; `traffic` sends requests and follows rollouts as a
platform does. Not for production.
"""
