"""Runs the emulator on loopback addresses, with real HTTP servers and processes."""
