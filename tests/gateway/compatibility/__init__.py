"""Tests that later revisions read and write the bytes of revision 496b6e6 unchanged."""
