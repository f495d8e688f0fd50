"""The emulator over loopback: real HTTP servers and processes, faults on command."""
