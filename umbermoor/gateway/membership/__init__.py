"""The sonde: how fronts know each other, by probes to a few in turn, second opinions and suspicion
before removal. A sonde is sent up to see what cannot be seen from the ground."""
