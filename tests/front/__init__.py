"""Tests of the front, the sidecar in `umbermoor.front`."""
