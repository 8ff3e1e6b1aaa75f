"""The rain gauge: limits. Second tries within one budget over all fronts; what is refused early
under load."""
