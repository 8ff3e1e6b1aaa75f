"""Tests that pin the behaviour and the outer names of revision 496b6e6."""
