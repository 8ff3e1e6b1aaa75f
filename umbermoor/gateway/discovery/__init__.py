"""The screen: which machines there are, told by their beats. A screen shelters the instruments of a
station."""
