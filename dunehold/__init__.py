"""dunehold, a cluster scheduler that rents its machines from a cloud."""
