"""Zones: whether each is well, what that means for renting, and who goes first without one."""
