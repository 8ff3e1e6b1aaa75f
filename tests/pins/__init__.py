"""Regression tests that compare behaviour and externally visible names with revision 496b6e6."""
