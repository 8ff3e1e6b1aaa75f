"""The mast: what the instruments hang on. Sockets, LMDB and clocks; carries out what the state
machines return."""
