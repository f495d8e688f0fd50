"""Many jobs to a key: submissions and ends that are written together (docs/packs.md)."""
