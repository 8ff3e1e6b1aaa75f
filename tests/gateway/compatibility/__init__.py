"""Bytes of the revision 496b6e6, which later revisions read and write unchanged."""
