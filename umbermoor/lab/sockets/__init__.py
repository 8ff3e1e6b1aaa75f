"""Body two: the same models as stand-ins on loopback, real fronts started as operators start them,
and load."""
