"""Models of the outside services that speak the protocol; they do no I/O and read no clock."""
