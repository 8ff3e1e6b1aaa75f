"""Reads and validates what a process is told: its settings file and the operator's configurations.

Open `node_settings.NodeSettings` and `configuration.parse` first. What is invalid comes back as an
`errors.ValidationError`. cerberus is loaded when something is first checked. This package imports
no other part of the gateway.
"""
