"""The screen: which machines there are, told by their beats. A Stevenson screen shelters the instruments of a station."""
