"""Tests of the front in service."""
