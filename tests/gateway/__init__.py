"""Tests of the gateway: features, unit tests, and the simulated environments that they run in."""
