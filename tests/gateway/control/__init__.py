"""The control world: whole core hosts, fronts, machines and operators in virtual time. See
docs/simulation.md."""
