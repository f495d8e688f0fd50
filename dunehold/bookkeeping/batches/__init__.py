"""Batches: submissions or completions of many jobs under one key (docs/packs.md)."""
