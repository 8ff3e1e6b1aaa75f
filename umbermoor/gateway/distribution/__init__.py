"""The heliograph: news pulled by those that lack it. A reader shows a vector of versions, one for
each source (the members of the core), and gets what came after; it never goes back. A heliograph
flashes news from hill to hill."""
