"""Emulates everything outside the controllers on one machine, with faults and checks."""
