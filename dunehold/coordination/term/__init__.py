"""One term of leadership: reports, placement, commands."""
