"""Agents that run the models as asyncio tasks over a message transport."""
