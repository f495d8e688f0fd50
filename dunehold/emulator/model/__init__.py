"""Models of the published protocol's counterparts: no I/O, no clock of their own."""
