"""Everything outside of the controllers, on one machine: models, servers, faults, checks."""
