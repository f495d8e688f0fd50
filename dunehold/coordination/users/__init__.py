"""The users' API, which every node serves, and the statistics of the work done for users."""
