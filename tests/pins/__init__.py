"""Behaviour and names pinned at revision 496b6e6."""
