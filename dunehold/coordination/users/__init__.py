"""The users' API, which every node serves: submissions, queries and cancellations."""
