"""The machines: renting, listing, returning."""
