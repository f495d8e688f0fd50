"""MEASY as a pure function from a snapshot to decisions."""
