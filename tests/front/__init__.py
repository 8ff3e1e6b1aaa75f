"""Tests of the front."""
