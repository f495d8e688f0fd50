"""The MEASY scheduler: a pure function from a snapshot to scheduling decisions."""
