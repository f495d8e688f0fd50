"""Who leads, and what a node does that can't reach who does."""
