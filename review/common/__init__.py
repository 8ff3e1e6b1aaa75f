"""What the cases share: a small deployment and stand-ins."""
