"""Synchronization with the state service: keeping the view current and writing records."""
