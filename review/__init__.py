"""Independent review: cases that show faults, each in a folder of its own."""
