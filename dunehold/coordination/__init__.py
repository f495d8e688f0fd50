"""Who leads, what is told to whom, and what runs where."""
