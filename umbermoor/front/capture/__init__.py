"""What a front was asked and what became of it, written down as it serves, to plan by. See
docs/capture.md."""
